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

// Partitions implements pool.Ports.
func (p *ports) Partitions(table string, done func([]string, error)) {
	if !failIfPartitioned(p, done) {
		p.cluster.Store.Partitions(table, postResult(p, done))
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
	p.order(*to, StartMessage, func(w *Worker) (fleet.Reply, error) { return w.start(order) }, postResult(p, done))
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	p.order(*to, StopMessage, func(w *Worker) (fleet.Reply, error) { return w.stop(order) }, postResult(p, done))
}

// order sends an order to a worker as the owner knows it now.
func (p *ports) order(to fleet.Worker, kind MessageKind, execute func(*Worker) (fleet.Reply, error), done func(fleet.Reply, error)) {
	c := p.cluster
	request := Message{Kind: kind, Owner: p.owner.Name, Worker: to.ID}
	once := firstResult(done)
	answer := func(reply fleet.Reply, err error) {
		c.deliver(request.answer(), func() { once(reply, err) })
	}
	if to.Address == "" {
		c.Clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrUnreachable) })
		return
	}
	c.limitCall(orderLatency/2+orderTimeout, func() { once(fleet.Reply{}, fleet.ErrOutcomeUnknown) })
	c.deliver(request, func() {
		w := c.listener(to.Address)
		if refusal := connectionRefusal(w, to.ID); refusal != nil {
			answer(fleet.Reply{}, refusal)
			return
		}
		outcome := Acknowledged
		if w.OrderOutcome != nil {
			outcome = w.OrderOutcome()
		}
		if p.loses(w) {
			outcome = Dropped
		}
		switch outcome {
		case Acknowledged:
			answer(execute(w))
		case AppliedUnacknowledged:
			_, _ = execute(w)
		case AppliedLate:
			c.executeLate(w, &to, func(recipient *Worker) { _, _ = execute(recipient) })
		}
	})
}

// loses reports whether a call of the owner to a worker gets lost.
func (p *ports) loses(w *Worker) bool {
	return w.Crashed || w.Partitioned || p.owner.PartitionedFrom[w.ID]
}

// connectionRefusal returns the error of a call that the worker at the called address does not accept,
// or nil. The call names the worker that it is meant for.
func connectionRefusal(w *Worker, meantFor string) error {
	switch {
	case w == nil:
		// No worker listens at the address.
		return fleet.ErrUnreachable
	case w.Replaced:
		return fleet.ErrOtherInstance
	case w.Unreachable:
		return fleet.ErrUnreachable
	case w.Crashed || w.Partitioned:
		// Nobody is there to refuse the call.
		return nil
	case w.ID != meantFor:
		return fleet.ErrOtherInstance
	}
	return nil
}

// firstResult returns a function that passes its first call on to done.
func firstResult(done func(fleet.Reply, error)) func(fleet.Reply, error) {
	finished := false
	return func(reply fleet.Reply, err error) {
		if !finished {
			finished = true
			done(reply, err)
		}
	}
}

// Poll implements pool.Ports.
func (p *ports) Poll(known *fleet.Worker, order fleet.Poll, done func(fleet.Reply, error)) {
	c, to := p.cluster, *known
	request := Message{Kind: PollMessage, Owner: p.owner.Name, Worker: to.ID, Wait: order.Wait}
	once := firstResult(postResult(p, done))
	answer := func(reply fleet.Reply, err error) {
		c.deliver(request.answer(), func() { once(reply, err) })
	}
	c.limitCall(order.Wait+orderTimeout, func() { once(fleet.Reply{}, fleet.ErrOutcomeUnknown) })
	c.deliver(request, func() {
		w := c.listener(to.Address)
		// An unreachable worker that has not crashed keeps the connections of its polls.
		keepsConnection := w != nil && w.Unreachable && !w.Crashed && w.ID == to.ID
		if refusal := connectionRefusal(w, to.ID); refusal != nil && !keepsConnection {
			answer(fleet.Reply{}, refusal)
			return
		}
		if p.loses(w) {
			return
		}
		c.executePoll(w, order, func(reply fleet.Reply, err error) {
			if w.DropPollReply == nil || !w.DropPollReply() {
				answer(reply, err)
			}
		})
	})
}

// DecodeWorker implements pool.Ports. A worker's identifier is the name of its row, whatever the row says.
func (p *ports) DecodeWorker(id string, value []byte) (*fleet.Worker, error) {
	described, err := decodeWorker(value)
	if err != nil {
		return nil, err
	}
	described.ID = id
	return described, nil
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
