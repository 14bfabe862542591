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
	if w.pollInFlight || p.closed || p.workers[w.ID] != w || w.Address == "" {
		return
	}
	if w.cancelPollTimer != nil {
		w.cancelPollTimer()
		w.cancelPollTimer = nil
	}
	w.pollInFlight = true
	now := p.loop.Now()
	request := fleet.Poll{Token: w.token, AcknowledgedEnd: w.endAcks.acknowledgeable(now, p.options.DisabledSafeguards)}
	if w.contacted && w.unansweredCalls == 0 {
		request.Wait = p.pollWaitFor(w, request.AcknowledgedEnd)
		if extension := min(leaseDuration, p.options.Bounds.MaxLease, p.remainingLease(now)); extension > 0 {
			request.DeadlineMillis = w.estimatedClock(now) + extension.Milliseconds()
			w.deadline = max(w.deadline, request.DeadlineMillis)
		}
	}
	p.record.Count("worker_orders", "hold")
	w.reportsInFlight++
	call := p.callTo(w)
	p.ports.Poll(&w.Worker, request, func(reply fleet.Reply, err error) {
		w.reportsInFlight--
		p.releasePollSlot(w)
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.pollInFlight = false
		if err != nil {
			p.handlePollError(w, call, err)
			return
		}
		report := newReport(reply, call)
		if p.handleOtherIncarnation(w, report) {
			return
		}
		w.endAcks.acknowledge(request.AcknowledgedEnd)
		p.handlePollReply(w, report)
	})
}

// pollWaitFor returns how long the next poll waits at the worker. It is 0 while the owner needs a
// report soon. For example, an acknowledgement that this poll does not carry can only be sent after
// another report.
func (p *Pool) pollWaitFor(w *worker, acknowledged int64) time.Duration {
	now := p.loop.Now()
	if w.endAcks.writing > 0 || w.endAcks.released(now) > acknowledged {
		return 0
	}
	if w.hasUnconfirmedStart() || len(w.members) == 0 && !w.expectsLateStarts(now) {
		return 0
	}
	longest := pollWait
	if now.Before(w.lossyUntil) {
		longest = lossyPollWait
	}
	return min(longest, w.endAcks.untilRelease(now))
}

// A worker that left a call unanswered may do so again. If the lost reply contains the end of a
// run, the owner learns of the end only from the next poll. Polls therefore wait only for
// lossyPollWait during lossyDuration after an unanswered call, which is about as long as such faults
// of a worker last.
const (
	lossyDuration = 6 * time.Second
	lossyPollWait = 400 * time.Millisecond
)

// recordUnanswered records that a call to the worker got no response.
func (w *worker) recordUnanswered(now time.Time) {
	w.unansweredAt = now
	w.lossyUntil = now.Add(lossyDuration)
}

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
	call := p.callTo(w)
	p.record.Count("worker_orders", "look")
	w.reportsInFlight++
	p.ports.Poll(&w.Worker, fleet.Poll{Token: call.token}, func(reply fleet.Reply, err error) {
		w.reportsInFlight--
		if p.closed || p.workers[w.ID] != w {
			return
		}
		if err != nil {
			p.handleCommandError(w, call, err)
			return
		}
		report := newReport(reply, call)
		if p.handleOtherIncarnation(w, report) {
			return
		}
		p.confirmFence(w, report)
		p.handleReport(w, report)
	})
}

// schedulePoll schedules the next poll while anything runs on the worker or ended runs are to be
// acknowledged. The last poll was sent at requestedAt.
func (p *Pool) schedulePoll(w *worker, requestedAt time.Time) {
	now := p.loop.Now()
	if w.endAcks.released(now) > 0 {
		p.poll(w)
		return
	}
	if w.endAcks.writing > 0 {
		// The poll after the write acknowledges; until then the lease must be renewed.
		p.pollAfter(w, pollRetryDelay)
		return
	}
	if w.endAcks.pending() {
		// A worker that lists held ends may answer polls without waiting.
		p.pollAfter(w, max(0, requestedAt.Add(p.heldPollDelay).Sub(now)))
		return
	}
	if w.awaitsFence() && w.token > w.fenceAbove {
		p.pollAfter(w, quickPollDelay)
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

// heldPollInterval is the share of time that each worker with held ends has for its polls: one poll in that
// time for all of them. The delay between two polls of one such worker is from quickPollDelay to
// pollRetryDelay.
const heldPollInterval = 4 * time.Millisecond

// updateHeldPollDelay adjusts the delay between polls of a worker with held ends to the number of such
// workers.
func (p *Pool) updateHeldPollDelay() {
	held := 0
	for _, w := range p.workers {
		if len(w.endAcks.held) > 0 {
			held++
		}
	}
	p.heldPollDelay = min(pollRetryDelay, max(quickPollDelay, time.Duration(held)*heldPollInterval))
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

func (p *Pool) handlePollError(w *worker, call workerCall, err error) {
	if p.handleCommandError(w, call, err) {
		return
	}
	p.pollAfter(w, w.pollRetryPause())
}

const (
	// unansweredPerDoubling is the number of unanswered calls to an address at which nothing is known to
	// run after which the delay between two calls doubles, up to maxPollDoublings times.
	unansweredPerDoubling = 8
	maxPollDoublings      = 3
)

// doublingPause returns the delay after a number of unanswered calls to an address at which nobody may listen.
func doublingPause(unanswered int) time.Duration {
	return pollRetryDelay << min(unanswered/unansweredPerDoubling, maxPollDoublings)
}

// pollRetryPause returns the delay after a poll without a report.
func (w *worker) pollRetryPause() time.Duration {
	switch {
	case w.unansweredCalls == 1:
		return quickPollDelay
	case w.contacted || len(w.members) > 0:
		return pollRetryDelay
	}
	return doublingPause(w.unansweredCalls)
}
