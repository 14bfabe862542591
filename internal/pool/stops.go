package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// stopRetryDelay is the delay before a stop is sent again after all its copies have failed.
const stopRetryDelay = 200 * time.Millisecond

// stopUnit sends a stop for every member.
func (p *Pool) stopUnit(u *unit, reason string) {
	if u.state != unitActive {
		return
	}
	u.state = unitStopping
	u.stopReason = reason
	p.record.Count("stops", reason)
	p.record.LogEvent("stopped", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", u.run, "reason", reason, "checkpoints", u.spec().Checkpoints)
	for _, m := range u.members {
		if m.worker != nil {
			p.sendStop(m)
		}
	}
	p.requeueIfIdle(u)
}

// sendStop sends a stop until the worker answers it. The stop also blocks a start of the run that
// arrives later.
func (p *Pool) sendStop(m *member) {
	if m.stopSent || m.worker == nil {
		return
	}
	m.stopAttempted, m.stopSent = true, true
	u, w, run := m.unit, m.worker, m.unit.run
	order := fleet.Stop{Task: m.name(), Run: run, Token: w.token}
	p.sendHedged(&hedgedCommand{
		worker:      w,
		name:        "stop",
		isCurrent:   func() bool { return !p.closed && m.worker == w && u.run == run },
		shouldRetry: func() bool { return m.stopSent },
		send:        func(done func(fleet.Reply, error)) { p.ports.Stop(&w.Worker, order, done) },
		onResult: func(sent *hedgedCall, call workerCall, reply fleet.Reply, err error) {
			p.handleStopReply(m, sent, call, reply, err)
		},
	})
}

// handleStopReply handles the result of one copy of a stop.
func (p *Pool) handleStopReply(m *member, sent *hedgedCall, call workerCall, reply fleet.Reply, err error) {
	u, w, run := m.unit, m.worker, m.unit.run
	switch {
	case sent.answered:
	case err == nil:
		sent.answered = true
		p.recordReply(w, reply.ClockMillis, call)
		m.stoppingSince, m.knownFromRows = p.loop.Now(), false
		if m.state != memberRunning {
			p.pollNow(w)
		}
	case sent.pending > 0 && fleet.ReasonOf(err) == fleet.OutcomeUnknown:
		// The other copy is still in flight.
	case p.handleCommandError(w, call, err):
	default:
		sent.answered = true
		m.stopTimer = p.loop.After(stopRetryDelay, func() {
			m.stopTimer = nil
			m.stopSent = false
			if m.worker == w && u.run == run {
				p.sendStop(m)
			}
		})
	}
}
