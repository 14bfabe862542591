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

// Periods and limits of calls to the store through other nodes.
const (
	// probeAfter is how long a direct call may go without an answer before the node asks
	// whether the store is there. The store answers in some 5 to 15 ms.
	probeAfter = 300 * time.Millisecond
	// maxRelayAttempts is how many other nodes are asked for one call.
	maxRelayAttempts = 2
	// relayTimeout bounds one such call, on top of what the store is asked to wait and of
	// what the call takes to send, which it is relayHops times.
	relayTimeout = 500 * time.Millisecond
	relayHops    = 2
	// relayScanTimeout bounds the beginning of all jobs' rows in a part through another
	// node, which reads them all before it hands them on: 3.7 MB on a link of 10 Mbit/s.
	relayScanTimeout = 3 * time.Second
	// relayBackoff is how long no other node is asked after none of those asked had the
	// store: then it is away for all.
	relayBackoff = 150 * time.Millisecond
)

// relayedStore is the store as this node reaches it: directly, or through other nodes
// while the store turns this one away or a cut lies between. The same call may be made
// both ways; callers' transactions have conditions that make the second one harmless.
type relayedStore struct {
	node   *Node
	direct rows.Store
	// relayedReads are the reading calls that other nodes make for this one.
	relayedReads cancelableReads
	// preferred is the address of the node that last answered for the store.
	preferred atomic.Pointer[string]
	// noRelayUntil is when other nodes may be asked again.
	noRelayUntil atomic.Pointer[time.Time]
}

// Commit implements rows.Store.
func (s *relayedStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	sendTime := rows.SendTime(transaction)
	bounds := callTimeouts{direct: storeTimeout + sendTime, relayed: relayTimeout + relayHops*sendTime}
	return callWithRelay(ctx, s, bounds, func(ctx context.Context, store rows.Store) (rows.Result, error) {
		return store.Commit(ctx, transaction)
	})
}

// Scan implements rows.Store.
func (s *relayedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	bounds := callTimeouts{direct: storeTimeout, relayed: relayTimeout, readOnly: true}
	if allJobs := prefix == "" && table != pool.NodeTable; allJobs {
		bounds.relayed = relayScanTimeout
	}
	return callWithRelay(ctx, s, bounds, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
		return store.Scan(ctx, table, part, prefix)
	})
}

// Page implements rows.Store.
func (s *relayedStore) Page(ctx context.Context, table, part, from string, limit int) (rows.Listing, error) {
	bounds := callTimeouts{direct: storeTimeout, relayed: relayTimeout, readOnly: true}
	return callWithRelay(ctx, s, bounds, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
		return store.Page(ctx, table, part, from, limit)
	})
}

// Feed implements rows.Store. A direct feed that fails is left to its caller's next
// try, which then goes through another node.
func (s *relayedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	if s.node.storeLost() {
		return relay(ctx, s, callTimeouts{relayed: wait + relayTimeout, readOnly: true}, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
			return store.Feed(ctx, table, after, wait)
		})
	}
	return s.feedDirect(ctx, table, after, wait)
}

// errStoreLost ends a direct call to a store that this node lost.
var errStoreLost = errors.Mark(errors.New("the store does not answer this node"), rows.ErrRefused)

// scanDirect reads a part without the help of other nodes.
func (s *relayedStore) scanDirect(ctx context.Context, table, part string) (rows.Listing, error) {
	if s.node.storeLost() {
		return rows.Listing{}, errStoreLost
	}
	listing, err := s.direct.Scan(ctx, table, part, "")
	s.node.recordStoreResult(err)
	return listing, err
}

// feedDirect is Feed without the help of other nodes.
func (s *relayedStore) feedDirect(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	if s.node.storeLost() {
		return rows.Listing{}, errStoreLost
	}
	ctx, done := s.node.feeds.add(ctx, wait)
	defer done()
	listing, err := s.direct.Feed(ctx, table, after, wait)
	if err != nil && feedCanceled(ctx) {
		return listing, errors.Mark(errFeedCanceled, rows.ErrNoAnswer)
	}
	s.node.recordFeedResult(err)
	s.node.recordStoreResult(err)
	if !errors.Is(err, rows.ErrNoAnswer) || s.node.storeAge() > probeTimeout {
		// A feed without an answer says nothing of a store that answers other calls: its
		// answer may wait behind a larger one.
		s.node.recordStoreFailure(err)
	}
	return listing, err
}

// storeCall is one call to a store.
type storeCall[T any] func(ctx context.Context, store rows.Store) (T, error)

// attempt is what one way of a call brought.
type attempt[T any] struct {
	result T
	err    error
}

// answered reports whether the store itself said so.
func (a *attempt[T]) answered() bool { return a.err == nil || errors.Is(a.err, rows.ErrHistoryGone) }

// callTimeouts are by when the answer to a call has to begin.
type callTimeouts struct {
	direct time.Duration
	// relayed is the bound for each other node.
	relayed time.Duration
	// readOnly calls only read. Through other nodes they are given up once the store
	// answers this one, which then reads by itself.
	readOnly bool
}

// callWithRelay makes a call directly and, if the store turns out to be lost to this node,
// through another one. A call that fails or takes long while the store is there is the
// store's own matter: to make it twice would only add to its load.
func callWithRelay[T any](ctx context.Context, s *relayedStore, bounds callTimeouts, call storeCall[T]) (T, error) {
	if s.node.storeLost() {
		return relay(ctx, s, bounds, call)
	}
	attempts := make(chan attempt[T], 2)
	go func() {
		directContext, cancel := progress.WithPatience(ctx, progressTimeout(bounds.direct))
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
		if first.answered() || ctx.Err() != nil {
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
		result, err := relay(ctx, s, bounds, call)
		attempts <- attempt[T]{result, err}
	}()
	return firstAnswer(attempts, direct)
}

// firstAnswer returns the first answer of two attempts, of which one may have failed
// already.
func firstAnswer[T any](attempts <-chan attempt[T], failed *attempt[T]) (T, error) {
	first := <-attempts
	if first.answered() {
		return first.result, first.err
	}
	if failed == nil {
		second := <-attempts
		if second.answered() {
			return second.result, second.err
		}
		failed = &second
	}
	return first.result, lessCertain(failed.err, first.err)
}

// lessCertain returns the error after which less is known of a call's effect.
func lessCertain(a, b error) error {
	if errors.Is(a, rows.ErrRefused) {
		return b
	}
	return a
}

// relay makes a call through other nodes, one after another.
func relay[T any](ctx context.Context, s *relayedStore, bounds callTimeouts, call storeCall[T]) (T, error) {
	var zero T
	failure := errors.Mark(errors.New("no other node has the store"), rows.ErrRefused)
	if s.node.options.Off[mechanism.StoreRelay] {
		return zero, failure
	}
	if until := s.noRelayUntil.Load(); until != nil && uptime.Now().Before(*until) {
		return zero, failure
	}
	for _, address := range s.relayAddresses() {
		attemptContext, cancel := progress.WithPatience(ctx, progressTimeout(bounds.relayed))
		ended := func() {}
		if bounds.readOnly {
			attemptContext, ended = s.relayedReads.add(attemptContext, bounds.relayed)
		}
		result, err := call(attemptContext, &peerStore{node: s.node, address: address})
		ended()
		cancel()
		tried := attempt[T]{result, err}
		if tried.answered() {
			s.preferred.Store(&address)
			s.node.recordStoreReached()
			s.node.edges.Record.Count("store_relays", "answered")
			return result, err
		}
		s.node.edges.Record.Count("store_relays", "failed")
		failure = lessCertain(failure, err)
		if ctx.Err() != nil || feedCanceled(attemptContext) {
			return zero, failure
		}
	}
	until := uptime.Now().Add(relayBackoff)
	s.noRelayUntil.Store(&until)
	return zero, failure
}

// relayAddresses lists the nodes to ask: the one that last answered, then others by chance. Owners of pools
// are among them, which are known to be there also when most of the known members are not.
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
	if preferred := s.preferred.Load(); preferred != nil {
		order = append(order, *preferred)
		delete(addresses, *preferred)
	}
	others := sortedKeys(addresses)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	order = append(order, others...)
	return order[:min(maxRelayAttempts, len(order))]
}
