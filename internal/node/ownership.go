package node

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// poolWatcher is what a node knows of a pool's owner.
type poolWatcher struct {
	pool string
	// leaseRead is true once the lease row is leaseRead.
	leaseRead bool
	// failures counts pings in a row without an answer.
	failures    int
	lastReplyAt time.Time
	acquiring   bool
	// unresponsive is true from an owner's first unanswered ping until it answers.
	unresponsive     bool
	acquireScheduled bool
	acquireAttempts  int
	// weakReplies counts answers in a row of an owner that this node outweighs.
	weakReplies int
	// refreshingLease is true while the lease is read again.
	refreshingLease bool
}

// watchPool begins to care for a pool.
func (n *Node) watchPool(name string) {
	if n.watchers[name] != nil {
		return
	}
	n.watchers[name] = &poolWatcher{pool: name, lastReplyAt: n.now()}
	n.readLease(name, func(int64) { n.followLeases() })
}

// handleLeaseChange takes the pool if it has no owner.
func (n *Node) handleLeaseChange(name string) {
	w := n.watchers[name]
	if w == nil {
		return
	}
	w.failures = 0
	w.unresponsive = false
	w.weakReplies = 0
	lease := n.leases[name]
	switch {
	case !w.leaseRead || n.owned[name] != nil:
	case lease.Owner == "":
		n.scheduleAcquire(w, "no owner", n.hasNoOwner)
	case lease.Owner == n.options.Name && lease.Incarnation != n.options.Incarnation:
		n.acquire(w, "own earlier life")
	}
}

// takeoverRank is this node's place in the order in which nodes take a pool: the heaviest
// first, and among equals by a hash.
func (n *Node) takeoverRank(name string) int {
	if !n.sample.isCandidate(n.options.Name) {
		return maxTakeoverRank
	}
	self, rank := n.self(), 0
	for _, other := range n.candidatesExcept(n.leases[name].Owner) {
		if takesOverBefore(name, other, self) {
			rank++
		}
	}
	return min(rank, maxTakeoverRank)
}

// takeoverDelay is how long this node leaves it to others to take a pool. Those that are not known to be
// among the first do not all try at once, and light ones last.
func (n *Node) takeoverDelay(name string) time.Duration {
	delay := time.Duration(n.takeoverRank(name)) * takeoverRankDelay
	if len(n.otherMembersExcept("")) == 0 {
		// All may have just started, and know nobody yet.
		return delay + rand.N(startupJitter)
	}
	if n.sample.isCandidate(n.options.Name) {
		return delay
	}
	for _, other := range n.candidatesExcept("") {
		if other.Weight > n.options.Weight {
			return delay + lowWeightDelay + jitter(lowWeightDelay)
		}
	}
	return delay + rand.N(lowWeightDelay)
}

// startupJitter is over how long nodes that know no other try to take a pool.
const startupJitter = 500 * time.Millisecond

// lowWeightDelay is how much later nodes try to take a pool that are not among its first candidates and
// are lighter than these.
const lowWeightDelay = time.Second

// maxTakeoverRank bounds the delay of the last node.
const maxTakeoverRank = 12

func takesOverBefore(poolName string, a, b member) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return rankHash(poolName, a.Name) < rankHash(poolName, b.Name)
}

func rankHash(poolName, node string) uint64 { return xxhash.Sum64String(poolName + "/" + node) }

// scheduleAcquire tries to take a pool after a delay that differs among nodes, if the
// lease is the same and still holds then.
func (n *Node) scheduleAcquire(w *poolWatcher, reason string, stillNeeded func(*poolWatcher) bool) {
	if w.acquireScheduled || n.stopping.Load() {
		return
	}
	w.acquireScheduled = true
	version := n.leases[w.pool].version
	acquire := func() {
		w.acquireScheduled = false
		if n.leases[w.pool].version == version && stillNeeded(w) {
			n.acquire(w, reason)
		}
	}
	n.edges.Loop.After(n.takeoverDelay(w.pool), func() {
		if n.followingLeases {
			acquire()
			return
		}
		// Another may have taken it meanwhile. To look costs the store less than a write that fails.
		n.scanLease(w.pool, func(int64) { acquire() })
	})
}

// acquire takes a pool by a write that requires the lease as last read.
func (n *Node) acquire(w *poolWatcher, reason string) {
	if w.acquiring || n.owned[w.pool] != nil || n.stopping.Load() {
		return
	}
	w.acquiring = true
	w.acquireAttempts++
	nonce := n.options.Incarnation + "/" + strconv.Itoa(w.acquireAttempts)
	n.edges.Record.Decided("acquiring", "pool", w.pool, "reason", reason, "version", n.leases[w.pool].version)
	options := n.poolOptions(w.pool)
	n.ports.Commit(pool.Acquire(options, n.leases[w.pool].version, nonce), func(result rows.Result, err error) {
		w.acquiring = false
		switch {
		case err != nil:
			// If the write took effect after all, the feed shows it.
			n.edges.Record.Count("retries", "acquire")
			w.failures = 0
			n.edges.Loop.After(retryPause, func() { n.acquireAfterFailure(w, reason) })
		case result.Committed:
			n.addOwnedPool(w.pool, result.Version, nonce)
		default:
			n.handleAcquireConflict(w, result, nonce)
		}
	})
}

// acquireAfterFailure tries again unless another owner stands: that one is as it was
// before the store failed this node, and has to be suspected anew.
func (n *Node) acquireAfterFailure(w *poolWatcher, reason string) {
	if n.hasNoOwner(w) || n.leases[w.pool].Owner == n.options.Name {
		n.acquire(w, reason)
	}
}

// handleAcquireConflict takes in the lease that stood in the way.
func (n *Node) handleAcquireConflict(w *poolWatcher, result rows.Result, nonce string) {
	for i := range result.Current {
		row := result.Current[i]
		var lease pool.Lease
		if json.Unmarshal(row.Value, &lease) == nil && lease.Incarnation == n.options.Incarnation && row.Version > 0 {
			// An earlier try of this life took effect: take it anew, so that the head
			// row is surely ours.
			n.leases[w.pool] = versionedLease{Lease: lease, version: row.Version}
			n.acquire(w, "own earlier try")
			return
		}
		n.applyNodeRow(row)
	}
}

func (n *Node) poolOptions(name string) pool.Options {
	return pool.Options{
		Pool: name, Node: n.options.Name, Incarnation: n.options.Incarnation,
		Address: n.options.PeerAddress, Weight: n.options.Weight, Bounds: n.options.Bounds, Off: n.options.Off,
		Catalog:   func() *catalog.Catalog { return n.catalog.Load() },
		Evacuated: func() evacuation.Set { return n.evacuated },
		Late:      n.schedulingDelay.timeoutExtension,
		Ended:     func(reason string) { n.removeOwnedPool(name) },
	}
}

func (n *Node) addOwnedPool(name string, token int64, nonce string) {
	options := n.poolOptions(name)
	lease := pool.Lease{Owner: options.Node, Incarnation: options.Incarnation, Address: options.Address, Nonce: nonce}
	if n.leases[name].version < token {
		n.leases[name] = versionedLease{Lease: lease, version: token}
	}
	p := pool.New(options, n.edges.Loop, n.ports, n.edges.Record, token)
	n.owned[name] = p
	n.publishSnapshot()
	n.startDelaySampling()
	n.followLeases()
	if !n.pruning {
		n.pruning = true
		n.pruneMembers("")
	}
	if n.stopping.Load() {
		p.Release()
		return
	}
	p.Start()
}

func (n *Node) removeOwnedPool(name string) {
	delete(n.owned, name)
	n.publishSnapshot()
	n.notifyIfReleased()
}

// hasNoOwner reports whether a pool has no owner.
func (n *Node) hasNoOwner(w *poolWatcher) bool { return n.leases[w.pool].Owner == "" }

// An owner that a node outweighs by weakOwnerWeightRatio is relieved by it once it has
// answered that node weakOwnerReplies times in a row.
const (
	weakOwnerWeightRatio = 2.0
	weakOwnerReplies     = 4
)

// replaceWeakOwner takes a pool from an owner that has much less processor time than
// this node: at a takeover amid other trouble the first to try may be a weak one.
func (n *Node) replaceWeakOwner(w *poolWatcher) {
	if !n.ownerIsWeak(w) {
		w.weakReplies = 0
		return
	}
	if w.weakReplies++; w.weakReplies >= weakOwnerReplies {
		n.ifStoreReachable(func() { n.scheduleAcquire(w, "owner "+n.leases[w.pool].Owner+" is weak", n.ownerIsWeak) })
	}
}

// ownerIsWeak reports whether this node is fit to relieve a pool's owner.
func (n *Node) ownerIsWeak(w *poolWatcher) bool {
	weight := n.ownerWeight(w.pool)
	return !n.options.Off[mechanism.WeakOwners] && weight > 0 && n.options.Weight >= weakOwnerWeightRatio*weight &&
		!n.storeLost() && !n.stopping.Load()
}

// ownerWeight is the weight of a pool's owner; 0 if it is not known.
func (n *Node) ownerWeight(name string) float64 {
	lease := n.leases[name]
	if lease.Weight > 0 {
		return lease.Weight
	}
	return n.sample.members[lease.Owner].Weight
}

// ownerSuspected reports whether a pool's owner should be replaced.
func (n *Node) ownerSuspected(w *poolWatcher) bool { return w.failures >= suspectAfterFailures }
