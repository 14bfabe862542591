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
	// probeAfter is how long a direct call may take before the node probes the store. The usual
	// latency is 5 to 15 ms.
	probeAfter = 300 * time.Millisecond
	// maxRelayAttempts is how many other nodes are tried for one call.
	maxRelayAttempts = 2
	// relayTimeout bounds one relayed call, in addition to the wait of a feed and to the time the
	// call takes to send over relayHops links.
	relayTimeout = 500 * time.Millisecond
	relayHops    = 2
	// relayScanTimeout bounds the wait for the first byte of a relayed scan of all job rows in a
	// partition. The relaying node reads all of them before it replies: 3.7 MB on a link of 10
	// Mbit/s.
	relayScanTimeout = 3 * time.Second
	// relayBackoff is how long no call is relayed after all attempts have failed, as the store is
	// then unavailable to all nodes.
	relayBackoff = 150 * time.Millisecond
)

// relayedStore calls the store directly, or through other nodes while the store refuses this one or
// a partition separates them. A call may be made both ways; transactions of callers have conditions
// that make a second commit harmless.
type relayedStore struct {
	node   *Node
	direct rows.Store
	// relayedReads are the pending reads through other nodes.
	relayedReads cancelableReads
	// preferredAddress is the address of the node that last relayed a call.
	preferredAddress atomic.Pointer[string]
	// noRelayUntil is when calls may be relayed again.
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

// Feed implements rows.Store. A direct feed that fails is not relayed; the caller's retry is.
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

// feedDirect is Feed without relays.
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
		// A feed that times out while other calls are answered does not mean that the store is
		// lost: its response may be queued behind a larger one.
		s.node.recordStoreFailure(err)
	}
	return listing, err
}

// storeCall is one call to a store.
type storeCall[T any] func(ctx context.Context, store rows.Store) (T, error)

// attempt is the outcome of one direct or relayed call.
type attempt[T any] struct {
	result T
	err    error
}

// hasResponse reports whether the outcome is the store's own response.
func (a *attempt[T]) hasResponse() bool { return a.err == nil || errors.Is(a.err, rows.ErrHistoryExpired) }

// callTimeouts bound the wait for the first byte of a response.
type callTimeouts struct {
	direct time.Duration
	// relayed is the timeout for each other node.
	relayed time.Duration
	// readOnly calls are canceled at other nodes once the store answers this one, which then
	// repeats them directly.
	readOnly bool
}

// callWithRelay makes a call directly and, if this node turns out to have lost the store, through
// another one. A call that fails or takes long while the store is reachable is not relayed, as a
// duplicate would add to the store's load.
func callWithRelay[T any](ctx context.Context, s *relayedStore, timeouts callTimeouts, call storeCall[T]) (T, error) {
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

// firstResponse returns the first response of two attempts, one of which may already have failed.
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

// lessCertain returns the error that leaves a call's effect more uncertain.
func lessCertain(a, b error) error {
	if errors.Is(a, rows.ErrNoEffect) {
		return b
	}
	return a
}

// relay makes a call through other nodes, one after another.
func relay[T any](ctx context.Context, s *relayedStore, timeouts callTimeouts, call storeCall[T]) (T, error) {
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

// relayAddresses lists the nodes to try: the one that last relayed a call, then others in random
// order. They include the owners of pools, which are known to be alive even if most known members
// are not.
func (s *relayedStore) relayAddresses() []string {
	v := s.node.snapshot.Load()
	addresses := map[string]bool{}
	for _, other := range v.members {
		addresses[other.Address] = true
	}
	for _, lease := range v.leases {
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
