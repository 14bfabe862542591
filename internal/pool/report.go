package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// applyReport applies a worker's report of running and ended runs. An owner that is releasing its
// pool leaves reports to the next owner, since each recorded end would delay the release by a
// write.
func (p *Pool) applyReport(w *worker, report workerReport) {
	if p.releasing {
		return
	}
	w.listedEnds = len(report.Ended)
	p.applyEnds(w, report.Ended)
	p.reconcile(w, report)
}

// reconcile reconciles the members on a worker with the runs that the worker lists. Ended runs have
// already been applied.
func (p *Pool) reconcile(w *worker, report workerReport) {
	now := p.loop.Now()
	p.updateUnexpected(w, report)
	listed := map[*member]bool{}
	for i := range report.Running {
		entry := &report.Running[i]
		m := p.memberOnWorker(w, entry.Task, entry.Run)
		if m == nil {
			p.stopUnexpected(w, entry.Task, entry.Run, report)
			continue
		}
		listed[m] = true
		m.confirm(confirmedByReport, now, report.ClockMillis)
		p.reconcileListed(m, entry, now)
	}
	if report.MoreEnded {
		return
	}
	p.markEarlierConfirmedRunsLost(w)
	for _, m := range w.members {
		if !listed[m] {
			p.reconcileUnlisted(m, report)
		}
	}
}

// memberOnWorker returns the member of a run if the member is assigned to the worker, or nil.
func (p *Pool) memberOnWorker(w *worker, name taskgraph.TaskName, run int) *member {
	j := p.jobs[name.Job]
	if j == nil {
		return nil
	}
	m := j.member(name)
	if m == nil || m.worker != w || m.unit.run != run {
		return nil
	}
	return m
}

func (p *Pool) reconcileListed(m *member, entry *fleet.ActiveRun, now time.Time) {
	if m.state != memberRunning {
		m.state = memberRunning
		m.unit.updateRunningSince(now)
		p.scheduleConfirmationWrite(m.unit)
	}
	m.reportedAt = now
	m.incarnationUnknown, m.knownFromRows = false, false
	m.measureSurvival(p.options.Bounds.GangTimeout)
	if entry.Percent > 0 && !m.unit.fromCheckpoint {
		p.recordRunProgress(m.worker, m.unit)
	}
	p.updateRunTime(m, entry.Percent, now)
	if entry.Percent != m.percent || m.percentChangedAt.IsZero() {
		m.percent, m.percentChangedAt = entry.Percent, now
	}
	if entry.Checkpoint != "" {
		m.unit.checkpoint = entry.Checkpoint
	}
}

// reconcileUnlisted reconciles a member whose run the worker lists neither as running nor as ended.
func (p *Pool) reconcileUnlisted(m *member, report workerReport) {
	switch {
	case !m.stoppingSince.IsZero():
		// The worker reports a completed stop as an ended run. If it reported none in time, there
		// was no run.
		if report.requestedAt.Sub(m.stoppingSince) > p.longestStop() {
			m.recordUnexplainedLoss()
			p.memberEnded(m, fleet.EndStopped)
		}
	case m.state == memberRunning && !m.confirmedBefore(report, p.options.DisabledSafeguards):
		// The report may be older than the run.
	case m.stopAttempted && m.state == memberRunning && !p.options.DisabledSafeguards.StopConfirmation:
		// The worker may be carrying out a stop whose reply was lost. A run that is being stopped
		// is not listed but may still run. An unconfirmed start may still arrive, so such a run has
		// ended only once the worker has answered a stop.
		m.stoppingSince = p.loop.Now()
	case m.knownFromRows && p.options.DisabledSafeguards.StopConfirmation:
		p.memberEnded(m, fleet.EndLeaseExpired)
	case m.knownFromRows:
		// The worker has seen this owner's token, so a pending start of an earlier owner is fenced.
		// A stop of the earlier owner may still be in progress.
		m.stoppingSince, m.knownFromRows = p.loop.Now(), false
	case m.state == memberUnconfirmed && m.unconfirmedSince.Before(report.requestedAt):
		// The start may still be carried out; a stop blocks it.
		p.sendStop(m)
	case m.state == memberRunning:
		p.recordUnlistedRun(m, report)
		p.stopUnlistedRun(m)
	}
}

// stopUnlistedRun stops a run that its worker no longer lists for an unknown reason. The task is
// placed again once the worker has answered the stop and the time that a stop may take has passed,
// so that no second run starts beside the first even if the report was wrong.
func (p *Pool) stopUnlistedRun(m *member) {
	if p.options.DisabledSafeguards.UnlistedRunStop {
		p.memberEnded(m, fleet.EndLeaseExpired)
		return
	}
	m.state = memberUnconfirmed
	m.unconfirmedSince = p.loop.Now()
	p.stopUnit(m.unit, "run missing from reports")
	p.sendStop(m)
}

// recordUnlistedRun counts and logs a confirmed run that the worker lists neither as running nor as
// ended.
func (p *Pool) recordUnlistedRun(m *member, report workerReport) {
	u, w, now := m.unit, m.worker, p.loop.Now()
	p.record.Count("attempts", "unlisted")
	p.record.LogEvent("run missing from reports", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "born", w.StartMillis,
		"ran_ms", u.runMillis(now), "acknowledged_end", w.endAcks.acknowledged, "start_unanswered", m.startPending(),
		"confirmed_by", string(m.confirmation.source), "confirmed_ms_ago", now.Sub(m.confirmation.receivedAt).Milliseconds(), "confirmed_clock", m.confirmation.workerMillis,
		"requested_ms_ago", now.Sub(report.requestedAt).Milliseconds(), "report_clock", report.ClockMillis, "reports_in_flight", w.reportsInFlight)
}

// applyEnds applies the ended runs that a worker lists, and acknowledges them once they are stored.
// Ended runs are matched by task and run rather than by their number, because a list may be
// received twice.
func (p *Pool) applyEnds(w *worker, ends []fleet.EndedRun) {
	var highest int64
	for i := range ends {
		end := &ends[i]
		highest = max(highest, end.Number)
		m := p.memberOnWorker(w, end.Task, end.Run)
		p.holdAcknowledgement(w, m, end)
		if m != nil {
			p.applyEnd(w, m, end)
		} else if end.Reason == fleet.EndDone {
			p.applyEarlierDone(end)
		}
	}
	if w.endAcks.handled(highest) {
		return
	}
	w.endAcks.writing = highest
	w.endAcks.addUnwritten(p.jobsOfEnds(ends))
	if p.options.DisabledSafeguards.PersistEndsBeforeAcknowledging {
		w.endAcks.markWritten(highest)
	}
	receivedAt := p.loop.Now()
	p.afterPersist(p.writer.resultWriteDelay(), func() {
		p.record.Observe("end_noted", p.loop.Now().Sub(receivedAt))
		w.endAcks.markWritten(highest)
		p.poll(w)
	}, w.endAcks.unwritten...)
}

// applyEarlierDone completes the task of a run that is done but is not the task's present run. The worker
// may have carried out its start late, after the task was given up there.
func (p *Pool) applyEarlierDone(end *fleet.EndedRun) {
	j := p.jobs[end.Task.Job]
	if j == nil {
		return
	}
	if m := j.member(end.Task); m != nil && end.Run <= m.unit.run {
		p.completeByEarlierRun(m.unit)
	}
}

// jobsOfEnds returns the known jobs of ended runs.
func (p *Pool) jobsOfEnds(ends []fleet.EndedRun) []*job {
	var jobs []*job
	for i := range ends {
		if j := p.jobs[ends[i].Task.Job]; j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func (p *Pool) applyEnd(w *worker, m *member, end *fleet.EndedRun) {
	u := m.unit
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	p.record.Count("attempts", string(end.Reason))
	now := p.loop.Now()
	p.record.LogEvent("run ended", "job", u.job.id, "task", end.Task.String(), "run", end.Run, "worker", w.ID, "born", w.StartMillis, "how", string(end.Reason),
		"reason", u.stopReason, "ran_ms", u.runMillis(now), "slowness", u.slowness, "unsaved_core_s", p.unsavedWork(u, end.Reason, now.Sub(u.startedAt)))
	switch end.Reason {
	case fleet.EndDone:
		p.recordRunProgress(w, u)
		p.completeUnit(u)
	case fleet.EndFailed:
		p.recordUnitFailure(u, w)
	}
	p.memberEnded(m, end.Reason)
}
