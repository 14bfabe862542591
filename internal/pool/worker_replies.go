package pool

import "time"

// recordReply records a reply of a worker to a call. It returns true if the worker's clock deviates
// from its estimate, in which case another incarnation may have answered.
func (p *Pool) recordReply(w *worker, clock int64, call workerCall) (jumped bool) {
	now := p.loop.Now()
	p.confirmAddress(w, call)
	jumped = p.checkClockJump(w, clock, now)
	w.clock, w.clockAt = clock, now
	if jumped {
		// Earlier deadlines were on another clock, and another incarnation may have replied. A poll
		// identifies the incarnation; the reply to a start does not.
		w.deadline = clock + p.options.Bounds.MaxLease.Milliseconds()
		for _, m := range w.members {
			m.survival = runSurvival{}
		}
		p.pollNow(w)
	}
	if w.unansweredCalls > 0 {
		p.record.LogEvent("worker responsive again", "worker", w.ID, "unanswered", w.unansweredCalls)
	}
	w.unansweredCalls = 0
	if !w.hasRow && !w.rowMissing && !w.unlistedAt.After(call.sentAt) {
		w.respondedWithoutRow = true
	}
	return jumped
}

// handleReport handles a report of the known incarnation, unless a later one was handled before.
func (p *Pool) handleReport(w *worker, report workerReport) {
	if p.recordReply(w, report.ClockMillis, report.call()) {
		w.lastReportMillis = 0
	}
	if !p.options.DisabledSafeguards.ReportOrder && w.overtaken(report) {
		p.record.Count("refusals", "worker_report_overtaken")
		return
	}
	w.lastReportMillis = report.ClockMillis
	w.endAcks.reportAt = p.loop.Now()
	if p.lossTracker.WithdrawLoss(w.Incarnation.String()) {
		p.record.LogEvent("lost worker responded", "worker", w.ID)
	}
	p.applyReport(w, report)
}

// overtaken reports whether the owner has handled a report that the worker wrote later. The later
// report holds all ends of this one that are not acknowledged yet. A report that was requested after
// the last one was handled is later, whatever the worker's clock says.
func (w *worker) overtaken(report workerReport) bool {
	return report.ClockMillis < w.lastReportMillis && report.requestedAt.Before(w.endAcks.reportAt)
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
	w.tryFallbackAddress()
	w.recordUnanswered(p.loop.Now())
	// Once the runs of the worker are lost, only this poll contacts the worker again. Without the
	// poll the worker would stay unused.
	p.pollAfter(w, quickPollDelay)
}

// handlePollReply handles the report that answers a poll.
func (p *Pool) handlePollReply(w *worker, report workerReport) {
	first := !w.contacted
	if first {
		w.contacted, w.contactedAt = true, p.loop.Now()
		w.startClaimed, w.fallbackAddress = false, ""
		if len(report.Running) > 0 {
			p.assumeLongestLease(w, report)
		}
		w.firstReportMillis = report.ClockMillis
	}
	p.confirmFence(w, report)
	p.handleReport(w, report)
	if first {
		p.renewLeaseNow(w)
		p.scheduleCycle()
	}
	p.schedulePoll(w, report.requestedAt)
	p.removeIfIdle(w)
}

// renewLeaseNow renews the lease of runs on a worker after the first contact.
func (p *Pool) renewLeaseNow(w *worker) {
	if len(w.members) > 0 {
		p.poll(w)
	}
}
