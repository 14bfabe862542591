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

// postAnswer returns a callback that runs done in the owner process.
func postAnswer[T any](p *ports, done func(T, error)) func(T, error) {
	return func(result T, err error) { p.process.Post(func() { done(result, err) }) }
}

// failIfPartitioned fails a call after a timeout if the owner is partitioned from the store, and
// reports whether it is.
func failIfPartitioned[T any](p *ports, done func(T, error)) bool {
	if p.owner.PartitionedFromStore {
		var nothing T
		p.cluster.Clock.After(answerTimeout, func() { postAnswer(p, done)(nothing, rows.ErrOutcomeUnknown) })
	}
	return p.owner.PartitionedFromStore
}

// Commit implements pool.Ports.
func (p *ports) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Commit(transaction, postAnswer(p, done))
	}
}

// Scan implements pool.Ports.
func (p *ports) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Scan(table, part, prefix, postAnswer(p, done))
	}
}

// feedTimeout is how long a feed call waits for a change.
const feedTimeout = time.Second

// Feed implements pool.Ports.
func (p *ports) Feed(table string, after int64, done func(rows.Listing, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Feed(table, after, feedTimeout, postAnswer(p, done))
	}
}

// Start implements pool.Ports.
func (p *ports) Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.start(order) }, postAnswer(p, done))
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.stop(order) }, postAnswer(p, done))
}

func (p *ports) order(to *fleet.Worker, carryOut func(*Worker) (fleet.Reply, error), done func(fleet.Reply, error)) {
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
		fate := Acknowledged
		if w.OrderOutcome != nil {
			fate = w.OrderOutcome()
		}
		if w.Crashed || w.Partitioned || p.owner.PartitionedFrom[id] {
			fate = Dropped
		}
		switch fate {
		case Acknowledged:
			reply, err := carryOut(w)
			clock.After(orderLatency/2, func() { done(reply, err) })
			return
		case AppliedUnacknowledged:
			_, _ = carryOut(w)
		case AppliedLate:
			clock.After(p.cluster.OrderDelay, func() {
				then := w
				if p.cluster.LateOrdersReachRestartedWorkers {
					then = p.cluster.worker(id)
				}
				if !then.Crashed {
					_, _ = carryOut(then)
				}
			})
		}
		clock.After(orderTimeout, func() { done(fleet.Reply{}, fleet.ErrOutcomeUnknown) })
	})
}

// Poll implements pool.Ports.
func (p *ports) Poll(to *fleet.Worker, order fleet.Poll, done func(fleet.Reply, error)) {
	clock := p.cluster.Clock
	answer := postAnswer(p, done)
	over := false
	once := func(reply fleet.Reply, err error) {
		if !over {
			over = true
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
