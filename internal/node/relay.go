package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Periods and limits of calls to the store through other nodes.
const (
	// doubtAfter is how long a direct call may go without an answer before the node asks
	// whether the store is there. The store answers in some 5 to 15 ms.
	doubtAfter = 300 * time.Millisecond
	// probeTimeout bounds a look whether the store is there. A store that is slow for
	// all, by some fifty times, still answers a reading call in 0.2 s.
	probeTimeout = 400 * time.Millisecond
	// relayTries is how many other nodes are asked for one call.
	relayTries = 2
	// relayTimeout bounds one such call, on top of what the store is asked to wait.
	relayTimeout = 500 * time.Millisecond
	// relayPause is how long no other node is asked after none of those asked had the
	// store: then it is away for all.
	relayPause = 150 * time.Millisecond
)

// relayedStore is the store as this node reaches it: directly, or through other nodes
// while the store turns this one away or a cut lies between. The same call may be made
// both ways; callers' transactions have conditions that make the second one harmless.
type relayedStore struct {
	node   *Node
	direct rows.Store
	// preferred is the address of the node that last answered for the store.
	preferred atomic.Pointer[string]
	// noRelayUntil is when other nodes may be asked again.
	noRelayUntil atomic.Pointer[time.Time]
}

// Commit implements rows.Store.
func (s *relayedStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	return reach(ctx, s, func(ctx context.Context, store rows.Store) (rows.Result, error) {
		return store.Commit(ctx, transaction)
	})
}

// Scan implements rows.Store.
func (s *relayedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	return reach(ctx, s, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
		return store.Scan(ctx, table, part, prefix)
	})
}

// Feed implements rows.Store. A direct feed that fails is left to its caller's next
// try, which then goes through another node.
func (s *relayedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	if s.node.storeLost() {
		return relay(ctx, s, wait+relayTimeout, func(ctx context.Context, store rows.Store) (rows.Listing, error) {
			return store.Feed(ctx, table, after, wait)
		})
	}
	ctx, close := s.node.feeds.add(ctx, wait)
	defer close()
	listing, err := s.direct.Feed(ctx, table, after, wait)
	if err != nil && calledOff(ctx) {
		return listing, errors.Mark(errCalledOff, rows.ErrNoAnswer)
	}
	s.node.noteStore(err)
	s.node.noteStoreFailure(err)
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

// reach makes a call directly and, if the store turns out to be lost to this node,
// through another one. A call that fails or takes long while the store is there is the
// store's own matter: to make it twice would only add to its load.
func reach[T any](ctx context.Context, s *relayedStore, call storeCall[T]) (T, error) {
	if s.node.storeLost() {
		return relay(ctx, s, relayTimeout, call)
	}
	attempts := make(chan attempt[T], 2)
	go func() {
		result, err := call(ctx, s.direct)
		s.node.noteStore(err)
		attempts <- attempt[T]{result, err}
	}()
	timer := time.NewTimer(doubtAfter)
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
	if !s.node.losesStore() {
		if direct == nil {
			first := <-attempts
			direct = &first
		}
		return direct.result, direct.err
	}
	go func() {
		result, err := relay(ctx, s, relayTimeout, call)
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
	return first.result, lessKnown(failed.err, first.err)
}

// lessKnown returns the error after which less is known of a call's effect.
func lessKnown(a, b error) error {
	if errors.Is(a, rows.ErrRefused) {
		return b
	}
	return a
}

// relay makes a call through other nodes, one after another, each for up to limit.
func relay[T any](ctx context.Context, s *relayedStore, limit time.Duration, call storeCall[T]) (T, error) {
	var none T
	failure := errors.Mark(errors.New("no other node has the store"), rows.ErrRefused)
	if s.node.options.Off[mechanism.StoreRelay] {
		return none, failure
	}
	if until := s.noRelayUntil.Load(); until != nil && time.Now().Before(*until) {
		return none, failure
	}
	for _, address := range s.relays() {
		tryContext, cancel := context.WithTimeout(ctx, limit)
		result, err := call(tryContext, &peerStore{node: s.node, address: address})
		cancel()
		tried := attempt[T]{result, err}
		if tried.answered() {
			s.preferred.Store(&address)
			s.node.noteStoreReached()
			s.node.edges.Record.Count("store_relays", "answered")
			return result, err
		}
		s.node.edges.Record.Count("store_relays", "failed")
		failure = lessKnown(failure, err)
		if ctx.Err() != nil {
			return none, failure
		}
	}
	until := time.Now().Add(relayPause)
	s.noRelayUntil.Store(&until)
	return none, failure
}

// storeReachable reports whether the next call to the store may succeed, directly or
// through another node.
func (n *Node) storeReachable() bool {
	if !n.storeLost() {
		return true
	}
	until := n.store.noRelayUntil.Load()
	return until == nil || time.Since(*until) > relayPause
}

// relays lists the nodes to ask: the one that last answered, then others by chance.
func (s *relayedStore) relays() []string {
	var addresses []string
	preferred := s.preferred.Load()
	for _, other := range s.node.view.Load().members {
		if preferred == nil || other.Address != *preferred {
			addresses = append(addresses, other.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if preferred != nil {
		addresses = append([]string{*preferred}, addresses...)
	}
	return addresses[:min(relayTries, len(addresses))]
}

// peerStore is the store by way of one other node.
type peerStore struct {
	node    *Node
	address string
}

// storeRequest asks a node to make one call to the store. Exactly one field is set.
type storeRequest struct {
	Commit *rows.Transaction `json:"commit,omitempty"`
	Scan   *scanRequest      `json:"scan,omitempty"`
	Feed   *feedRequest      `json:"feed,omitempty"`
}

type scanRequest struct {
	Table  string `json:"table"`
	Part   string `json:"part"`
	Prefix string `json:"prefix"`
}

type feedRequest struct {
	Table      string `json:"table"`
	After      int64  `json:"after"`
	WaitMillis int64  `json:"wait_ms"`
}

// storeReply is the store's answer.
type storeReply struct {
	Result  rows.Result  `json:"result"`
	Listing rows.Listing `json:"listing"`
	// HistoryGone says that a feed must be started anew.
	HistoryGone bool `json:"history_gone,omitempty"`
}

// Commit implements rows.Store.
func (p *peerStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	reply, err := p.call(ctx, storeRequest{Commit: &transaction})
	return reply.Result, err
}

// Scan implements rows.Store.
func (p *peerStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	reply, err := p.call(ctx, storeRequest{Scan: &scanRequest{Table: table, Part: part, Prefix: prefix}})
	return reply.Listing, err
}

// Feed implements rows.Store.
func (p *peerStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	reply, err := p.call(ctx, storeRequest{Feed: &feedRequest{Table: table, After: after, WaitMillis: wait.Milliseconds()}})
	return reply.Listing, err
}

func (p *peerStore) call(ctx context.Context, request storeRequest) (storeReply, error) {
	var reply storeReply
	document, err := p.node.call(ctx, p.address, methodStore, request)
	if err != nil {
		return reply, fromStoreFault(err)
	}
	if err := json.Unmarshal(document, &reply); err != nil {
		return reply, errors.Mark(err, rows.ErrNoAnswer)
	}
	if reply.HistoryGone {
		return reply, rows.ErrHistoryGone
	}
	return reply, nil
}

// fromStoreFault turns another node's fault into an error of the store.
func fromStoreFault(err error) error {
	if fault.IsKind(err, fault.StoreUnavailable) || fault.IsKind(err, fault.NoOwner) {
		return errors.Mark(err, rows.ErrRefused)
	}
	return errors.Mark(err, rows.ErrNoAnswer)
}

// serveStore makes a call to the store for another node, directly only.
func (n *Node) serveStore(ctx context.Context, request storeRequest) (storeReply, error) {
	var reply storeReply
	if n.storeLost() {
		return reply, fault.New(fault.StoreUnavailable, "this node has lost the store too")
	}
	var err error
	switch {
	case request.Commit != nil:
		reply.Result, err = n.edges.Store.Commit(ctx, *request.Commit)
	case request.Scan != nil:
		reply.Listing, err = n.edges.Store.Scan(ctx, request.Scan.Table, request.Scan.Part, request.Scan.Prefix)
	case request.Feed != nil:
		wait := time.Duration(request.Feed.WaitMillis) * time.Millisecond
		reply.Listing, err = n.edges.Store.Feed(ctx, request.Feed.Table, request.Feed.After, min(wait, feedWait))
	default:
		return reply, fault.New(fault.InvalidRequest, "a call to the store without content")
	}
	if errors.Is(err, rows.ErrHistoryGone) {
		return storeReply{HistoryGone: true}, nil
	}
	n.noteStore(err)
	if err != nil {
		return reply, storeFailure(err)
	}
	return reply, nil
}

// withStore runs fn on the loop if the store answers this node directly.
func (n *Node) withStore(fn func()) {
	if n.storeLost() {
		return
	}
	if n.storeAge() < storeFresh {
		fn()
		return
	}
	run(n.ports, probeTimeout, n.probe, func(_ struct{}, err error) {
		if err == nil {
			fn()
		}
	})
}

// storeFresh is the age of the store's last answer up to which a node need not ask
// whether it is there.
const storeFresh = time.Second

// probe asks the store for this node's own row, directly.
func (n *Node) probe(ctx context.Context) (struct{}, error) {
	_, err := n.edges.Store.Scan(ctx, pool.NodeTable, "", n.options.Name)
	n.noteStore(err)
	return struct{}{}, err
}

// losesStore looks whether the store still answers this node, after a call to it that
// failed or takes long. Calls that ask at the same time share one look.
func (n *Node) losesStore() bool {
	if n.storeLost() {
		return true
	}
	look := &storeLook{done: make(chan struct{})}
	if !n.look.CompareAndSwap(nil, look) {
		if other := n.look.Load(); other != nil {
			<-other.done
		}
		return n.storeLost()
	}
	ctx, cancel := context.WithTimeout(n.ports.ctx, probeTimeout)
	defer cancel()
	_, err := n.probe(ctx)
	n.noteStoreFailure(err)
	n.look.Store(nil)
	close(look.done)
	return n.storeLost()
}

// storeLook is a look at the store under way.
type storeLook struct{ done chan struct{} }

// probePeriod is the pause between two direct calls that look whether the store is
// back.
const probePeriod = 200 * time.Millisecond

// probeStore looks whether a store that this node lost is back.
func (n *Node) probeStore() {
	if n.storeLost() {
		go func() {
			ctx, cancel := context.WithTimeout(n.ports.ctx, probeTimeout)
			defer cancel()
			// A store that is still away shows by what noteStore does not note.
			_, _ = n.probe(ctx)
			n.edges.Loop.After(probePeriod, n.probeStore)
		}()
		return
	}
	n.edges.Loop.After(probePeriod, n.probeStore)
}
