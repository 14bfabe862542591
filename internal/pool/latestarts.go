package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// A start without a response may still be carried out seconds later. In the incarnation that it was
// sent to, a stop or the end of the run blocks it. After a restart of the worker nothing does: the
// next incarnation knows no runs, has seen no fencing token, and compares the start's deadline with
// a clock that began anew. The owner therefore remembers such starts for Bounds.MaxOrderDelay. During
// that time it polls the worker to learn of a restart, blocks the starts in the next incarnation, and
// does not acknowledge that the run has completed or failed.

// orderTransferTime is allowed for the way of an order to its worker. On a full link the wait for the rate
// limiter comes on top of it.
const orderTransferTime = time.Second

// lateOrderWindow returns how long after its sending an order without a response may be carried out.
func (p *Pool) lateOrderWindow() time.Duration {
	return p.options.Bounds.MaxOrderDelay + orderTransferTime
}

// lateStart is a start that may be carried out although its run is over.
type lateStart struct {
	runID
	until time.Time
}

// startPending reports whether a copy of the present run's start has no response.
func (m *member) startPending() bool {
	return m.startUnanswered || m.earlierStartPending || m.startCall != nil && m.startCall.pending > 0
}

// lateStartUntil returns until when a copy of the present run's start may be carried out. It returns
// the zero time if every copy got a response. The first contact with this owner's token makes the
// worker refuse the starts of earlier owners, so these were sent before the contact.
func (p *Pool) lateStartUntil(m *member) time.Time {
	switch {
	case m.worker == nil || !m.startPending():
		return time.Time{}
	case m.earlierStartPending:
		return m.worker.contactedAt.Add(p.lateOrderWindow())
	}
	return m.startSentAt.Add(p.lateOrderWindow())
}

// rememberLateStart remembers the start of a member whose run is over. A later incarnation of the
// worker keeps the record.
func (p *Pool) rememberLateStart(m *member) {
	now, until := p.loop.Now(), p.lateStartUntil(m)
	if !now.Before(until) || p.options.DisabledSafeguards.UnansweredStarts {
		return
	}
	m.expectEarlierStart(until)
	w := p.workers[m.worker.ID]
	if w == nil {
		return
	}
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(start lateStart) bool { return !now.Before(start.until) })
	w.lateStarts = append(w.lateStarts, lateStart{runID: runID{task: m.name(), run: m.unit.run}, until: until})
}

// expectsLateStarts reports whether a start may still be carried out on the worker although its run
// is over.
func (w *worker) expectsLateStarts(now time.Time) bool {
	return slices.ContainsFunc(w.lateStarts, func(start lateStart) bool { return now.Before(start.until) })
}

// blockLateStarts blocks the remembered starts in a new incarnation of their worker.
func (p *Pool) blockLateStarts(w *worker) {
	for _, start := range w.lateStarts {
		p.blockLateStart(w, start)
	}
}

// blockLateStart sends a stop until the worker answers it or the start can no longer be carried out.
func (p *Pool) blockLateStart(w *worker, start lateStart) {
	if p.closed || p.workers[w.ID] != w || !p.loop.Now().Before(start.until) {
		return
	}
	p.record.Count("worker_orders", "stop_late_start")
	p.record.LogEvent("blocking late start", "task", start.task.String(), "run", start.run, "worker", w.ID, "born", w.StartMillis)
	call := p.callTo(w)
	p.ports.Stop(&w.Worker, fleet.Stop{Task: start.task, Run: start.run, Token: call.token}, func(_ fleet.Reply, err error) {
		if p.closed || err == nil || p.handleCommandError(w, call, err) {
			return
		}
		p.loop.After(quickPollDelay, func() { p.blockLateStart(w, start) })
	})
}

// holdAcknowledgement delays the acknowledgement of an end while the start of a run of its task may still
// be carried out, on any worker. An acknowledged end is final, whereas an end that is lost with its incarnation is
// not. m is the run's member; nil if this owner does not know the run, as after a takeover, or has
// given it up.
func (p *Pool) holdAcknowledgement(w *worker, m *member, end *fleet.EndedRun) {
	final := end.Reason == fleet.EndDone || end.Reason == fleet.EndFailed
	if !final || w.endAcks.handled(end.Number) || p.options.DisabledSafeguards.UnansweredStarts {
		return
	}
	var until time.Time
	if m != nil {
		until = laterOf(p.lateStartUntil(m), m.earlierStartsUntil)
	} else {
		until = p.lateStartOfUnknownRun(w, end)
	}
	if p.loop.Now().Before(until) {
		w.endAcks.hold(end.Number, until)
	}
}

// expectEarlierStart records that the start of an earlier run of the member's task may be carried out
// until a time.
func (m *member) expectEarlierStart(until time.Time) {
	m.earlierStartsUntil = laterOf(m.earlierStartsUntil, until)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateStartOfUnknownRun returns until when a copy of the start of a run may be carried out that is not
// a member's present one.
func (p *Pool) lateStartOfUnknownRun(w *worker, end *fleet.EndedRun) time.Time {
	until := w.contactedAt.Add(p.lateOrderWindow())
	for _, start := range w.lateStarts {
		if start.task == end.Task && start.run == end.Run {
			until = laterOf(until, start.until)
		}
	}
	return until
}
