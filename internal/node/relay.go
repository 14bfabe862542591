package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// Timeouts and limits of store calls through other nodes.
const (
	// probeAfter is how long a direct call may take before the node probes the store. It is many
	// times the usual latency.
	probeAfter = 300 * time.Millisecond
	// maxRelayAttempts is how many other nodes a node tries for one call.
	maxRelayAttempts = 2
	// relayTimeout bounds the wait for the first byte of a relayed call's response. The wait of a
	// feed, and the time that a transaction takes to send over relayHops links, are added.
	relayTimeout = 500 * time.Millisecond
	relayHops    = 2
	// relayScanTimeout replaces relayTimeout for a relayed scan of all job rows in a partition. The
	// relaying node reads all rows before it sends the first byte. At 10 Mbit/s it reads 3.7 MB in
	// this time.
	relayScanTimeout = 3 * time.Second
	// relayBackoff is how long a node relays no calls after all attempts for a call have failed.
	// The store is then probably unavailable to all nodes.
	relayBackoff = 150 * time.Millisecond
)

// relayedStore calls the store directly. While this node has lost the store, relayedStore relays
// calls through other nodes. A call may be made both directly and through another node, so a
// transaction may be committed twice. Callers give their transactions conditions that make a second
// commit harmless.
type relayedStore struct {
	node   *Node
	direct rows.Store
	// relayedReads are the pending reads that are relayed through other nodes.
	relayedReads cancelableReads
	// preferredAddress is the address of the node that last relayed a call.
	preferredAddress atomic.Pointer[string]
	// noRelayUntil is the end of the current relayBackoff; nil before the first.
	noRelayUntil atomic.Pointer[time.Time]
}

// Commit implements rows.Store.
func (s *relayedStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	sendTime := rows.SendTime(transaction)
	timeouts := callTimeouts{direct: storeTimeout + sendTime, relayed: relayTimeout + relayHops*sendTime}
	return callWithRelay(ctx, s, timeouts, func(ctx context.Context, store rows.Store) (rows.Result, error) {
		return store.Commit(ctx, transaction)
	})
}

// Scan implements rows.Store.
func (s *relayedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	timeouts := callTimeouts{direct: storeTimeout, relayed: relayTimeout, readOnly: true}
	if allJobs := prefix == "" && table != pool.NodeTable; allJobs {
		timeouts.relayed = relayScanTimeout
	}
	return callWithRelay(ctx, s, timeouts, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
		return store.Scan(ctx, table, part, prefix)
	})
}

// Page implements rows.Store.
func (s *relayedStore) Page(ctx context.Context, table, part, from string, limit int) (rows.Listing, error) {
	timeouts := callTimeouts{direct: storeTimeout, relayed: relayTimeout, readOnly: true}
	return callWithRelay(ctx, s, timeouts, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
		return store.Page(ctx, table, part, from, limit)
	})
}

// Partitions implements rows.Store.
func (s *relayedStore) Partitions(ctx context.Context, table string) ([]string, error) {
	timeouts := callTimeouts{direct: storeTimeout, relayed: relayTimeout, readOnly: true}
	return callWithRelay(ctx, s, timeouts, func(ctx context.Context, store rows.Store) ([]string, error) {
		return store.Partitions(ctx, table)
	})
}

// Feed implements rows.Store. It does not relay a direct feed that failed. If the node has then
// lost the store, the caller's next feed is relayed.
func (s *relayedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	if s.node.storeLost() {
		return relay(ctx, s, callTimeouts{relayed: wait + relayTimeout, readOnly: true}, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
			return store.Feed(ctx, table, after, wait)
		})
	}
	return s.feedDirect(ctx, table, after, wait)
}

// errStoreLost is returned for direct calls while this node has lost the store.
var errStoreLost = errors.Mark(errors.New("store unreachable from this node"), rows.ErrNoEffect)

// scanDirect reads a partition without relays.
func (s *relayedStore) scanDirect(ctx context.Context, table, part string) (rows.Listing, error) {
	if s.node.storeLost() {
		return rows.Listing{}, errStoreLost
	}
	listing, err := s.direct.Scan(ctx, table, part, "")
	s.node.recordStoreResult(err)
	return listing, err
}

// feedDirect makes a feed without relays.
func (s *relayedStore) feedDirect(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	if s.node.storeLost() {
		return rows.Listing{}, errStoreLost
	}
	ctx, unregister := s.node.feeds.add(ctx, wait)
	defer unregister()
	listing, err := s.direct.Feed(ctx, table, after, wait)
	if err != nil && readCanceled(ctx) {
		return listing, errors.Mark(errReadCanceled, rows.ErrOutcomeUnknown)
	}
	s.node.recordFeedResult(err)
	s.node.recordStoreResult(err)
	if !errors.Is(err, rows.ErrOutcomeUnknown) || s.node.storeAge() > probeTimeout {
		// A feed that times out while the store responds to other calls does not mean that the
		// store is lost. The feed's response may be queued behind a larger response.
		s.node.recordStoreFailure(err)
	}
	return listing, err
}

// storeFunc is one call to a store.
type storeFunc[T any] func(ctx context.Context, store rows.Store) (T, error)

// attempt is the outcome of one direct or relayed call.
type attempt[T any] struct {
	result T
	err    error
}

// hasResponse reports whether the store itself responded: with a result, by reporting that the
// history has expired, by not serving the call, or by rejecting it for its content.
func (a *attempt[T]) hasResponse() bool {
	return a.err == nil || errors.IsAny(a.err, rows.ErrHistoryExpired, rows.ErrUnsupported, rows.ErrRejected)
}

// callTimeouts bound the wait for the first byte of a response.
type callTimeouts struct {
	direct time.Duration
	// relayed is the timeout for each other node.
	relayed time.Duration
	// readOnly is true for calls that change no rows. A relayed read-only call is canceled once the
	// store responds to this node again. The caller then repeats the call directly.
	readOnly bool
}

// callWithRelay makes a call directly. If the call fails or takes long and a probe shows that this
// node has lost the store, callWithRelay also makes the call through another node. While the store
// is reachable, it does not relay the call, as a duplicate would add to the store's load.
func callWithRelay[T any](ctx context.Context, s *relayedStore, timeouts callTimeouts, call storeFunc[T]) (T, error) {
	if s.node.storeLost() {
		return relay(ctx, s, timeouts, call)
	}
	attempts := make(chan attempt[T], 2)
	go func() {
		directContext, cancel := progress.WithTimeouts(ctx, progressTimeout(timeouts.direct))
		defer cancel()
		result, err := call(directContext, s.direct)
		s.node.recordStoreResult(err)
		attempts <- attempt[T]{result, err}
	}()
	timer := time.NewTimer(probeAfter)
	defer timer.Stop()
	var direct *attempt[T]
	select {
	case first := <-attempts:
		if first.hasResponse() || ctx.Err() != nil {
			return first.result, first.err
		}
		direct = &first
	case <-timer.C:
	}
	if !s.node.confirmStoreLost() {
		if direct == nil {
			first := <-attempts
			direct = &first
		}
		return direct.result, direct.err
	}
	go func() {
		result, err := relay(ctx, s, timeouts, call)
		attempts <- attempt[T]{result, err}
	}()
	return firstResponse(attempts, direct)
}

// firstResponse returns the first response of two attempts. failed is the first attempt's outcome
// if that attempt has already failed, and nil otherwise.
func firstResponse[T any](attempts <-chan attempt[T], failed *attempt[T]) (T, error) {
	first := <-attempts
	if first.hasResponse() {
		return first.result, first.err
	}
	if failed == nil {
		second := <-attempts
		if second.hasResponse() {
			return second.result, second.err
		}
		failed = &second
	}
	return first.result, lessCertain(failed.err, first.err)
}

// lessCertain returns the error that leaves the call's effect less certain: b if a means no effect,
// else a.
func lessCertain(a, b error) error {
	if errors.Is(a, rows.ErrNoEffect) {
		return b
	}
	return a
}

// relay makes a call through other nodes, one after another, until one of them returns the store's
// response.
func relay[T any](ctx context.Context, s *relayedStore, timeouts callTimeouts, call storeFunc[T]) (T, error) {
	var zero T
	failure := errors.Mark(errors.New("no other node reaches the store"), rows.ErrNoEffect)
	if s.node.options.DisabledMechanisms[mechanism.StoreRelay] {
		return zero, failure
	}
	if until := s.noRelayUntil.Load(); until != nil && uptime.Now().Before(*until) {
		return zero, failure
	}
	for _, address := range s.relayAddresses() {
		attemptContext, cancel := progress.WithTimeouts(ctx, progressTimeout(timeouts.relayed))
		unregister := func() {}
		if timeouts.readOnly {
			attemptContext, unregister = s.relayedReads.add(attemptContext, timeouts.relayed)
		}
		result, err := call(attemptContext, &peerStore{node: s.node, address: address})
		unregister()
		cancel()
		outcome := attempt[T]{result, err}
		if outcome.hasResponse() {
			s.preferredAddress.Store(&address)
			s.node.recordStoreReached()
			s.node.dependencies.Recorder.Count("store_relays", "answered")
			return result, err
		}
		s.node.dependencies.Recorder.Count("store_relays", "failed")
		failure = lessCertain(failure, err)
		if ctx.Err() != nil || readCanceled(attemptContext) {
			return zero, failure
		}
	}
	until := uptime.Now().Add(relayBackoff)
	s.noRelayUntil.Store(&until)
	return zero, failure
}

// relayAddresses lists the addresses to try: first the node that last relayed a call, then other
// nodes in random order. The list includes the owners of pools, since most members of the sample
// may have failed while the owners are alive.
func (s *relayedStore) relayAddresses() []string {
	current := s.node.snapshot.Load()
	addresses := map[string]bool{}
	for _, other := range current.members {
		addresses[other.Address] = true
	}
	for _, lease := range current.leases {
		if lease.Owner != "" && lease.Owner != s.node.options.Name {
			addresses[lease.Address] = true
		}
	}
	var order []string
	if preferred := s.preferredAddress.Load(); preferred != nil {
		order = append(order, *preferred)
		delete(addresses, *preferred)
	}
	others := sortedKeys(addresses)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	order = append(order, others...)
	return order[:min(maxRelayAttempts, len(order))]
}
