package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// A value of type worker stands for one incarnation of a worker. A restart discards the state in
// the value, except the members and the machine state. A worker row that names another incarnation
// is only a hint, since another process may have written the row. The owner does not mark runs as
// lost until the worker itself has answered.

// restartEvidence says how the owner learned that a worker has restarted.
type restartEvidence string

const (
	// restartSeenInRow: the row named another incarnation, and no run was known in the former one.
	restartSeenInRow restartEvidence = "row"
	// restartConfirmedByReply: the row named another incarnation, and this incarnation answered.
	restartConfirmedByReply restartEvidence = "row and answer"
	// restartSeenInReply: another incarnation answered at the address of the former one.
	restartSeenInReply restartEvidence = "answer"
	// restartSeenInProgress: the progress rows of an earlier owner name a later incarnation than
	// the worker's row.
	restartSeenInProgress restartEvidence = "progress row"
)

// incarnationOrder says how a reported incarnation relates to the known one.
type incarnationOrder int

const (
	// sameIncarnation: the same incarnation, or one of the two start times is unknown.
	sameIncarnation incarnationOrder = iota
	// laterIncarnation: if the report is true, the known incarnation has ended.
	laterIncarnation
	// earlierIncarnation: the report is stale or false.
	earlierIncarnation
)

// compareIncarnation compares a reported start time with that of the known incarnation.
func (p *Pool) compareIncarnation(w *worker, startMillis int64) incarnationOrder {
	switch {
	case p.options.DisabledSafeguards.Incarnations, w.StartMillis == 0, startMillis == 0, startMillis == w.StartMillis:
		return sameIncarnation
	case startMillis > w.StartMillis:
		return laterIncarnation
	}
	return earlierIncarnation
}

// isSuccessor reports whether the incarnation that wrote a report succeeds the known incarnation.
// Start times are wall-clock times, and the clock may be set back between two incarnations. An
// incarnation with an earlier start time therefore also counts as a successor if the report was
// requested after the last report of the known incarnation was received.
func (p *Pool) isSuccessor(w *worker, report workerReport) bool {
	switch p.compareIncarnation(w, report.StartMillis) {
	case laterIncarnation:
		return true
	case earlierIncarnation:
		return w.contacted && report.requestedAt.After(w.endAcks.reportAt)
	}
	return false
}

// handleRestart handles the report of an incarnation that succeeds the known one. Runs that
// certainly ended with the former incarnation are lost. Any other start may still reach the new
// incarnation.
func (p *Pool) handleRestart(w *worker, report workerReport, evidence restartEvidence) {
	row := w.unverifiedRow
	if row != nil && row.Address != report.address {
		// The row does not describe the incarnation that answered.
		row = nil
	}
	next := w.Worker
	if row != nil {
		next = *row
	}
	next.StartMillis, next.Address = report.StartMillis, report.address
	p.recordRestart(w, next.Incarnation, evidence, len(w.members))
	lateOrders := p.expectsLateOrders(w)
	p.markFormerRunsLost(w, report)
	replacement := p.replaceIncarnation(w, next)
	replacement.contacted, replacement.contactedAt = true, p.loop.Now()
	if row != nil {
		p.updateFromRow(replacement, row)
		// The row may name an incarnation later than the one that answered.
		replacement.StartMillis = report.StartMillis
	}
	p.assumeLongestLease(replacement, report)
	if lateOrders && !p.options.DisabledSafeguards.RestartLease {
		// Until then, or until the incarnation is fenced, such an order may grant the longest lease again.
		replacement.deadline += p.lateOrderWindow().Milliseconds()
	}
	p.handlePollReply(replacement, report)
}

// assumeLongestLease assumes that orders to a former incarnation of the worker, or of an earlier owner
// to one, have granted the longest lease: they carried lease deadlines on another clock.
func (p *Pool) assumeLongestLease(w *worker, report workerReport) {
	if report.StartMillis > 0 && !p.options.DisabledSafeguards.RestartLease {
		w.deadline = max(w.deadline, report.ClockMillis+p.options.Bounds.MaxLease.Milliseconds())
	}
}

// expectsLateOrders reports whether an order to the worker may still be carried out although its
// answer is late or lost.
func (p *Pool) expectsLateOrders(w *worker) bool {
	now := p.loop.Now()
	pending := slices.ContainsFunc(w.members, (*member).startPending)
	unanswered := !w.unansweredAt.IsZero() && now.Before(w.unansweredAt.Add(p.lateOrderWindow()))
	return pending || unanswered || w.expectsLateStarts(now)
}

// recordRestart counts and logs a worker's restart.
func (p *Pool) recordRestart(w *worker, next fleet.Incarnation, evidence restartEvidence, runs int) {
	p.record.Count("worker_restarts", string(evidence))
	p.record.LogEvent("worker restarted", "worker", w.ID, "born", next.StartMillis, "former", w.StartMillis, "known_by", string(evidence), "runs", runs)
}

// replaceIncarnation switches to the next incarnation of a worker. The replacement keeps the
// remaining members and the machine state. The row of the new incarnation has not been read yet.
func (p *Pool) replaceIncarnation(w *worker, next fleet.Worker) *worker {
	if w.cancelPollTimer != nil {
		w.cancelPollTimer()
	}
	replacement := p.addUnlistedWorker(next.Incarnation)
	replacement.Worker, replacement.rack = next, next.Rack()
	replacement.Draining = false
	replacement.rowMissing = true
	replacement.machineState = w.machineState
	replacement.restarts++
	if w.called {
		p.requireFence(replacement, w.token)
	}
	moved := w.members
	w.members = nil
	for _, m := range moved {
		p.moveToIncarnation(m, replacement)
	}
	p.blockLateStarts(replacement)
	p.scheduleCycle()
	return replacement
}

// moveToIncarnation moves a member to the next incarnation of its worker. The next report shows
// whether the run exists in this incarnation. If not, the owner sends a stop before the task is
// placed again, because the start or its copy may still arrive. Responses to requests in flight are
// ignored from now on.
func (p *Pool) moveToIncarnation(m *member, replacement *worker) {
	former := m.worker
	m.leaveIncarnation(former.Incarnation)
	m.formerShutDownAsPlanned = former.shutDownAsPlanned(former.lastResponsive(p.loop.Now()))
	// The results of copies that are pending now are ignored.
	m.startUnanswered = m.startUnanswered || m.startCall != nil && m.startCall.pending > 0
	m.worker, m.survival = replacement, runSurvival{}
	replacement.members = append(replacement.members, m)
	m.stopSent, m.stoppingSince = false, time.Time{}
	if m.stopTimer != nil {
		m.stopTimer()
		m.stopTimer = nil
	}
	if m.state == memberStarting || m.state == memberRunning {
		m.state = memberUnconfirmed
		m.unconfirmedSince = p.loop.Now()
	}
	p.persist(m.unit.job)
	if m.stopAttempted {
		p.sendStop(m)
	}
}

// handleOtherIncarnation handles a report of another incarnation than the known one. It returns
// false if the caller should handle the report as one of the known incarnation.
func (p *Pool) handleOtherIncarnation(w *worker, report workerReport) bool {
	if w.StartMillis == 0 {
		w.StartMillis = report.StartMillis
	}
	switch {
	case p.isSuccessor(w, report):
		p.handleRestart(w, report, restartSeenInReply)
		return true
	case p.compareIncarnation(w, report.StartMillis) == earlierIncarnation:
		if w.contacted {
			// Replies on different connections may arrive out of order.
			p.record.Count("refusals", "worker_answer_stale")
			p.pollAfter(w, quickPollDelay)
			return true
		}
		// The known incarnation was taken from a row, and the row was wrong.
		w.StartMillis = report.StartMillis
		w.returnMembers()
		p.rejectRow(w)
		return p.workers[w.ID] != w
	}
	return false
}
