package simulation

import (
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// ports implements pool.Ports for an owner in a Cluster.
type ports struct {
	cluster *Cluster
	owner   *Owner
	process *emulator.Process
}

// postResult returns a callback that runs done in the owner process.
func postResult[T any](p *ports, done func(T, error)) func(T, error) {
	return func(result T, err error) { p.process.Post(func() { done(result, err) }) }
}

// failIfPartitioned reports whether the owner is partitioned from the store. If so, it fails the
// call after responseTimeout.
func failIfPartitioned[T any](p *ports, done func(T, error)) bool {
	if p.owner.PartitionedFromStore {
		var nothing T
		p.cluster.Clock.After(responseTimeout, func() { postResult(p, done)(nothing, rows.ErrOutcomeUnknown) })
	}
	return p.owner.PartitionedFromStore
}

// Commit implements pool.Ports.
func (p *ports) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Commit(transaction, postResult(p, done))
	}
}

// Scan implements pool.Ports.
func (p *ports) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Scan(table, part, prefix, postResult(p, done))
	}
}

// feedTimeout is how long the store waits for a change before it answers a feed call.
const feedTimeout = time.Second

// Feed implements pool.Ports.
func (p *ports) Feed(table string, after int64, done func(rows.Listing, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Feed(table, after, feedTimeout, postResult(p, done))
	}
}

// Start implements pool.Ports.
func (p *ports) Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.start(order) }, postResult(p, done))
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.stop(order) }, postResult(p, done))
}

func (p *ports) order(to *fleet.Worker, execute func(*Worker) (fleet.Reply, error), done func(fleet.Reply, error)) {
	clock := p.cluster.Clock
	id := to.ID
	if to.Address == "" {
		clock.After(orderLatency/2, func() { done(fleet.Reply{}, fleet.ErrUnreachable) })
		return
	}
	clock.After(orderLatency/2, func() {
		w := p.cluster.worker(id)
		if w == nil {
			// No worker listens at the row's address.
			clock.After(orderLatency/2, func() { done(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		if w.Replaced {
			clock.After(orderLatency/2, func() { done(fleet.Reply{}, fleet.ErrOtherInstance) })
			return
		}
		if w.Unreachable {
			clock.After(orderLatency/2, func() { done(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		outcome := Acknowledged
		if w.OrderOutcome != nil {
			outcome = w.OrderOutcome()
		}
		if w.Crashed || w.Partitioned || p.owner.PartitionedFrom[id] {
			outcome = Dropped
		}
		switch outcome {
		case Acknowledged:
			reply, err := execute(w)
			clock.After(orderLatency/2, func() { done(reply, err) })
			return
		case AppliedUnacknowledged:
			_, _ = execute(w)
		case AppliedLate:
			clock.After(p.cluster.OrderDelay, func() {
				recipient := w
				if p.cluster.LateOrdersReachRestartedWorkers {
					recipient = p.cluster.worker(id)
				}
				if !recipient.Crashed {
					_, _ = execute(recipient)
				}
			})
		}
		clock.After(orderTimeout, func() { done(fleet.Reply{}, fleet.ErrOutcomeUnknown) })
	})
}

// Poll implements pool.Ports.
func (p *ports) Poll(to *fleet.Worker, order fleet.Poll, done func(fleet.Reply, error)) {
	clock := p.cluster.Clock
	answer := postResult(p, done)
	replied := false
	once := func(reply fleet.Reply, err error) {
		if !replied {
			replied = true
			answer(reply, err)
		}
	}
	clock.After(order.Wait+orderTimeout, func() { once(fleet.Reply{}, fleet.ErrOutcomeUnknown) })
	clock.After(orderLatency/2, func() {
		w := p.cluster.worker(to.ID)
		if w == nil {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		if w.Replaced {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrOtherInstance) })
			return
		}
		if w.Unreachable && w.Crashed {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		if w.Crashed || w.Partitioned || p.owner.PartitionedFrom[to.ID] {
			return
		}
		w.poll(order, func(reply fleet.Reply, err error) {
			if w.DropPollReply != nil && w.DropPollReply() {
				return
			}
			clock.After(orderLatency/2, func() { once(reply, err) })
		})
	})
}

// DecodeWorker implements pool.Ports.
func (p *ports) DecodeWorker(_ string, value []byte) (*fleet.Worker, error) {
	return decodeWorker(value)
}

// EvacuationRows implements pool.Ports.
func (p *ports) EvacuationRows() (table, prefix string) {
	return p.cluster.OperatorTable, evacuationPrefix
}

// ParseEvacuationKey implements pool.Ports.
func (p *ports) ParseEvacuationKey(key rows.Key) (string, bool) {
	return strings.CutPrefix(key.Name, evacuationPrefix)
}

// WorkerTable implements pool.Ports.
func (p *ports) WorkerTable() string { return p.cluster.WorkerTable }
