package node

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// poolWatcher is what a node knows of a pool's owner, and the state of the node's own attempts to
// acquire the pool.
type poolWatcher struct {
	pool string
	// leaseRead is true once the lease row has been read.
	leaseRead bool
	// failures counts consecutive failed pings. The node suspects the owner from
	// suspectAfterFailures on.
	failures    int
	lastReplyAt time.Time
	// heldMillis is how long the owner had held the pool at its latest reply.
	heldMillis int64
	acquiring  bool
	// unresponsive is true from the first ping without a reply until the owner replies again.
	unresponsive     bool
	acquireScheduled bool
	acquireAttempts  int
	// weakReplies counts consecutive replies of an owner while ownerIsWeak holds.
	weakReplies int
	// refreshingLease is true while a scan of the lease is in flight.
	refreshingLease bool
}

// watchPool starts watching a pool's lease and owner.
func (n *Node) watchPool(name string) {
	if n.watchers[name] != nil {
		return
	}
	n.watchers[name] = &poolWatcher{pool: name, lastReplyAt: n.now()}
	n.publishSnapshot()
	n.readLease(name, func(int64) { n.followLeases() })
}

// handleLeaseChange clears the failures counted against the previous owner. This node then tries to
// acquire the pool if the pool has no owner, or if the owner is an earlier process of this node.
func (n *Node) handleLeaseChange(name string) {
	w := n.watchers[name]
	if w == nil {
		return
	}
	w.failures = 0
	w.unresponsive = false
	w.weakReplies = 0
	w.heldMillis = 0
	lease := n.leases[name]
	switch {
	case !w.leaseRead || n.owned[name] != nil:
	case lease.Owner == "":
		n.scheduleAcquire(w, "no owner", n.hasNoOwner)
	case lease.Owner == n.options.Name && lease.Incarnation != n.options.Incarnation:
		n.acquire(w, "lease of an earlier process")
	}
}

// takeoverRank returns this node's position in the takeover order of a pool, the order in which
// nodes take over the pool. Nodes are ordered by descending weight, and by a hash among equal
// weights.
func (n *Node) takeoverRank(name string) int {
	if !n.memberSample.isCandidate(n.options.Name) {
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

// takeoverDelay returns how long this node waits before it tries to acquire a pool. The delay grows
// with the takeover rank, so that nodes try one after another and those with little weight try
// last.
func (n *Node) takeoverDelay(name string) time.Duration {
	delay := time.Duration(n.takeoverRank(name)) * takeoverRankDelay
	if len(n.otherMembersExcept("")) == 0 {
		// The whole cluster may have just started, so that no node knows another node yet.
		return delay + rand.N(startupJitter)
	}
	if n.memberSample.isCandidate(n.options.Name) {
		return delay
	}
	for _, other := range n.candidatesExcept("") {
		if other.Weight > n.options.Weight {
			return delay + lowWeightDelay + jitter(lowWeightDelay)
		}
	}
	return delay + rand.N(lowWeightDelay)
}

// startupJitter spreads the first attempts of nodes that know no other node.
const startupJitter = 500 * time.Millisecond

// lowWeightDelay is the extra delay of nodes that are not candidates and have less weight than a
// candidate.
const lowWeightDelay = time.Second

// maxTakeoverRank is the rank of all nodes beyond it. It bounds the delay of the last nodes.
const maxTakeoverRank = 12

func takesOverBefore(poolName string, a, b member) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return rankHash(poolName, a.Name) < rankHash(poolName, b.Name)
}

func rankHash(poolName, node string) uint64 { return xxhash.Sum64String(poolName + "/" + node) }

// scheduleAcquire tries to acquire a pool after takeoverDelay. It gives up if the lease has changed
// by then or stillNeeded returns false.
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
	n.dependencies.Loop.After(n.takeoverDelay(w.pool), func() {
		if n.followingLeases {
			acquire()
			return
		}
		// Another node may have acquired the pool in the meantime. A scan costs the store less than
		// a failed write.
		n.scanLease(w.pool, func(int64) { acquire() })
	})
}

// acquire writes a lease that names this node the owner, on condition that the stored lease has not
// changed since it was last read.
func (n *Node) acquire(w *poolWatcher, reason string) {
	if w.acquiring || n.owned[w.pool] != nil || n.stopping.Load() || !n.canReadPool(w.pool) {
		return
	}
	w.acquiring = true
	w.acquireAttempts++
	nonce := n.options.Incarnation + "/" + strconv.Itoa(w.acquireAttempts)
	n.dependencies.Recorder.LogEvent("acquiring", "pool", w.pool, "reason", reason, "version", n.leases[w.pool].version, "owner", n.leases[w.pool].Owner)
	options := n.poolOptions(w.pool)
	n.ports.Commit(pool.Acquire(options, n.leases[w.pool].version, nonce), func(result rows.Result, err error) {
		w.acquiring = false
		switch {
		case err != nil:
			// The outcome may be unknown. If the write took effect, the lease feed delivers the new
			// lease.
			n.dependencies.Recorder.Count("retries", "acquire")
			w.failures = 0
			n.dependencies.Loop.After(retryPause, func() { n.acquireAfterFailure(w, reason) })
		case result.Committed:
			n.addOwnedPool(w.pool, result.Version, nonce)
		default:
			n.handleAcquireConflict(w, result, nonce)
		}
	})
}

// canReadPool reports whether this build can read the rows of a pool. It logs and counts the refusal
// otherwise.
func (n *Node) canReadPool(name string) bool {
	format := n.leases[name].Format
	if compatibility.Readable(format) {
		return true
	}
	n.dependencies.Recorder.Count("takeovers", "newer_format")
	n.dependencies.Recorder.LogEvent("pool not acquired", "pool", name, "reason", "rows have a newer format", "format", int(format), "newest_readable", int(compatibility.Newest))
	return false
}

// poolFormat returns the format in which this node would write a pool's rows: that of the lease.
func (n *Node) poolFormat(name string) compatibility.Format {
	return compatibility.Effective(n.leases[name].Format)
}

// commonFormat returns the newest format that this node and all members that it knows read.
func (n *Node) commonFormat() compatibility.Format {
	var members []compatibility.Format
	for _, other := range n.otherMembersExcept("") {
		members = append(members, other.Format)
	}
	return compatibility.Common(compatibility.Newest, members)
}

// acquireAfterFailure retries a failed acquisition if the pool has no owner or this node is the
// owner. Otherwise it does not retry, as the owner's failures are counted again from zero.
func (n *Node) acquireAfterFailure(w *poolWatcher, reason string) {
	if n.hasNoOwner(w) || n.leases[w.pool].Owner == n.options.Name {
		n.acquire(w, reason)
	}
}

// handleAcquireConflict applies the lease that made an acquisition fail.
func (n *Node) handleAcquireConflict(w *poolWatcher, result rows.Result, nonce string) {
	for i := range result.Current {
		row := result.Current[i]
		var lease pool.Lease
		known := n.leases[w.pool].version
		if json.Unmarshal(row.Value, &lease) == nil && lease.Incarnation == n.options.Incarnation && row.Version > 0 && row.Version >= known {
			// An earlier attempt of this process took effect. Acquire again, on condition of the
			// lease that the earlier attempt wrote.
			n.leases[w.pool] = versionedLease{Lease: lease, version: row.Version}
			n.acquire(w, "earlier acquire took effect")
			return
		}
		n.applyLeaseTableRow(row)
	}
}

func (n *Node) poolOptions(name string) pool.Options {
	return pool.Options{
		Pool: name, Node: n.options.Name, Incarnation: n.options.Incarnation,
		Address: n.options.PeerAddress, Weight: n.options.Weight, RowFormat: n.poolFormat(name), CommonFormat: n.commonFormat, Bounds: n.options.PoolBounds, MaxRowBytes: n.options.MaxRowBytes, Features: n.options.Features, DisabledMechanisms: n.options.DisabledMechanisms,
		Catalog:          func() *catalog.Catalog { return n.catalog.Load() },
		EvacuatedZones:   func() evacuation.Set { return n.evacuated },
		SchedulingDelay:  n.schedulingDelay.timeoutExtension,
		OnOwnershipEnded: func(reason string) { n.removeOwnedPool(name) },
	}
}

func (n *Node) addOwnedPool(name string, token int64, nonce string) {
	options := n.poolOptions(name)
	lease := pool.Lease{Owner: options.Node, Incarnation: options.Incarnation, Address: options.Address, Nonce: nonce, Format: options.RowFormat, ComparesPools: true}
	if n.leases[name].version < token {
		n.leases[name] = versionedLease{Lease: lease, version: token}
	}
	p := pool.New(options, n.dependencies.Loop, n.ports, n.dependencies.Recorder, token)
	if lease := n.leases[name]; lease.version > token {
		// The answer to this acquisition arrived after the lease of a later owner.
		p.Abandon("lease now held by " + lease.Owner)
		return
	}
	n.owned[name] = p
	n.publishSnapshot()
	n.startDelaySampling()
	n.followLeases()
	n.updateConfigurationFeed()
	// Nodes that joined since the last sample may replace this owner.
	n.refreshMembers()
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
	n.statements.forgetPool(name)
	n.publishSnapshot()
	n.notifyIfReleased()
}

func (n *Node) hasNoOwner(w *poolWatcher) bool { return n.leases[w.pool].Owner == "" }

// A node with at least weakOwnerWeightRatio times the owner's weight replaces the owner, after the
// owner has replied to weakOwnerReplies consecutive pings of the node.
const (
	weakOwnerWeightRatio = 2.0
	weakOwnerReplies     = 4
)

// replaceWeakOwner acquires a pool from an owner that has much less weight, that is, processor
// time, than this node. Such a node may have taken over the pool during an outage.
func (n *Node) replaceWeakOwner(w *poolWatcher) {
	if !n.ownerIsWeak(w) {
		w.weakReplies = 0
		return
	}
	if w.weakReplies++; w.weakReplies >= weakOwnerReplies {
		n.ifStoreReachable(func() { n.scheduleAcquire(w, "owner "+n.leases[w.pool].Owner+" has too little weight", n.ownerIsWeak) })
	}
}

// ownerIsWeak reports whether this node has enough weight to replace a pool's owner, and can do so
// now.
func (n *Node) ownerIsWeak(w *poolWatcher) bool {
	weight := n.ownerWeight(w.pool)
	return !n.options.DisabledMechanisms[mechanism.WeakOwnerTakeover] && weight > 0 && n.options.Weight >= weakOwnerWeightRatio*weight &&
		!n.storeLost() && !n.stopping.Load()
}

// ownerWeight returns the weight of a pool's owner, or 0 if it is unknown.
func (n *Node) ownerWeight(name string) float64 {
	lease := n.leases[name]
	if lease.Weight > 0 {
		return lease.Weight
	}
	return n.memberSample.members[lease.Owner].Weight
}

// ownerSuspected reports whether this node suspects a pool's owner and may replace it.
func (n *Node) ownerSuspected(w *poolWatcher) bool { return w.failures >= suspectAfterFailures }
