package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

const (
	// startTimeout is the time from sending a start to its deadline on the worker's clock. A worker
	// does not start the run after the deadline, so a worker that has not answered by then cannot carry
	// the start out any more. The poll after a reply renews the lease.
	startTimeout = 2 * time.Second
	// startRetryDelay is the delay before an unanswered start is sent again.
	startRetryDelay = 50 * time.Millisecond
	// startRetryWindow is how long an unanswered start is retried.
	startRetryWindow = 1200 * time.Millisecond
)

// firstRun is the number of a unit's first run.
const firstRun = 1

// startUnit sends a start for every member.
func (p *Pool) startUnit(u *unit) {
	u.state = unitActive
	u.startedAt = p.loop.Now()
	u.startedByThisOwner = true
	u.startedAfterMillis = p.startedAfterMillis(u)
	u.runningSince = time.Time{}
	u.stopReason = ""
	u.fromCheckpoint = u.checkpoint != ""
	if !u.job.startSent {
		u.job.startSent = true
		p.record.Observe("start_after_acceptance", u.startedAt.Sub(u.job.acceptedAt))
	}
	if u.run == firstRun {
		p.lossTracker.RecordStarts(len(u.members))
	}
	for _, m := range u.members {
		p.sendStart(m)
	}
}

func (p *Pool) sendStart(m *member) {
	u, w := m.unit, m.worker
	now := p.loop.Now()
	if m.startDeadline == 0 {
		// Retries keep the deadline of the first start.
		m.startDeadline = w.estimatedClock(now) + min(p.maxStartDelay(), p.remainingLease(now)).Milliseconds()
	}
	order := fleet.Start{
		Task: m.name(), Run: u.run, Payload: u.job.Spec.Payload,
		DeadlineMillis: m.startDeadline, Token: w.token, Checkpoint: u.checkpoint,
	}
	w.deadline = max(w.deadline, order.DeadlineMillis)
	m.state = memberStarting
	run := u.run
	m.startCall = p.sendHedged(&hedgedCommand{
		worker:      w,
		name:        "start",
		isCurrent:   func() bool { return !p.closed && m.worker == w && u.run == run },
		shouldRetry: func() bool { return m.state == memberStarting && !m.stopSent && p.mayStartOn(w, p.loop.Now()) },
		send: func(done func(fleet.Reply, error)) {
			m.startSentAt = p.loop.Now()
			p.ports.Start(&w.Worker, order, done)
		},
		onResult: func(sent *hedgedCall, call workerCall, reply fleet.Reply, err error) {
			p.handleStartReply(m, sent, call, reply, err)
		},
	})
}

// handleStartReply handles the result of one copy of a start.
func (p *Pool) handleStartReply(m *member, sent *hedgedCall, call workerCall, reply fleet.Reply, err error) {
	reason := fleet.ReasonOf(err)
	lost := err != nil && reason == fleet.OutcomeUnknown
	if err != nil && reply.ClockMillis > 0 {
		// A refusal also carries the worker's clock, which explains a start refused as late.
		p.recordReply(m.worker, reply.ClockMillis, call)
	}
	if lost {
		m.worker.recordUnanswered(p.loop.Now())
	}
	switch {
	case sent.answered:
		// The result of the other copy is known, but the worker may still carry out this copy.
		m.startUnanswered = m.startUnanswered || lost
		if !m.startPending() && m.wasConfirmed() {
			p.scheduleConfirmationWrite(m.unit)
		}
	case err == nil:
		sent.answered = true
		p.handleStartConfirmed(m, sent, call, reply)
	case reason == fleet.OtherInstance && sent.pending > 0:
		// The other copy may reach the worker, unless the worker has ended.
		p.handleCommandError(m.worker, call, err)
	case sent.pending == 0 || reason == fleet.Fenced:
		sent.answered = true
		p.handleStartError(m, call, err)
	default:
		m.startUnanswered = m.startUnanswered || lost
	}
}

func (p *Pool) handleStartConfirmed(m *member, sent *hedgedCall, call workerCall, reply fleet.Reply) {
	now := p.loop.Now()
	latency := now.Sub(sent.sentAt)
	p.record.Observe("start_order", latency)
	p.commandLatency += (latency - p.commandLatency) / commandLatencySamples
	m.incarnationUnknown = p.recordReply(m.worker, reply.ClockMillis, call)
	m.confirm(confirmedByStart, now, reply.ClockMillis)
	if m.state == memberStarting || m.state == memberUnconfirmed {
		m.state = memberRunning
		m.unit.updateRunningSince(now)
		p.scheduleConfirmationWrite(m.unit)
	}
	m.measureSurvival(p.options.Bounds.GangTimeout)
	p.poll(m.worker)
}

func (p *Pool) handleStartError(m *member, call workerCall, err error) {
	w, u := m.worker, m.unit
	reason := fleet.ReasonOf(err)
	p.record.Count("start_failures", string(reason))
	p.record.LogEvent("start failed", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "born", w.StartMillis, "reason", string(reason),
		"unanswered", m.startUnanswered || reason == fleet.OutcomeUnknown, "confirmed_by", string(m.confirmation.source))
	if p.handleCommandError(w, call, err) {
		return
	}
	// Another copy may have been carried out before the worker saw a later token of this owner.
	m.startUnanswered = m.startUnanswered || reason == fleet.OutcomeUnknown || reason == fleet.Fenced
	if m.state == memberRunning {
		// A report has confirmed the run in the meantime.
		return
	}
	if m.startUnanswered {
		if reason == fleet.OutcomeUnknown && p.mayRetryStart(m) {
			p.retryStart(m)
			return
		}
		p.blockStart(m)
		return
	}
	if reason == fleet.InsufficientCapacity {
		// The worker has runs that this owner does not know.
		w.excludedUntil = p.loop.Now().Add(insufficientCapacityExclusion)
		p.pollNow(w)
	}
	// The start was refused, so nothing runs.
	p.memberEnded(m, fleet.EndStopped)
}

// blockStart sends a stop so that a start that may still be in flight is not carried out, and polls
// the worker for the state of the run.
func (p *Pool) blockStart(m *member) {
	m.state = memberUnconfirmed
	m.unconfirmedSince = p.loop.Now()
	p.poll(m.worker)
	p.sendStop(m)
	if len(m.unit.members) > 1 {
		// The gang can no longer start completely, so the other members need not wait.
		p.stopUnit(m.unit, "start unanswered")
	}
}

// mayRetryStart reports whether an unanswered start may be sent again.
func (p *Pool) mayRetryStart(m *member) bool {
	now := p.loop.Now()
	return m.unit.state == unitActive && now.Sub(m.unit.startedAt) < startRetryWindow && !m.stopSent && p.mayStartOn(m.worker, now)
}

// retryStart sends a start again after startRetryDelay. Starts are idempotent: the worker starts a
// run only once.
func (p *Pool) retryStart(m *member) {
	w, u, run := m.worker, m.unit, m.unit.run
	p.record.Count("retries", "start")
	p.loop.After(startRetryDelay, func() {
		if p.closed || m.worker != w || u.run != run || u.state != unitActive || m.state != memberStarting {
			return
		}
		if p.mayStartOn(w, p.loop.Now()) {
			p.sendStart(m)
			return
		}
		p.blockStart(m)
	})
}

// insufficientCapacityExclusion is how long a worker gets no new work after it refused a start for
// lack of capacity.
const insufficientCapacityExclusion = 500 * time.Millisecond
