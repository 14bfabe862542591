package pool

import (
	"slices"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// A worker's restart begins a new incarnation of the worker. Runs that certainly ended with the
// former incarnation are marked as lost at once. The owner looks for the other runs in the reports
// of the next incarnation.

// markFormerRunsLost marks runs of the former incarnation as lost. These runs were confirmed before
// the report of the next incarnation was requested, and the report does not contain them.
func (p *Pool) markFormerRunsLost(w *worker, report workerReport) {
	listed := runIDs(report.Running)
	for i := range report.Ended {
		listed[runID{task: report.Ended[i].Task, run: report.Ended[i].Run}] = true
	}
	all := w.members
	w.members = nil
	var kept []*member
	for _, m := range all {
		if m.endedWithIncarnation(report, p.options.DisabledSafeguards) && !listed[runID{task: m.name(), run: m.unit.run}] {
			w.members = append(w.members, m)
		} else {
			kept = append(kept, m)
		}
	}
	p.markRunsLost(w, lostWorkerRestarted)
	w.members = append(w.members, kept...)
}

// endedWithIncarnation reports whether absence from a report proves that the member's run has
// ended. The report is that of the worker's next incarnation. An unanswered
// start of this owner, or a copy of the start, may still reach the next incarnation. A start of an
// earlier owner cannot, because the request for the report has fenced that owner. A run that is
// being stopped is missing from reports. Such a run counts as ended only if the former incarnation
// had confirmed it to an earlier owner.
func (m *member) endedWithIncarnation(report workerReport, disabled DisabledSafeguards) bool {
	switch m.state {
	case memberWithoutRun:
		return true
	case memberUnconfirmed:
		return m.confirmedToEarlierOwner
	case memberRunning:
		startUnresolved := m.startUnanswered || m.incarnationUnknown || m.startCall != nil && m.startCall.pending > 0
		return (!startUnresolved || disabled.UnansweredStarts) && !m.stopAttempted && m.confirmedBefore(report, disabled)
	}
	return false
}

// markEarlierConfirmedRunsLost marks runs as lost that a former incarnation of the worker had
// confirmed to an earlier owner. The first report of the present incarnation does not list these
// runs.
func (p *Pool) markEarlierConfirmedRunsLost(w *worker) {
	var formers []*worker
	for _, m := range slices.Clone(w.members) {
		if m.formerIncarnation.ID == "" || m.formerIncarnation == w.Incarnation || !m.knownFromRows {
			continue
		}
		index := slices.IndexFunc(formers, func(known *worker) bool { return known.Incarnation == m.formerIncarnation })
		if index < 0 {
			index = len(formers)
			formers = append(formers, &worker{Worker: fleet.Worker{Incarnation: m.formerIncarnation, Address: w.Address}})
		}
		former := formers[index]
		w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
		former.members = append(former.members, m)
		m.worker, m.confirmedToEarlierOwner = former, true
	}
	for _, former := range formers {
		p.markRunsLost(former, lostWorkerRestarted)
	}
}

// leaveIncarnation records that the member's run was last known in an incarnation that has ended.
// The next incarnation has not confirmed the run yet.
func (m *member) leaveIncarnation(incarnation fleet.Incarnation) {
	if m.wasConfirmed() {
		m.formerIncarnation = incarnation
	}
	m.confirmedToEarlierOwner = false
}

// recordUnexplainedLoss adds the end of the worker's former incarnation to the member's loss
// history, unless it shut down as planned. The loss is unexplained, since the time at which the run
// ended is unknown.
func (m *member) recordUnexplainedLoss() {
	if m.formerIncarnation.ID == "" || m.formerShutDownAsPlanned {
		return
	}
	if history := m.lossHistory(); history != nil {
		history.AddUnexplained(m.formerIncarnation.String())
	}
}
