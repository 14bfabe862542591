package node

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
)

// An owner that has lost the store cannot read whether it was replaced. It was not, up to the time at
// which each possible successor has last stated that it does not own the pool. A successor that
// acquires the pool afterwards waits for the longest lease from then on. Every other node that this
// node knows is a possible successor, as the store may have been lost to some nodes only.

const (
	// memberRetention is how long a node counts as a possible successor after its member row was
	// removed as expired, or after its last ping. A live node that reaches the store writes a removed row
	// again after one and a half sampleRefreshInterval at the latest.
	memberRetention = 2 * sampleRefreshInterval
	// statementMaxAge is the age from which an owner without the store asks for another statement. Pings
	// of nodes that are well repeat it sooner.
	statementMaxAge = 2 * pingPeriod
)

// ownershipStatements holds what other nodes have stated about the pools that this node owns, and which
// nodes must be asked beyond those in the member sample.
type ownershipStatements struct {
	// statedAt is the latest time at which a node certainly did not own a pool, by pool and node.
	statedAt map[string]map[string]time.Time
	// queries holds the queries in flight, by pool and node.
	queries map[string]map[string]bool
	// absent are the nodes that have left the member sample without removing their rows themselves.
	absent map[string]absentMember
	// pingedAt is when a node has last pinged this node as an owner.
	pingedAt map[string]time.Time
	// evaluatedAt is when the ownership of a pool was last evaluated by the statements.
	evaluatedAt map[string]time.Time
}

// absentMember is a node that is no longer in the member sample.
type absentMember struct {
	member
	since time.Time
}

func newOwnershipStatements() ownershipStatements {
	return ownershipStatements{
		statedAt: map[string]map[string]time.Time{}, queries: map[string]map[string]bool{},
		absent: map[string]absentMember{}, pingedAt: map[string]time.Time{}, evaluatedAt: map[string]time.Time{},
	}
}

// record records that a node did not own a pool at a time.
func (s *ownershipStatements) record(poolName, node string, at time.Time) {
	if s.statedAt[poolName] == nil {
		s.statedAt[poolName] = map[string]time.Time{}
	}
	if at.After(s.statedAt[poolName][node]) {
		s.statedAt[poolName][node] = at
	}
}

// beginQuery registers a query. It returns false if one is in flight.
func (s *ownershipStatements) beginQuery(poolName, node string) bool {
	if s.queries[poolName] == nil {
		s.queries[poolName] = map[string]bool{}
	}
	if s.queries[poolName][node] {
		return false
	}
	s.queries[poolName][node] = true
	return true
}

// replaceSample records which members of a sample are absent from the next one.
func (s *ownershipStatements) replaceSample(previous, next map[string]member, now time.Time) {
	for name, m := range previous {
		if _, listed := next[name]; !listed {
			s.absent[name] = absentMember{member: m, since: now}
		}
	}
	for name := range next {
		delete(s.absent, name)
	}
}

// forgetMember removes a node that has removed its rows itself. It acquires no pool any more.
func (s *ownershipStatements) forgetMember(name string) {
	delete(s.absent, name)
	delete(s.pingedAt, name)
}

// forgetPool removes the statements about a pool that this node does not own any more.
func (s *ownershipStatements) forgetPool(poolName string) {
	delete(s.statedAt, poolName)
	delete(s.queries, poolName)
	delete(s.evaluatedAt, poolName)
}

// removeExpired removes the nodes that have been neither a member nor pinged for memberRetention.
func (s *ownershipStatements) removeExpired(now time.Time) {
	for name, m := range s.absent {
		if now.Sub(m.since) > memberRetention {
			delete(s.absent, name)
		}
	}
	for name, at := range s.pingedAt {
		if now.Sub(at) > memberRetention {
			delete(s.pingedAt, name)
		}
	}
}

// possibleSuccessors returns the nodes that may acquire a pool that this node owns, with their addresses.
// The address of a node that is known from its pings alone is empty.
func (n *Node) possibleSuccessors() map[string]string {
	n.statements.removeExpired(n.now())
	successors := map[string]string{}
	for name := range n.statements.pingedAt {
		successors[name] = ""
	}
	for name, m := range n.statements.absent {
		successors[name] = m.Address
	}
	for name, m := range n.memberSample.members {
		successors[name] = m.Address
	}
	delete(successors, n.options.Name)
	return successors
}

// successorsKnown reports whether this node has read who could replace it. A node whose first read of the
// member rows has not succeeded does not even know itself as a member.
func (n *Node) successorsKnown() bool {
	_, known := n.memberSample.members[n.options.Name]
	return known
}

// ownedAsOf returns the latest time, up to the given one, at which no possible successor owned a pool. It
// also returns the node whose statement is the oldest. It returns false if that node has stated nothing.
func (n *Node) ownedAsOf(poolName string, latest time.Time) (at time.Time, oldest string, ok bool) {
	if !n.successorsKnown() {
		return time.Time{}, n.options.Name, false
	}
	at = latest
	statedAt := n.statements.statedAt[poolName]
	for name := range n.possibleSuccessors() {
		stated := statedAt[name]
		if stated.Before(at) || stated.Equal(at) && name < oldest {
			at, oldest = stated, name
		}
	}
	return at, oldest, !at.IsZero()
}

// In a cluster with more than manyPingingNodes an owner without the store does not evaluate the statements at each
// ping, but once in evaluationInterval at most. Otherwise the cost would grow with the square of the
// number of nodes.
const (
	manyPingingNodes   = 2 * candidateCount
	evaluationInterval = 100 * time.Millisecond
)

// evaluationDue reports whether the ownership of a pool is to be evaluated now, and if so records the time.
func (s *ownershipStatements) evaluationDue(poolName string, now time.Time) bool {
	if len(s.pingedAt) > manyPingingNodes && now.Sub(s.evaluatedAt[poolName]) < evaluationInterval {
		return false
	}
	s.evaluatedAt[poolName] = now
	return true
}

// askPossibleSuccessors asks the nodes whose statements are old, while the store is lost.
func (n *Node) askPossibleSuccessors() {
	if !n.storeLost() {
		return
	}
	successors := n.possibleSuccessors()
	for _, poolName := range sortedKeys(n.owned) {
		for _, name := range sortedKeys(successors) {
			old := n.now().Sub(n.statements.statedAt[poolName][name]) > statementMaxAge
			if old && successors[name] != "" && n.statements.beginQuery(poolName, name) {
				n.askPossibleSuccessor(n.owned[poolName], poolName, name, successors[name])
			}
		}
	}
}

// askPossibleSuccessor pings a node that may have acquired a pool. The reply says whether the node owns the
// pool, also if the node is of an earlier version. A node whose process has ended owns nothing.
func (n *Node) askPossibleSuccessor(p *pool.Pool, poolName, name, address string) {
	requestedAt := n.now()
	request := pingRequest{Pool: poolName, From: n.options.Name, Token: p.Token(), StoreLost: true}
	n.callPeer(address, methodPing, request, func(document []byte, err error) {
		delete(n.statements.queries[poolName], name)
		if n.owned[poolName] != p {
			return
		}
		var reply pingReply
		switch {
		case errors.Is(err, peer.ErrRefused):
			// The node's process has ended.
		case err != nil || json.Unmarshal(document, &reply) != nil:
			return
		case reply.Name != "" && reply.Name != name:
			// Another node has the address now.
			return
		case reply.Owner:
			// It is a successor: a former owner abandons the pool at this newer token.
			p.Abandon("another node owns the pool")
			return
		}
		n.statements.record(poolName, name, requestedAt)
		if n.storeLost() {
			n.confirmWithoutStore(poolName, name, n.now())
		}
	})
}

// confirmWithoutStore confirms the ownership of a pool as of the time, up to the given one, at which no
// possible successor owned it. by is the node whose statement is the latest. It logs the outcome unless
// the last such line is recent.
func (n *Node) confirmWithoutStore(name, by string, latest time.Time) {
	p := n.owned[name]
	if !n.statements.evaluationDue(name, n.now()) {
		return
	}
	at, oldest, ok := n.ownedAsOf(name, latest)
	if !ok {
		if n.confirmationLogDue(name, ok) {
			n.dependencies.Recorder.LogEvent("ownership not confirmed without store", "pool", name, "token", p.Token(), "missing", oldest,
				"answered_ms_ago", n.storeAge().Milliseconds())
		}
		return
	}
	if n.confirmationLogDue(name, ok) {
		n.dependencies.Recorder.LogEvent("ownership confirmed without store", "pool", name, "token", p.Token(), "node", by, "oldest", oldest,
			"confirmed_ms_ago", n.now().Sub(at).Milliseconds(), "answered_ms_ago", n.storeAge().Milliseconds())
	}
	n.dependencies.Recorder.Count("takeovers", "confirmed_without_store")
	p.ConfirmOwnership(at)
}

// confirmationLog identifies a kind of log line: about a pool whose ownership was, or was not, confirmed
// without the store.
type confirmationLog struct {
	pool      string
	confirmed bool
}

// confirmationLogDue reports whether a line may be logged, and if so records its time.
func (n *Node) confirmationLogDue(name string, confirmed bool) bool {
	line, now := confirmationLog{name, confirmed}, n.now()
	if now.Sub(n.confirmationLoggedAt[line]) <= confirmationsLogInterval {
		return false
	}
	n.confirmationLoggedAt[line] = now
	return true
}

// confirmationsLogInterval is the minimum time between two log lines about confirmations of a pool's
// ownership without the store.
const confirmationsLogInterval = 2 * time.Second

// confirmIfOnlyNode confirms this node's ownership of its pools while the store is lost and this node
// has read that there is no other node that could acquire the pools. Running tasks then continue.
func (n *Node) confirmIfOnlyNode() {
	if !n.storeLost() || len(n.possibleSuccessors()) > 0 {
		return
	}
	for _, name := range sortedKeys(n.owned) {
		n.confirmWithoutStore(name, n.options.Name, n.now())
	}
}
