package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/loop"
)

// indirectCheckCount is how many other nodes a node asks about an owner in an indirect check.
const indirectCheckCount = 3

// checkOwnerIndirectly asks other nodes whether they reach a pool's owner. A missing reply counts
// as not seen, since this node may be the only one left. A node that is partitioned from all others
// can at worst acquire a pool whose owner still runs. Fencing tokens make such an acquisition safe:
// workers reject the previous owner's orders.
func (n *Node) checkOwnerIndirectly(w *poolWatcher, done func(seen bool)) {
	checkers := n.indirectCheckers(w.pool)
	if len(checkers) == 0 {
		done(false)
		return
	}
	pending, seen := len(checkers), false
	for _, other := range checkers {
		n.callPeer(other.Address, methodIndirectCheck, pingRequest{Pool: w.pool}, func(document []byte, err error) {
			pending--
			var reply indirectCheckReply
			if err == nil && json.Unmarshal(document, &reply) == nil {
				seen = seen || reply.Seen
			}
			if pending == 0 {
				done(seen)
			}
		})
	}
}

// indirectCheckers returns some of a pool's standbys at random. Standbys ping the owner most often,
// so they know best whether the owner is reachable.
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

// indirectCheckReply says whether a node reaches a pool's owner.
type indirectCheckReply struct {
	Seen bool `json:"seen"`
}

// seenMaxAge is the maximum age of an owner's last reply for the owner to count as seen. A standby
// that has missed two replies no longer counts the owner as seen.
const seenMaxAge = 600 * time.Millisecond

// serveIndirectCheck tells another node whether this node reaches a pool's owner.
func (n *Node) serveIndirectCheck(ctx context.Context, request pingRequest) (indirectCheckReply, error) {
	var reply indirectCheckReply
	err := loop.Call(ctx, n.dependencies.Loop, func() {
		w := n.watchers[request.Pool]
		reply.Seen = n.owned[request.Pool] != nil ||
			w != nil && w.failures == 0 && n.now().Sub(w.lastReplyAt) < seenMaxAge
	})
	return reply, err
}
