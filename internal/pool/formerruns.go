package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// Runs that were placed in a former incarnation of their worker: those that certainly ended with it
// are lost at once, the others are looked up in the next incarnation.

// markFormerRunsLost marks as lost the runs that were confirmed in the former incarnation before
// the report of the next one was requested, and that this report does not contain.
func (p *Pool) markFormerRunsLost(w *worker, reply fleet.Reply, sentAt time.Time) {
	listed := runIDs(reply.Running)
	for i := range reply.Ended {
		listed[runID{task: reply.Ended[i].Task, run: reply.Ended[i].Run}] = true
	}
	all := w.members
	w.members = nil
	var kept []*member
	for _, m := range all {
		if m.endedWithIncarnation(sentAt, p.options.DisabledSafeguards) && !listed[runID{task: m.name(), run: m.unit.run}] {
			w.members = append(w.members, m)
		} else {
			kept = append(kept, m)
		}
	}
	p.markRunsLost(w, lostWorkerRestarted)
	w.members = append(w.members, kept...)
}

// endedWithIncarnation reports whether the member's run has certainly ended if it is missing from
// the report of the worker's next incarnation that was requested at sentAt. An unanswered start of
// this owner, or a copy of one, may still reach the next incarnation; a start of an earlier owner
// is fenced there by the request. A run that is being stopped is missing from reports, so it counts
// as ended only if an earlier owner had it confirmed in the former incarnation.
func (m *member) endedWithIncarnation(sentAt time.Time, disabled DisabledSafeguards) bool {
	switch m.state {
	case memberWithoutRun:
		return true
	case memberUnconfirmed:
		return m.confirmedToEarlierOwner
	case memberRunning:
		startUnresolved := m.startUnanswered || m.incarnationUnknown || m.startCall != nil && m.startCall.pending > 0
		return (!startUnresolved || disabled.UnansweredStarts) && !m.stopAttempted && m.sentAt.Before(sentAt)
	}
	return false
}

// markEarlierConfirmedRunsLost marks as lost the members whose runs an earlier owner had confirmed in a
// former incarnation of the worker, if the first report of the present one does not list them.
func (p *Pool) markEarlierConfirmedRunsLost(w *worker, listed map[*member]bool) {
	var formers []*worker
	for _, m := range slices.Clone(w.members) {
		if m.formerIncarnation.ID == "" || m.state != memberUnconfirmed || !m.sentAt.IsZero() || listed[m] {
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

// recordUnexplainedLoss records the loss of the worker's former incarnation for a run that is not
// in the next one. The loss is unexplained, since the time at which the run ended is unknown.
func (m *member) recordUnexplainedLoss() {
	if m.formerIncarnation.ID == "" {
		return
	}
	if history := m.lossHistory(); history != nil {
		history.AddUnexplained(m.formerIncarnation.String())
	}
}
