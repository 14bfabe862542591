package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/pacing"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// ports make calls to the outside on goroutines of their own and bring the answers
// to the loop. They implement pool.Ports.
type ports struct {
	ctx  context.Context
	node *Node
	// pacer spreads orders and reads over the machine's link.
	pacer *pacing.Pacer
}

// What an owner orders and reads comes in bursts: a start and a hold for each task of a wide step, all rows
// of a pool at a takeover. On a small link the pings of its guards waited behind them for longer than they
// are given, the pool was taken over, and the next owner's reading did the same.
const (
	// linkFraction of the link is for orders and reads, of which linkBurst may pass at once.
	linkFraction = 0.8
	linkBurst    = 100 * time.Millisecond
	// orderOverheadBytes is what an order takes on the link beside its payload, with headers; its answer takes
	// about as much the other way.
	orderOverheadBytes = 450
	// scanEstimateBytes is taken for a scan whose size is not known before.
	scanEstimateBytes = 4 << 10
)

// runPaced is run once it is the turn of some bytes on the link. The bounds count from then.
func runPaced[T any](p *ports, bytes int, bounds progress.Patience, work func(context.Context) (T, error), done func(T, error)) {
	go func() {
		if err := p.pacer.Wait(p.ctx, bytes); err == nil {
			runWithin(p, bounds, work, done)
		}
	}()
}

// runWithin calls work within bounds and posts what it returns.
func runWithin[T any](p *ports, bounds progress.Patience, work func(context.Context) (T, error), done func(T, error)) {
	ctx, cancel := progress.WithPatience(p.ctx, bounds)
	defer cancel()
	result, err := work(ctx)
	p.node.edges.Loop.Post(func() { done(result, err) })
}

// progressTimeout lets an answer that begins within limit arrive however slow the link is.
// Answers that were given up midway and asked for again filled small links for good.
func progressTimeout(limit time.Duration) progress.Patience {
	return progress.Patience{First: limit, Pause: answerStallTimeout, Whole: max(limit, answerTimeout)}
}

// fixedTimeout bounds a call as a whole.
func fixedTimeout(limit time.Duration) progress.Patience {
	return progress.Patience{First: limit, Pause: limit, Whole: limit}
}

// runAsync calls work and posts what it returns.
func runAsync[T any](p *ports, bounds progress.Patience, work func(context.Context) (T, error), done func(T, error)) {
	go runWithin(p, bounds, work, done)
}

// Commit implements pool.Ports.
func (p *ports) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	limit := storeTimeout + relayHops*rows.SendTime(transaction)
	runPaced(p, transaction.Bytes(), progressTimeout(limit), func(ctx context.Context) (rows.Result, error) {
		return p.commit(ctx, transaction)
	}, done)
}

func (p *ports) commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	return p.node.store.Commit(ctx, transaction)
}

// Scan implements pool.Ports.
func (p *ports) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	// Each way of a scan has bounds of its own.
	runPaced(p, scanEstimateBytes, fixedTimeout(answerTimeout), func(ctx context.Context) (rows.Listing, error) {
		listing, err := p.scan(ctx, table, part, prefix)
		p.pacer.Charge(max(0, listing.Bytes()-scanEstimateBytes))
		return listing, err
	}, done)
}

func (p *ports) scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	return p.node.store.Scan(ctx, table, part, prefix)
}

// page reads some rows of a part, from a name on.
func (p *ports) page(table, part, from string, limit int, done func(rows.Listing, error)) {
	runAsync(p, fixedTimeout(answerTimeout), func(ctx context.Context) (rows.Listing, error) {
		return p.node.store.Page(ctx, table, part, from, limit)
	}, done)
}

// Feed implements pool.Ports.
func (p *ports) Feed(table string, after int64, done func(rows.Listing, error)) {
	p.feedFor(table, after, feedWait, done)
}

// feedFor is Feed with a wait of its own.
func (p *ports) feedFor(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(wait+p.node.feedSlack()), func(ctx context.Context) (rows.Listing, error) {
		return p.node.store.Feed(ctx, table, after, wait)
	}, done)
}

// scanDirect and feedDirect read the configuration, without the help of other nodes: what
// these hold of it they send in chunks (downloadConfiguration).
func (p *ports) scanDirect(table, part string, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(storeTimeout), func(ctx context.Context) (rows.Listing, error) {
		ctx, ended := p.node.trackStoreTransfer(ctx)
		defer ended()
		return p.node.store.scanDirect(ctx, table, part)
	}, done)
}

func (p *ports) feedDirect(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	runAsync(p, progressTimeout(wait+p.node.feedSlack()), func(ctx context.Context) (rows.Listing, error) {
		ctx, ended := p.node.trackStoreTransfer(ctx)
		defer ended()
		return p.node.store.feedDirect(ctx, table, after, wait)
	}, done)
}

// Start implements pool.Ports.
func (p *ports) Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error)) {
	target := *to
	runPaced(p, orderOverheadBytes+len(order.Payload), fixedTimeout(orderTimeout+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.edges.Orders.Start(ctx, &target, order)
	}, done)
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	target := *to
	runPaced(p, orderOverheadBytes, fixedTimeout(orderTimeout+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.edges.Orders.Stop(ctx, &target, order)
	}, done)
}

// Hold implements pool.Ports.
func (p *ports) Hold(to *fleet.Worker, order fleet.Hold, done func(fleet.Reply, error)) {
	target := *to
	runPaced(p, orderOverheadBytes, progressTimeout(order.Wait+holdSlack+p.node.schedulingDelay.timeoutExtension()), func(ctx context.Context) (fleet.Reply, error) {
		return p.node.edges.Orders.Hold(ctx, &target, order)
	}, done)
}

// DecodeWorker implements pool.Ports.
func (p *ports) DecodeWorker(id string, value []byte) (*fleet.Worker, error) {
	return p.node.edges.Codec.DecodeWorker(id, value)
}

// EvacuationRows implements pool.Ports.
func (p *ports) EvacuationRows() (table, prefix string) { return p.node.edges.Codec.EvacuationRows() }

// EvacuatedZone implements pool.Ports.
func (p *ports) EvacuatedZone(key rows.Key) (string, bool) {
	return p.node.edges.Codec.EvacuatedZone(key)
}

// WorkerTable implements pool.Ports.
func (p *ports) WorkerTable() string { return p.node.edges.Codec.WorkerTable() }
