package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/loop"
)

// indirectCheckCount is how many other nodes are asked whether they see an owner.
const indirectCheckCount = 3

// checkOwnerIndirectly asks other nodes whether they see a pool's owner. A node that no other
// answers may be the only one left, so that no answer counts as not seen; one that is cut
// off from all others can at worst take a pool that still has an owner, which is safe.
func (n *Node) checkOwnerIndirectly(w *poolWatcher, done func(seen bool)) {
	checkers := n.indirectCheckers(w.pool)
	if len(checkers) == 0 {
		done(false)
		return
	}
	pending, seen := len(checkers), false
	for _, other := range checkers {
		n.callPeer(other.Address, methodSeen, pingRequest{Pool: w.pool}, func(document []byte, err error) {
			pending--
			var reply seenReply
			if err == nil && json.Unmarshal(document, &reply) == nil {
				seen = seen || reply.Seen
			}
			if pending == 0 {
				done(seen)
			}
		})
	}
}

// indirectCheckers lists some of the guards of a pool's owner, who know of it from lately.
func (n *Node) indirectCheckers(name string) []member {
	others := n.candidatesExcept(n.leases[name].Owner)
	slices.SortStableFunc(others, func(a, b member) int {
		if takesOverBefore(name, a, b) {
			return -1
		}
		return 1
	})
	standbys := others[:min(standbyCount, len(others))]
	rand.Shuffle(len(standbys), func(i, j int) { standbys[i], standbys[j] = standbys[j], standbys[i] })
	return standbys[:min(indirectCheckCount, len(standbys))]
}

// seenReply says whether a node sees a pool's owner in good health.
type seenReply struct {
	Seen bool `json:"seen"`
}

// seenMaxAge is how old a good answer of an owner may be: one that a guard has missed two
// pings of is older.
const seenMaxAge = 600 * time.Millisecond

// serveSeen answers another node whether this one sees a pool's owner.
func (n *Node) serveSeen(ctx context.Context, request pingRequest) (seenReply, error) {
	var reply seenReply
	err := loop.Call(ctx, n.edges.Loop, func() {
		w := n.watchers[request.Pool]
		reply.Seen = n.owned[request.Pool] != nil ||
			w != nil && w.failures == 0 && n.now().Sub(w.lastReplyAt) < seenMaxAge
	})
	return reply, err
}
