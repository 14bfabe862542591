package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

const (
	// holdPeriod is how long a poll waits at the worker for a run to end.
	holdPeriod = 2 * time.Second
	// holdRetry is the delay after a poll without an answer.
	holdRetry = 300 * time.Millisecond
)

// hold polls a worker for its report and renews its lease, unless a poll is already in flight.
func (p *Pool) hold(w *worker) {
	if w.holding || p.closed || p.workers[w.ID] != w {
		return
	}
	if w.holdTimer != nil {
		w.holdTimer()
		w.holdTimer = nil
	}
	w.holding = true
	now := p.loop.Now()
	order := fleet.Hold{Token: p.token, LastSeen: w.ends.toSend(now, p.options.Without)}
	if w.greeted && w.unanswered == 0 {
		order.Wait = p.holdWait(w, order.LastSeen)
		if extension := min(leaseExtension, p.options.Bounds.MaxHold, p.leaseLeft(now)); extension > 0 {
			order.DeadlineMillis = w.clockNow(now) + extension.Milliseconds()
			w.deadline = max(w.deadline, order.DeadlineMillis)
		}
	}
	p.record.Count("worker_orders", "hold")
	p.ports.Hold(&w.Worker, order, func(reply fleet.Reply, err error) {
		p.greetingEnded(w)
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.holding = false
		if err != nil {
			p.holdFailed(w, err)
			return
		}
		if p.handleOtherIncarnation(w, reply, now) {
			return
		}
		w.ends.answered(order.LastSeen)
		p.holdAnswered(w, reply, now)
	})
}

// holdWait returns how long the next poll waits at the worker. It is 0 while a report is needed
// soon, such as the one that must precede an acknowledgement that this poll does not carry.
func (p *Pool) holdWait(w *worker, acknowledged int64) time.Duration {
	if w.ends.writing > 0 || w.ends.due > acknowledged || len(w.members) == 0 {
		return 0
	}
	if w.uncertain() {
		return 0
	}
	if p.loop.Now().Before(w.lossyUntil) {
		return lossyHoldPeriod
	}
	return holdPeriod
}

// A worker that left a call unanswered may do so again, and an end reported in a lost answer is
// noticed only with the next poll. For lossyPeriod, about as long as such faults last, polls wait
// only for lossyHoldPeriod.
const (
	lossyPeriod     = 6 * time.Second
	lossyHoldPeriod = 400 * time.Millisecond
)

// uncertain reports whether the start of any member is unanswered.
func (w *worker) uncertain() bool {
	for _, m := range w.members {
		if m.state == memberUncertain {
			return true
		}
	}
	return false
}

// pollNow polls a worker without waiting, in addition to a poll that may be in flight.
func (p *Pool) pollNow(w *worker) {
	w.polledAt = p.loop.Now()
	if !w.holding {
		p.hold(w)
		return
	}
	sentAt := p.loop.Now()
	p.record.Count("worker_orders", "look")
	p.ports.Hold(&w.Worker, fleet.Hold{Token: p.token}, func(reply fleet.Reply, err error) {
		if p.closed || p.workers[w.ID] != w {
			return
		}
		if err != nil {
			p.orderFailed(w, err)
			return
		}
		if p.handleOtherIncarnation(w, reply, sentAt) {
			return
		}
		p.accounted(w, reply, sentAt)
	})
}

// heard records a reply of a worker. It returns true if the worker's clock deviates from its
// estimate, in which case another incarnation may have answered.
func (p *Pool) heard(w *worker, clock int64) (jumped bool) {
	now := p.loop.Now()
	jumped = p.noteClockJump(w, clock, now)
	w.clock, w.clockAt = clock, now
	if jumped {
		// Earlier deadlines were on another clock, and this may be another incarnation. A poll
		// identifies the incarnation; the answer to a start does not.
		w.deadline = clock + p.options.Bounds.MaxHold.Milliseconds()
		p.pollNow(w)
	}
	if w.unanswered > 0 {
		p.record.Decided("worker answers again", "worker", w.ID, "unanswered", w.unanswered)
	}
	w.unanswered = 0
	w.departing = w.departing || (!w.hasRow && !w.missing)
	return jumped
}

// accounted handles a report of the known incarnation that was requested at sentAt.
func (p *Pool) accounted(w *worker, reply fleet.Reply, sentAt time.Time) {
	p.heard(w, reply.ClockMillis)
	w.ends.accountAt = p.loop.Now()
	if p.lossLedger.Alive(w.Life.String()) {
		p.record.Decided("worker lives after all", "worker", w.ID)
	}
	p.takeAccount(w, reply, sentAt)
}

// clockJump is the deviation of a worker's clock from its estimate, beyond drift, that counts as a
// jump. It far exceeds the delay and reordering of replies.
const clockJump = 10 * time.Second

// noteClockJump reports and logs whether a worker's clock deviates from its estimate by more than
// clockJump.
func (p *Pool) noteClockJump(w *worker, clock int64, now time.Time) bool {
	if w.clock == 0 {
		return false
	}
	expected := w.clockNow(now)
	allowed := clockJump + time.Duration(2*clockDrift*float64(now.Sub(w.clockAt)))
	difference := time.Duration(clock-expected) * time.Millisecond
	if difference.Abs() <= allowed {
		return false
	}
	p.record.Decided("worker clock jumped", "worker", w.ID, "by_ms", difference.Milliseconds(), "runs", len(w.members))
	return true
}

// unheard records a call without an answer.
func (p *Pool) unheard(w *worker) {
	first := w.unanswered == 0
	w.unanswered++
	if first {
		w.silentAt = p.loop.Now()
		p.record.Decided("worker does not answer", "worker", w.ID, "runs", len(w.members))
		p.noteSilence()
	}
	w.lossyUntil = p.loop.Now().Add(lossyPeriod)
	// Without this poll nothing would contact the worker again once its runs are lost, and it would
	// stay unused.
	p.holdLater(w, quickHold)
}

// holdAnswered handles the reply to a poll that was sent at sentAt.
func (p *Pool) holdAnswered(w *worker, reply fleet.Reply, sentAt time.Time) {
	first := !w.greeted
	if first {
		w.greeted, w.greetedAt = true, p.loop.Now()
	}
	p.accounted(w, reply, sentAt)
	if first {
		p.extendAtOnce(w)
		p.scheduleCycle()
	}
	p.scheduleHold(w)
	p.forgetIfIdle(w)
}

// extendAtOnce renews the lease of runs on a worker after the first contact.
func (p *Pool) extendAtOnce(w *worker) {
	if len(w.members) > 0 {
		p.hold(w)
	}
}

// scheduleHold keeps polling while anything runs on the worker, and acknowledges ended runs once
// they are written.
func (p *Pool) scheduleHold(w *worker) {
	if w.ends.due > 0 {
		p.hold(w)
		return
	}
	if w.ends.pending() {
		// The poll after the write acknowledges; until then the lease must be renewed.
		p.holdLater(w, holdRetry)
		return
	}
	if len(w.members) == 0 && len(w.unwanted) == 0 {
		return
	}
	if w.uncertain() {
		p.holdLater(w, quickHold)
		return
	}
	if len(w.members) == 0 {
		p.holdLater(w, holdRetry)
		return
	}
	p.hold(w)
}

// quickHold is the delay between two polls of a worker whose state is uncertain.
const quickHold = 100 * time.Millisecond

func (p *Pool) holdLater(w *worker, pause time.Duration) {
	if w.holding {
		return
	}
	if w.holdTimer != nil {
		w.holdTimer()
	}
	w.holdTimer = p.loop.After(pause, func() {
		w.holdTimer = nil
		p.hold(w)
	})
}

func (p *Pool) holdFailed(w *worker, err error) {
	if p.orderFailed(w, err) {
		return
	}
	pause := holdRetry
	if w.unanswered == 1 {
		pause = quickHold
	}
	p.holdLater(w, pause)
}
