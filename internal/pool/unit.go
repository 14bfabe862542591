package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// memberEnded releases a member's resources. If the member is not done, memberEnded stops the other
// members of its gang. Once no member is active, the unit is requeued.
func (p *Pool) memberEnded(m *member, outcome fleet.EndReason) {
	u := m.unit
	p.unassign(m)
	p.endRepetition(u.job, u.repetition)
	p.scheduleCycle()
	if u.state == unitActive && outcome != fleet.EndDone && u.activeMembers() > 0 {
		p.stopUnit(u, "member "+string(outcome))
		return
	}
	p.requeueIfIdle(u)
}

// requeueIfIdle requeues a unit that has no active members, or ends it if its job has ended.
func (p *Pool) requeueIfIdle(u *unit) {
	if u.activeMembers() > 0 || (u.state != unitActive && u.state != unitStopping) {
		return
	}
	if u.job.pendingState.Final() {
		u.state = unitEnded
		return
	}
	u.state = unitWaiting
	u.readyAt = p.loop.Now()
	p.persistEnd(u.job)
	p.scheduleCycle()
}

// completeUnit marks a unit as ended after its work is done, and updates speeds and durations from
// its run.
func (p *Pool) completeUnit(u *unit) {
	if u.state == unitEnded || u.job.pendingState.Final() {
		return
	}
	if u.spec().LongRunning {
		return
	}
	p.updateSpeedsFromGang(u)
	p.updateSpeedFromEndedTask(u)
	p.updateDurationModel(u)
	p.endUnit(u)
}

// completeByEarlierRun marks a unit as ended after an earlier run of it is known to be done, and stops its
// present run.
func (p *Pool) completeByEarlierRun(u *unit) {
	if u.state == unitEnded || u.job.pendingState.Final() || u.spec().LongRunning {
		return
	}
	p.record.Count("attempts", "done_earlier")
	p.record.LogEvent("earlier run done", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", u.run)
	if u.state == unitCommitting {
		p.unassignAll(u)
	}
	for _, m := range u.members {
		p.sendStop(m)
	}
	p.endUnit(u)
}

// endUnit marks a unit as ended. The last unit of a step or job also completes the step or job.
func (p *Pool) endUnit(u *unit) {
	u.state = unitEnded
	s := u.step
	s.ended++
	j := u.job
	if s.ended == len(s.units) {
		s.complete = true
		u.repetition.ended++
		u.repetition.createReadyUnits(j, p.loop.Now())
		p.endRepetition(j, u.repetition)
		p.completeJobIfDone(j)
	}
	p.persistEnd(j)
}

func (p *Pool) completeJobIfDone(j *job) {
	if j.repetitions.begun < j.Spec.RepetitionCount() {
		return
	}
	for _, t := range j.repetitions.open {
		if !t.complete() {
			return
		}
	}
	p.finishJob(j, taskgraph.Completed)
}

// runsIndefinitely reports whether the unit occupies its workers without an expected end.
func (u *unit) runsIndefinitely() bool {
	return u.spec().LongRunning && (u.state == unitCommitting || u.state == unitActive)
}

// remaining returns the estimated time until a running unit ends. Long-running units never do.
func (p *Pool) remaining(u *unit, now time.Time) time.Duration {
	if u.spec().LongRunning {
		return placement.NeverEnds
	}
	estimate := u.estimate()
	elapsed := now.Sub(u.startedAt)
	m := u.members[0]
	if m.percent > 0 && m.percent < 100 && !m.percentChangedAt.IsZero() {
		done := float64(m.percent) / 100
		since := m.percentChangedAt.Sub(u.startedAt)
		total := time.Duration(float64(since) / done)
		if u.checkpoint == "" {
			return max(0, total-elapsed)
		}
		return max(0, time.Duration(float64(estimate)*(1-done))-now.Sub(m.percentChangedAt))
	}
	return max(estimate/10, estimate-elapsed)
}
