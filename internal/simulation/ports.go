package simulation

import (
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// ports connect an owner to the world.
type ports struct {
	world   *World
	owner   *Owner
	process *emulator.Process
}

// answered brings an answer to the process.
func answered[T any](p *ports, done func(T, error)) func(T, error) {
	return func(result T, err error) { p.process.Post(func() { done(result, err) }) }
}

// unreached answers a call of an owner that is cut off from the store.
func unreached[T any](p *ports, done func(T, error)) bool {
	if p.owner.CutFromStore {
		var nothing T
		p.world.Clock.After(silence, func() { answered(p, done)(nothing, rows.ErrNoAnswer) })
	}
	return p.owner.CutFromStore
}

// Commit implements pool.Ports.
func (p *ports) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	if !unreached(p, done) {
		p.world.Store.Commit(transaction, answered(p, done))
	}
}

// Scan implements pool.Ports.
func (p *ports) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	if !unreached(p, done) {
		p.world.Store.Scan(table, part, prefix, answered(p, done))
	}
}

// feedWait is how long an owner's feed waits for a change.
const feedWait = time.Second

// Feed implements pool.Ports.
func (p *ports) Feed(table string, after int64, done func(rows.Listing, error)) {
	if !unreached(p, done) {
		p.world.Store.Feed(table, after, feedWait, answered(p, done))
	}
}

// Start implements pool.Ports.
func (p *ports) Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.start(order) }, answered(p, done))
}

// Stop implements pool.Ports.
func (p *ports) Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error)) {
	p.order(to, func(w *Worker) (fleet.Reply, error) { return w.stop(order) }, answered(p, done))
}

func (p *ports) order(to *fleet.Worker, carryOut func(*Worker) (fleet.Reply, error), done func(fleet.Reply, error)) {
	clock := p.world.Clock
	id := to.ID
	if to.Address == "" {
		clock.After(orderLatency/2, func() { done(fleet.Reply{}, fleet.ErrUnreachable) })
		return
	}
	clock.After(orderLatency/2, func() {
		w := p.world.worker(id)
		if w == nil {
			// Nobody listens at the address that a row told.
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
		fate := Answered
		if w.LoseOrder != nil {
			fate = w.LoseOrder()
		}
		if w.Dead || w.Cut || p.owner.CutFrom[id] {
			fate = NeverDone
		}
		switch fate {
		case Answered:
			reply, err := carryOut(w)
			clock.After(orderLatency/2, func() { done(reply, err) })
			return
		case AnswerLost:
			_, _ = carryOut(w)
		case DoneLate:
			clock.After(p.world.OrderDelay, func() {
				then := w
				if p.world.LateOrdersOutliveWorkers {
					then = p.world.worker(id)
				}
				if !then.Dead {
					_, _ = carryOut(then)
				}
			})
		}
		clock.After(orderSilence, func() { done(fleet.Reply{}, fleet.ErrNoAnswer) })
	})
}

// Hold implements pool.Ports.
func (p *ports) Hold(to *fleet.Worker, order fleet.Hold, done func(fleet.Reply, error)) {
	clock := p.world.Clock
	answer := answered(p, done)
	over := false
	once := func(reply fleet.Reply, err error) {
		if !over {
			over = true
			answer(reply, err)
		}
	}
	clock.After(order.Wait+orderSilence, func() { once(fleet.Reply{}, fleet.ErrNoAnswer) })
	clock.After(orderLatency/2, func() {
		w := p.world.worker(to.ID)
		if w == nil {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		if w.Replaced {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrOtherInstance) })
			return
		}
		if w.Unreachable && w.Dead {
			clock.After(orderLatency/2, func() { once(fleet.Reply{}, fleet.ErrUnreachable) })
			return
		}
		if w.Dead || w.Cut || p.owner.CutFrom[to.ID] {
			return
		}
		w.hold(order, func(reply fleet.Reply, err error) {
			if w.LoseAnswer != nil && w.LoseAnswer() {
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
	return p.world.OperatorTable, evacuationPrefix
}

// EvacuatedZone implements pool.Ports.
func (p *ports) EvacuatedZone(key rows.Key) (string, bool) {
	return strings.CutPrefix(key.Name, evacuationPrefix)
}

// WorkerTable implements pool.Ports.
func (p *ports) WorkerTable() string { return p.world.WorkerTable }
