package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/ratelimit"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// versionedLease is a pool's lease with the version of its row.
type versionedLease struct {
	pool.Lease
	version int64
}

// snapshot is an immutable copy of the state that request handlers read.
type snapshot struct {
	members []member
	leases  map[string]versionedLease
	owned   map[string]*pool.Pool
	// watched are the names of the watched pools.
	watched []string
	// waiting holds the last counts of waiting jobs that each pool's owner reported.
	waiting map[string]waitingCounts
}

// waitingCounts are the counts of waiting jobs by queue that an owner reported at a time.
type waitingCounts struct {
	counts map[string]int
	at     time.Time
}

// Node is the control state of one process. The methods run on the event loop (Dependencies.Loop)
// unless documented otherwise.
type Node struct {
	options      Options
	dependencies Dependencies
	ports        *ports
	feeds        cancelableReads
	// feedFailures counts consecutive direct feeds that timed out.
	feedFailures atomic.Int32
	// storeRetries holds the failed store calls that are to be retried.
	storeRetries *loop.Retries
	// store calls the store directly or through other nodes.
	store   *relayedStore
	catalog atomic.Pointer[catalog.Catalog]
	// document is the encoded form of catalog, the decoded configuration.
	document atomic.Pointer[document]
	// servedDocuments are the documents that other nodes are downloading.
	servedDocuments servedDocuments
	// configurationTransferStart is when the first byte of the configuration that the store is
	// sending arrived; nil while the store sends none. The node makes one such call at a time.
	configurationTransferStart atomic.Pointer[time.Time]
	// confirmedAt is when the configuration was last known to be the newest.
	confirmedAt atomic.Pointer[time.Time]
	// confirmedByPeerAt is the time for which another node last confirmed the configuration.
	confirmedByPeerAt atomic.Pointer[time.Time]
	snapshot          atomic.Pointer[snapshot]
	// storeRespondedAt is when the store last responded to this node directly. storeFailedAt is
	// when a feed or a probe last failed. storeReachedAt is when the store last responded directly
	// or through another node.
	storeRespondedAt atomic.Pointer[time.Time]
	storeFailedAt    atomic.Pointer[time.Time]
	storeReachedAt   atomic.Pointer[time.Time]
	// storeLatency is the latency of this node's own calls. reportedLatency is the latency that a
	// pool's owner last reported.
	storeLatency    latencyWindow
	reportedLatency atomic.Pointer[reportedLatency]
	// storeUnavailable is true from a failed feed or probe until the store's next direct response.
	storeUnavailable atomic.Bool
	// currentProbe is the store probe in flight; nil if there is none.
	currentProbe    atomic.Pointer[storeProbe]
	stopping        atomic.Bool
	schedulingDelay schedulingDelay
	// recoveryProbing is true while the node probes a lost store until the store recovers.
	recoveryProbing bool

	// startedAt is when Start was called. readingConfiguration is true while this node reads or
	// follows the operators' table. A configuration follower reads it once its confirmation is older
	// than fallbackAge.
	startedAt            time.Time
	readingConfiguration bool
	// watchingStore is true while a follower keeps a feed of reachabilityTable open.
	watchingStore bool
	fallbackAge   time.Duration

	memberSample memberSample
	// joining is true while the node writes its member rows.
	joining bool
	leases  map[string]versionedLease
	// followingLeases is true while this node follows the lease table.
	followingLeases bool
	// pingHistory records the pings that this node received as an owner. pruning is true while this
	// node, as an owner, removes the rows of expired members.
	pingHistory pingHistory
	pruning     bool
	watchers    map[string]*poolWatcher
	// discoveringPools is true while this node lists the pools that have jobs.
	discoveringPools bool
	owned            map[string]*pool.Pool
	// statements are what other nodes have stated about the owned pools.
	statements ownershipStatements
	// confirmationLoggedAt is when a line about confirmations without the store was last logged.
	confirmationLoggedAt map[confirmationLog]time.Time
	waiting              map[string]waitingCounts
	// evacuated are the zones that operators have evacuated.
	evacuated  evacuation.Set
	onReleased func()
	download   download
	pings      pingSchedule
}

// New returns a node that is idle until Start.
func New(ctx context.Context, options Options, dependencies Dependencies) *Node {
	n := &Node{
		options: options, dependencies: dependencies,
		memberSample: memberSample{members: map[string]member{}}, leases: map[string]versionedLease{},
		watchers: map[string]*poolWatcher{}, owned: map[string]*pool.Pool{},
		statements: newOwnershipStatements(), confirmationLoggedAt: map[confirmationLog]time.Time{},
		waiting: map[string]waitingCounts{}, fallbackAge: newFallbackAge(options.MaxConfigurationAge),
	}
	n.ports = &ports{ctx: ctx, node: n, linkLimiter: ratelimit.New(linkFraction*options.LinkBytesPerSecond, linkBurst, uptime.Now)}
	n.storeRetries = loop.NewRetries(dependencies.Loop)
	n.store = &relayedStore{node: n, direct: &observedStore{Store: dependencies.Store, node: n}}
	n.snapshot.Store(&snapshot{})
	return n
}

// Start joins the cluster and begins to follow the configuration and to ping the owners of pools.
func (n *Node) Start() {
	n.join()
	n.startedAt = n.now()
	n.readMembers()
	n.discoverPools()
	n.updateConfigurationFeed()
	n.refreshPeriodically()
	n.dependencies.Loop.After(jitter(startupRefreshDelay), n.refreshMembers)
	n.pingOwners()
	n.pollConfiguration()
	n.checkConfirmation()
	n.watchSuspensions()
}

func (n *Node) now() time.Time { return n.dependencies.Loop.Now() }

func (n *Node) publishSnapshot() {
	next := &snapshot{leases: map[string]versionedLease{}, owned: map[string]*pool.Pool{}, waiting: map[string]waitingCounts{}, watched: sortedKeys(n.watchers)}
	for _, name := range sortedKeys(n.memberSample.members) {
		if name != n.options.Name {
			next.members = append(next.members, n.memberSample.members[name])
		}
	}
	for name, lease := range n.leases {
		next.leases[name] = lease
	}
	for name, p := range n.owned {
		next.owned[name] = p
	}
	for name, counts := range n.waiting {
		next.waiting[name] = counts
	}
	n.snapshot.Store(next)
}

// recordStoreResult records a direct response of the store if err is nil or a rejection, and ignores
// other errors. It may be called from any goroutine.
func (n *Node) recordStoreResult(err error) {
	if err != nil && !errors.Is(err, rows.ErrRejected) {
		return
	}
	now := uptime.Now()
	n.storeReachedAt.Store(&now)
	silentFor := age(n.storeRespondedAt.Swap(&now))
	if n.storeUnavailable.CompareAndSwap(true, false) {
		n.dependencies.Loop.Post(n.handleStoreRecovery)
		n.dependencies.Recorder.LogEvent("store reachable again", "silent_ms", silentFor.Milliseconds())
	}
}

// handleStoreRecovery retries the failed calls at once. It cancels the reads that are relayed
// through other nodes; their retries call the store directly.
func (n *Node) handleStoreRecovery() {
	n.store.relayedReads.cancelIdle(0)
	n.storeRetries.RunPending()
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].StoreRecovered()
	}
}

// recordStoreFailure records a failed feed or probe. Failed transactions are not recorded, as only
// one partition of the store may have failed.
func (n *Node) recordStoreFailure(err error) {
	if err == nil || errors.Is(err, rows.ErrHistoryExpired) {
		return
	}
	now := uptime.Now()
	n.storeFailedAt.Store(&now)
	if n.storeUnavailable.CompareAndSwap(false, true) {
		n.dependencies.Loop.After(probePeriod, n.startRecoveryProbes)
		n.feeds.cancelIdle(0)
		n.dependencies.Recorder.LogEvent("store unreachable", "reason", err.Error(), "answered_ms_ago", n.storeAge().Milliseconds())
	}
}

// recordStoreReached records a response of the store through another node.
func (n *Node) recordStoreReached() {
	now := uptime.Now()
	n.storeReachedAt.Store(&now)
}

// storeAge returns how long ago the store last responded to this node directly.
func (n *Node) storeAge() time.Duration { return age(n.storeRespondedAt.Load()) }

// storeRespondedSince reports whether the store has responded to this node directly since a time.
func (n *Node) storeRespondedSince(at time.Time) bool {
	respondedAt := n.storeRespondedAt.Load()
	return respondedAt != nil && respondedAt.After(at)
}

// storeReachedAge returns how long ago the store last responded to this node, directly or through
// another node.
func (n *Node) storeReachedAge() time.Duration { return age(n.storeReachedAt.Load()) }

// storeLost reports whether the last failure of the store is more recent than its last direct
// response.
func (n *Node) storeLost() bool {
	respondedAt, failedAt := n.storeRespondedAt.Load(), n.storeFailedAt.Load()
	return failedAt != nil && (respondedAt == nil || failedAt.After(*respondedAt))
}

const unknownAge = time.Hour

func age(at *time.Time) time.Duration {
	if at == nil {
		return unknownAge
	}
	return uptime.Since(*at)
}

// Stop shuts the node down gracefully. The node removes its member rows, releases its pools and
// then calls done.
func (n *Node) Stop(done func()) {
	n.stopping.Store(true)
	n.onReleased = done
	n.ports.Commit(rows.Transaction{Removes: n.memberRowKeys()}, func(rows.Result, error) {})
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].Release()
	}
	n.notifyIfReleased()
}

func (n *Node) notifyIfReleased() {
	if n.onReleased != nil && len(n.owned) == 0 {
		n.onReleased()
		n.onReleased = nil
	}
}
