package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/ratelimit"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// ports makes calls to external services on separate goroutines and posts the results to the loop.
// It implements pool.Ports.
type ports struct {
	ctx  context.Context
	node *Node
	// linkLimiter limits the rate of orders, scans and transactions on the machine's link. An order
	// is a call to a worker.
	linkLimiter *ratelimit.Limiter
}

// An owner's orders and reads come in bursts: a start and a poll for each task of a step with many
// tasks, or all rows of a pool after a takeover. Without rate limiting, pings queue behind a burst
// on a slow link and time out. Another node then takes over the pool.
const (
	// linkFraction is the part of the link's bandwidth that the rate limiter admits. linkBurst is
	// the length of a burst at that rate.
	linkFraction = 0.8
	linkBurst    = 100 * time.Millisecond
	// orderOverheadBytes is the size of an order without its payload, including headers. The
	// worker's reply has about the same size.
	orderOverheadBytes = 450
	// scanEstimateBytes is the size that the rate limiter assumes for a scan until the response is
	// complete.
	scanEstimateBytes = 4 << 10
)

// runRateLimited waits until the rate limiter admits the given bytes, then does what runAsync does.
// The timeouts start after the wait.
func runRateLimited[T any](p *ports, bytes int, timeouts progress.Timeouts, work func(context.Context) (T, error), done func(T, error)) {
	go func() {
		if err := p.linkLimiter.Wait(p.ctx, bytes); err == nil {
			runWithTimeouts(p, timeouts, work, done)
		}
	}()
}

// runWithTimeouts calls work with the given timeouts and posts the result to the loop.
func runWithTimeouts[T any](p *ports, timeouts progress.Timeouts, work func(context.Context) (T, error), done func(T, error)) {
	ctx, cancel := progress.WithTimeouts(p.ctx, timeouts)
	defer cancel()
	result, err := work(ctx)
	p.node.dependencies.Loop.Post(func() { done(result, err) })
}

// progressTimeout returns timeouts that let a response continue while it makes progress, if its
// first byte arrives within limit. Abandoning and repeating large responses would saturate slow
// links.
func progressTimeout(limit time.Duration) progress.Timeouts {
	return progress.Timeouts{FirstByte: limit, Idle: responseStallTimeout, Total: max(limit, responseTimeout)}
}

// fixedTimeout returns timeouts that bound a call as a whole.
func fixedTimeout(limit time.Duration) progress.Timeouts {
	return progress.Timeouts{FirstByte: limit, Idle: limit, Total: limit}
}

// runAsync calls work on a separate goroutine and posts the result to the loop.
func runAsync[T any](p *ports, timeouts progress.Timeouts, work func(context.Context) (T, error), done func(T, error)) {
	go runWithTimeouts(p, timeouts, work, done)
}

// Commit implements pool.Ports.
func (p *ports) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	limit := storeTimeout + relayHops*rows.SendTime(transaction)
	runRateLimited(p, transaction.Bytes(), progressTimeout(limit), func(ctx context.Context) (rows.Result, error) {
		return p.commit(ctx, transaction)
	}, done)
}

func (p *ports) commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	return p.node.store.Commit(ctx, transaction)
}

// Scan implements pool.Ports.
func (p *ports) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	// responseTimeout only bounds the scan as a whole. relayedStore sets shorter timeouts for the
	// direct and the relayed call.
	runRateLimited(p, scanEstimateBytes, fixedTimeout(responseTimeout), func(ctx context.Context) (rows.Listing, error) {
		listing, err := p.scan(ctx, table, part, prefix)
		p.linkLimiter.Charge(max(0, listing.Bytes()-scanEstimateBytes))
		return listing, err
	}, done)
}

func (p *ports) scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	return p.node.store.Scan(ctx, table, part, prefix)
}

// Partitions implements pool.Ports.
func (p *ports) Partitions(table string, done func([]string, error)) {
	runAsync(p, fixedTimeout(responseTimeout), func(ctx context.Context) ([]string, error) {
		return p.node.store.Partitions(ctx, table)
	}, done)
}

// page reads up to limit rows of a partition in the order of their names, starting at the name
// from.
func (p *ports) page(table, part, from string, limit int, done func(rows.Listing, error)) {
	runAsync(p, fixedTimeout(responseTimeout), func(ctx context.Context) (rows.Listing, error) {
		return p.node.store.Page(ctx, table, part, from, limit)
	}, done)
}

// Feed implements pool.Ports.
func (p *ports) Feed(table string, after int64, done func(rows.Listing, error)) {
	p.feedFor(table, after, feedWait, done)
}

// feedFor is Feed with the given wait in place of feedWait.
func (p *ports) feedFor(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(wait+p.node.currentFeedGrace()), func(ctx context.Context) (rows.Listing, error) {
		return p.node.store.Feed(ctx, table, after, wait)
	}, done)
}

// scanDirect scans the operators' table, which holds the configuration. Neither scanDirect nor
// feedDirect relays its call through another node: a node that has lost the store downloads the
// configuration from another node in chunks (downloadConfiguration).
func (p *ports) scanDirect(table, part string, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(storeTimeout), func(ctx context.Context) (rows.Listing, error) {
		ctx, stopTracking := p.node.trackStoreTransfer(ctx)
		defer stopTracking()
		return p.node.store.scanDirect(ctx, table, part)
	}, done)
}

func (p *ports) feedDirect(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(wait+p.node.currentFeedGrace()), func(ctx context.Context) (rows.Listing, error) {
		ctx, stopTracking := p.node.trackStoreTransfer(ctx)
		defer stopTracking()
		return p.node.store.feedDirect(ctx, table, after, wait)
	}, done)
}

// Start implements pool.Ports.
func (p *ports) Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error)) {
	target := *to
	runRateLimited(p, orderOverheadBytes+len(order.Payload), fixedTimeout(orderTimeout+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.dependencies.Workers.Start(ctx, &target, order)
	}, done)
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	target := *to
	runRateLimited(p, orderOverheadBytes, fixedTimeout(orderTimeout+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.dependencies.Workers.Stop(ctx, &target, order)
	}, done)
}

// Poll implements pool.Ports.
func (p *ports) Poll(to *fleet.Worker, order fleet.Poll, done func(fleet.Reply, error)) {
	target := *to
	runRateLimited(p, orderOverheadBytes, progressTimeout(order.Wait+pollGrace+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.dependencies.Workers.Poll(ctx, &target, order)
	}, done)
}

// DecodeWorker implements pool.Ports.
func (p *ports) DecodeWorker(id string, value []byte) (*fleet.Worker, error) {
	return p.node.dependencies.Codec.DecodeWorker(id, value)
}

// EvacuationRows implements pool.Ports.
func (p *ports) EvacuationRows() (table, prefix string) {
	return p.node.dependencies.Codec.EvacuationRows()
}

// ParseEvacuationKey implements pool.Ports.
func (p *ports) ParseEvacuationKey(key rows.Key) (string, bool) {
	return p.node.dependencies.Codec.ParseEvacuationKey(key)
}

// WorkerTable implements pool.Ports.
func (p *ports) WorkerTable() string { return p.node.dependencies.Codec.WorkerTable() }
