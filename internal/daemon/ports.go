package daemon

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// ports implements control.Ports with blocking clients. Each call runs on its own goroutine
// and posts its result to the loop.
type ports struct {
	context     context.Context
	loop        loop.Loop
	table       store.Table
	machineList machines.List
	fleet       worker.Fleet
	peers       *peer.Client
	timeout     time.Duration
	// tableSlots and orderSlots are semaphores that limit concurrent calls.
	tableSlots chan struct{}
	orderSlots chan struct{}
}

const (
	maxTableCalls = 32
	maxOrderCalls = 128
	// reportTimeout is longer than the long poll of the report feed.
	reportTimeout = 15 * time.Second
)

func newPorts(ctx context.Context, l loop.Loop, timeout time.Duration) *ports {
	return &ports{
		context: ctx, loop: l, timeout: timeout,
		tableSlots: make(chan struct{}, maxTableCalls),
		orderSlots: make(chan struct{}, maxOrderCalls),
	}
}

// call runs a blocking function with a timeout and posts its result to the loop.
func call[T any](p *ports, slots chan struct{}, timeout time.Duration, fn func(context.Context) (T, error), done func(T, error)) {
	go func() {
		if slots != nil {
			slots <- struct{}{}
			defer func() { <-slots }()
		}
		ctx, cancel := context.WithTimeout(p.context, timeout)
		defer cancel()
		answer, err := fn(ctx)
		p.loop.Post(func() { done(answer, err) })
	}()
}

// Commit applies a transaction.
func (p *ports) Commit(transaction store.Transaction, done func(store.CommitResult, error)) {
	call(p, p.tableSlots, p.timeout, func(ctx context.Context) (store.CommitResult, error) {
		return p.table.Commit(ctx, transaction)
	}, done)
}

// Scan reads the rows under a prefix.
func (p *ports) Scan(prefix string, since int64, done func(store.ScanResult, error)) {
	call(p, p.tableSlots, p.timeout, func(ctx context.Context) (store.ScanResult, error) {
		return p.table.Scan(ctx, prefix, since)
	}, done)
}

// Get reads one row.
func (p *ports) Get(key string, done func(store.Row, error)) {
	call(p, p.tableSlots, p.timeout, func(ctx context.Context) (store.Row, error) {
		return p.table.Get(ctx, key)
	}, done)
}

// Send delivers an order to a worker.
func (p *ports) Send(name, address string, order worker.Order, done func(worker.Reply, error)) {
	call(p, p.orderSlots, p.timeout, func(ctx context.Context) (worker.Reply, error) {
		return p.fleet.Send(ctx, name, address, order)
	}, done)
}

// Reports reads a domain's report feed.
func (p *ports) Reports(domain string, cursor int64, done func(worker.Reports, error)) {
	call(p, nil, reportTimeout, func(ctx context.Context) (worker.Reports, error) {
		return p.fleet.Reports(ctx, domain, cursor)
	}, done)
}

// Machines reads the changes of the machine list.
func (p *ports) Machines(cursor int64, done func(machines.Update, error)) {
	call(p, nil, p.timeout, func(ctx context.Context) (machines.Update, error) {
		return p.machineList.Changes(ctx, cursor)
	}, done)
}

// Announce asks another node to read the table now. Errors are ignored, because the node
// also polls the table.
func (p *ports) Announce(address string) {
	go func() {
		ctx, cancel := context.WithTimeout(p.context, p.timeout)
		defer cancel()
		_, _ = p.peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Refresh{Refresh: &peerpb.Refresh{}}})
	}()
}
