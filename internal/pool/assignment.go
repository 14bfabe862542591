package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// assign reserves capacity for a member on a worker and resets the state of its previous run.
func (p *Pool) assign(m *member, w *worker) {
	if m.worker == nil {
		p.tenantUse.Take(m.unit.job.Tenant, m.unit.spec().Requirements(), p.loop.Now())
		m.unit.repetition.activeMembers++
	}
	m.worker = w
	m.state = memberWithoutRun
	m.stopAttempted, m.stopSent, m.stoppingSince, m.startUnanswered = false, false, time.Time{}, false
	m.startCall, m.startSentAt, m.earlierStartPending = nil, time.Time{}, false
	m.confirmation, m.survival = confirmation{}, runSurvival{}
	m.confirmedToEarlierOwner, m.formerIncarnation, m.formerShutDownAsPlanned = false, fleet.Incarnation{}, false
	m.percent, m.percentChangedAt, m.reportedAt = 0, time.Time{}, time.Time{}
	m.unconfirmedSince, m.knownFromRows = time.Time{}, false
	m.startDeadline = 0
	m.incarnationUnknown = false
	m.runTimePercent = 0
	m.unit.step.cohort.Remove(&m.cohortEntry)
	w.members = append(w.members, m)
}

// unassign frees the capacity that a member has reserved.
func (p *Pool) unassign(m *member) {
	if m.stopTimer != nil {
		m.stopTimer()
		m.stopTimer = nil
	}
	if m.worker != nil {
		p.tenantUse.Release(m.unit.job.Tenant, m.unit.spec().Requirements(), p.loop.Now())
		m.unit.repetition.activeMembers--
		p.rememberLateStart(m)
		m.worker.members = slices.DeleteFunc(slices.Clone(m.worker.members), func(other *member) bool { return other == m })
	}
	m.worker = nil
	m.state = memberWithoutRun
	m.stopAttempted, m.stopSent, m.stoppingSince = false, false, time.Time{}
}

func (p *Pool) unassignAll(u *unit) {
	for _, m := range u.members {
		p.unassign(m)
	}
}

// commitPlacement writes a unit's placement, and starts the unit once that is stored.
func (p *Pool) commitPlacement(u *unit, places []*worker) {
	u.run++
	u.state = unitCommitting
	for i, m := range u.members {
		p.assign(m, places[i])
	}
	u.slowness = p.maxSlowness(u)
	run := u.run
	if !u.job.placed {
		u.job.placed = true
		u.job.pendingState = taskgraph.Running
	}
	p.record.LogEvent("placed", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", run, "tasks", len(u.members),
		"waited_ms", p.loop.Now().Sub(u.readyAt).Milliseconds(), "waited_for", string(u.lastWaitReason()), "estimate_ms", u.spec().EstimateMillis,
		"cores", u.spec().Resources.Cores()*float64(len(u.members)), "slack_ms", u.slack(p.loop.Now()).Milliseconds(), "slowness", u.slowness,
		"workers", workerIDs(places))
	p.persistPlacement(u.job)
	p.afterPersist(0, func() {
		switch {
		case u.state != unitCommitting || u.run != run:
		case u.activeMembers() < len(u.members), !p.placementValid(u):
			// A worker was lost before any start was sent, or the write took so long that the
			// placement is no longer valid.
			p.record.Count("start_failures", "place_lost")
			p.unassignAll(u)
			u.state = unitWaiting
			p.persist(u.job)
			p.scheduleCycle()
		default:
			p.startUnit(u)
		}
	}, u.job)
}

// placementValid reports whether a unit may still be started on the workers of its stored
// placement.
func (p *Pool) placementValid(u *unit) bool {
	if !p.canStartWithinLease(p.loop.Now()) || !p.capacitiesFresh() {
		return false
	}
	for _, m := range u.members {
		if !m.worker.fitsMembers(p.loop.Now()) {
			return false
		}
		if !p.options.DisabledSafeguards.ZoneRecheckAtStart && !p.mayStartOn(m.worker, p.loop.Now()) {
			return false
		}
	}
	return true
}

// maxLoggedWorkers bounds the worker names in one log line.
const maxLoggedWorkers = 8

func workerIDs(places []*worker) string {
	var ids []string
	for _, w := range places[:min(len(places), maxLoggedWorkers)] {
		ids = append(ids, w.ID)
	}
	return strings.Join(ids, " ")
}
