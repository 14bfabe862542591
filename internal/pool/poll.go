package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

const (
	// pollWait is how long a poll waits at the worker for a run to end.
	pollWait = 2 * time.Second
	// pollRetryDelay is the delay after a poll without a reply.
	pollRetryDelay = 300 * time.Millisecond
)

// poll polls a worker for its report and renews its lease, unless a poll is already in flight.
func (p *Pool) poll(w *worker) {
	if w.pollInFlight || p.closed || p.workers[w.ID] != w {
		return
	}
	if w.cancelPollTimer != nil {
		w.cancelPollTimer()
		w.cancelPollTimer = nil
	}
	w.pollInFlight = true
	now := p.loop.Now()
	request := fleet.Poll{Token: p.token, AcknowledgedEnd: w.endAcks.acknowledgeable(now, p.options.DisabledSafeguards)}
	if w.contacted && w.unansweredCalls == 0 {
		request.Wait = p.pollWaitFor(w, request.AcknowledgedEnd)
		if extension := min(leaseDuration, p.options.Bounds.MaxLease, p.remainingLease(now)); extension > 0 {
			request.DeadlineMillis = w.estimatedClock(now) + extension.Milliseconds()
			w.deadline = max(w.deadline, request.DeadlineMillis)
		}
	}
	p.record.Count("worker_orders", "hold")
	p.ports.Poll(&w.Worker, request, func(reply fleet.Reply, err error) {
		p.releasePollSlot(w)
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.pollInFlight = false
		if err != nil {
			p.handlePollError(w, err)
			return
		}
		if p.handleOtherIncarnation(w, reply, now) {
			return
		}
		w.endAcks.acknowledge(request.AcknowledgedEnd)
		p.handlePollReply(w, reply, now)
	})
}

// pollWaitFor returns how long the next poll waits at the worker. It is 0 while the owner needs a
// report soon. For example, an acknowledgement that this poll does not carry can only be sent after
// another report.
func (p *Pool) pollWaitFor(w *worker, acknowledged int64) time.Duration {
	if w.endAcks.writing > 0 || w.endAcks.due > acknowledged {
		return 0
	}
	now := p.loop.Now()
	if w.hasUnconfirmedStart() || len(w.members) == 0 && !w.expectsLateStarts(now) {
		return 0
	}
	if now.Before(w.lossyUntil) {
		return lossyPollWait
	}
	return pollWait
}

// A worker that left a call unanswered may do so again. If the lost reply contains the end of a
// run, the owner learns of the end only from the next poll. Polls therefore wait only for
// lossyPollWait during lossyDuration after an unanswered call.
const (
	lossyDuration = 6 * time.Second
	lossyPollWait = 400 * time.Millisecond
)

// hasUnconfirmedStart reports whether the start of any member is unanswered.
func (w *worker) hasUnconfirmedStart() bool {
	for _, m := range w.members {
		if m.state == memberUnconfirmed {
			return true
		}
	}
	return false
}

// pollNow polls a worker without waiting, in addition to a poll that may be in flight.
func (p *Pool) pollNow(w *worker) {
	w.polledAt = p.loop.Now()
	if !w.pollInFlight {
		p.poll(w)
		return
	}
	sentAt := p.loop.Now()
	p.record.Count("worker_orders", "look")
	p.ports.Poll(&w.Worker, fleet.Poll{Token: p.token}, func(reply fleet.Reply, err error) {
		if p.closed || p.workers[w.ID] != w {
			return
		}
		if err != nil {
			p.handleCommandError(w, err)
			return
		}
		if p.handleOtherIncarnation(w, reply, sentAt) {
			return
		}
		p.handleReport(w, reply, sentAt)
	})
}

// recordReply records a reply of a worker. It returns true if the worker's clock deviates from its
// estimate, in which case another incarnation may have answered.
func (p *Pool) recordReply(w *worker, clock int64) (jumped bool) {
	now := p.loop.Now()
	jumped = p.checkClockJump(w, clock, now)
	w.clock, w.clockAt = clock, now
	if jumped {
		// Earlier deadlines were on another clock, and another incarnation may have replied. A poll
		// identifies the incarnation; the reply to a start does not.
		w.deadline = clock + p.options.Bounds.MaxLease.Milliseconds()
		p.pollNow(w)
	}
	if w.unansweredCalls > 0 {
		p.record.LogEvent("worker responsive again", "worker", w.ID, "unanswered", w.unansweredCalls)
	}
	w.unansweredCalls = 0
	w.respondedWithoutRow = w.respondedWithoutRow || (!w.hasRow && !w.rowMissing)
	return jumped
}

// handleReport handles a report of the known incarnation that was requested at sentAt.
func (p *Pool) handleReport(w *worker, reply fleet.Reply, sentAt time.Time) {
	p.recordReply(w, reply.ClockMillis)
	w.endAcks.reportAt = p.loop.Now()
	if p.lossTracker.WithdrawLoss(w.Incarnation.String()) {
		p.record.LogEvent("lost worker responded", "worker", w.ID)
	}
	p.applyReport(w, reply, sentAt)
}

// clockJumpThreshold is the deviation of a worker's clock from its estimate, beyond drift, that
// counts as a jump. It far exceeds the delay and reordering of replies.
const clockJumpThreshold = 10 * time.Second

// checkClockJump reports and logs whether a worker's clock deviates from its estimate by more than
// clockJumpThreshold.
func (p *Pool) checkClockJump(w *worker, clock int64, now time.Time) bool {
	if w.clock == 0 {
		return false
	}
	expected := w.estimatedClock(now)
	allowed := clockJumpThreshold + time.Duration(2*clockDrift*float64(now.Sub(w.clockAt)))
	difference := time.Duration(clock-expected) * time.Millisecond
	if difference.Abs() <= allowed {
		return false
	}
	p.record.LogEvent("worker clock jumped", "worker", w.ID, "by_ms", difference.Milliseconds(), "runs", len(w.members))
	return true
}

// recordNoReply records a call without a reply.
func (p *Pool) recordNoReply(w *worker) {
	first := w.unansweredCalls == 0
	w.unansweredCalls++
	if first {
		w.unresponsiveSince = p.loop.Now()
		p.record.LogEvent("worker unresponsive", "worker", w.ID, "runs", len(w.members))
		p.pollIdleWorkers()
	}
	w.lossyUntil = p.loop.Now().Add(lossyDuration)
	// Once the runs of the worker are lost, only this poll contacts the worker again. Without the
	// poll the worker would stay unused.
	p.pollAfter(w, quickPollDelay)
}

// handlePollReply handles the reply to a poll that was sent at sentAt.
func (p *Pool) handlePollReply(w *worker, reply fleet.Reply, sentAt time.Time) {
	first := !w.contacted
	if first {
		w.contacted, w.contactedAt = true, p.loop.Now()
	}
	p.handleReport(w, reply, sentAt)
	if first {
		p.renewLeaseNow(w)
		p.scheduleCycle()
	}
	p.schedulePoll(w)
	p.removeIfIdle(w)
}

// renewLeaseNow renews the lease of runs on a worker after the first contact.
func (p *Pool) renewLeaseNow(w *worker) {
	if len(w.members) > 0 {
		p.poll(w)
	}
}

// schedulePoll schedules the next poll while anything runs on the worker or ended runs are to be
// acknowledged.
func (p *Pool) schedulePoll(w *worker) {
	now := p.loop.Now()
	if w.endAcks.due > 0 && !w.endAcks.held(now) {
		p.poll(w)
		return
	}
	if w.endAcks.pending() {
		// A later poll acknowledges; until then the lease must be renewed.
		p.pollAfter(w, pollRetryDelay)
		return
	}
	watched := w.expectsLateStarts(now)
	if len(w.members) == 0 && len(w.unexpected) == 0 && !watched {
		return
	}
	if w.hasUnconfirmedStart() {
		p.pollAfter(w, quickPollDelay)
		return
	}
	if len(w.members) == 0 && !watched {
		p.pollAfter(w, pollRetryDelay)
		return
	}
	p.poll(w)
}

// quickPollDelay is the delay between two polls of a worker whose state is uncertain.
const quickPollDelay = 100 * time.Millisecond

func (p *Pool) pollAfter(w *worker, pause time.Duration) {
	if w.pollInFlight {
		return
	}
	if w.cancelPollTimer != nil {
		w.cancelPollTimer()
	}
	w.cancelPollTimer = p.loop.After(pause, func() {
		w.cancelPollTimer = nil
		p.poll(w)
	})
}

func (p *Pool) handlePollError(w *worker, err error) {
	if p.handleCommandError(w, err) {
		return
	}
	pause := pollRetryDelay
	if w.unansweredCalls == 1 {
		pause = quickPollDelay
	}
	p.pollAfter(w, pause)
}
