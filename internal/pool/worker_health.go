package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Placement of attempts while workers fail their runs. Package health decides what an attempt
// requires of its workers and which workers are trusted.

// avoidsFailingWorkers reports whether failing workers are avoided at all.
func (p *Pool) avoidsFailingWorkers() bool {
	return !p.options.DisabledMechanisms[mechanism.FailedWorkerAvoidance]
}

// knowsHealth reports whether anything is known of the workers' health that placements consider.
func (p *Pool) knowsHealth() bool { return p.avoidsFailingWorkers() && !p.health.Empty() }

// cautious reports whether there is evidence of failing workers that placements consider.
func (p *Pool) cautious(now time.Time) bool { return p.avoidsFailingWorkers() && p.health.Active(now) }

// healthyRequest returns the placement request of a unit, restricted to the workers that may be
// given an attempt of the unit.
func (p *Pool) healthyRequest(s *snapshot, u *unit) *placement.Request {
	request := s.request(u)
	requirement := p.healthRequirement(s, u)
	if requirement == health.AnyWorker {
		return request
	}
	states := p.workerStates(s)
	return restrict(request, func(i int) bool { return requirement.Admits(states[i]) })
}

// healthRequirement returns what a unit requires of its workers' health.
func (p *Pool) healthRequirement(s *snapshot, u *unit) health.Requirement {
	cautious := p.cautious(s.now)
	if !p.avoidsFailingWorkers() || !cautious && p.health.SuspectedWorkers(s.now) == 0 {
		return health.AnyWorker
	}
	attempt := health.Attempt{
		Last: cautious && u.lastAttempt(), Spare: u.spareAttempt(), Members: len(u.members), FailingShare: p.health.FailingShare(s.now),
		Slack: u.slack(s.now), Waited: s.now.Sub(u.readyAt), Starved: s.starved(u),
		Urgent: u.job.Queue.Priority == 0,
	}
	if attempt.Last && attempt.Starved {
		starvedFor := p.starvedFor(s, u)
		attempt.Starved, attempt.Overdue = starvedFor > starvationTimeout, starvedFor > overdueTimeout
		attempt.ProofExpected = p.proofExpected(s)
	}
	if requirement := attempt.Requirement(); requirement == health.AnyWorker || !p.guaranteeDue(s, u) {
		return requirement
	}
	return health.AnyWorker
}

// waitsForHealth reports whether a unit with attempts to spare, which could not be placed, could be
// placed at once if the health of workers were ignored. No other unit is preempted for it meanwhile.
func (p *Pool) waitsForHealth(s *snapshot, u *unit) bool {
	if !u.spareAttempt() || p.healthRequirement(s, u) == health.AnyWorker {
		return false
	}
	return p.findPlacement(s, u, s.request(u)) != nil
}

// overdueTimeout is how long a last attempt may wait while much of the pool is free. It leaves half
// a second of the three that the platform allows for the write and the start.
const overdueTimeout = 2500 * time.Millisecond

// starvedFor returns how long a unit has waited while much of the pool was free. It returns 0 once
// the placements of this cycle have used the pool.
func (p *Pool) starvedFor(s *snapshot, u *unit) time.Duration {
	if p.underusedSince.IsZero() || s.utilizationNow() >= idleUtilization {
		return 0
	}
	return min(s.now.Sub(u.readyAt), s.now.Sub(p.underusedSince))
}

// utilizationNow returns the utilization of the pool's most used resource with the placements of this
// cycle.
func (s *snapshot) utilizationNow() float64 {
	if s.presentUtilization == nil {
		utilization := s.measureUtilization()
		s.presentUtilization = &utilization
	}
	return *s.presentUtilization
}

// proofExpected reports whether a run has just started on a worker that is neither proven nor a
// suspect, so that the worker may soon be proven.
func (p *Pool) proofExpected(s *snapshot) bool {
	if s.proofExpected == nil {
		expected := slices.ContainsFunc(p.workerStates(s), func(state health.WorkerState) bool {
			return state.OnTrial && !state.Proven && !state.Suspected
		})
		s.proofExpected = &expected
	}
	return *s.proofExpected
}

// updateUnderusedSince updates since when much of the pool is free.
func (p *Pool) updateUnderusedSince(s *snapshot) {
	switch {
	case s.utilization >= idleUtilization:
		p.underusedSince = time.Time{}
	case p.underusedSince.IsZero():
		p.underusedSince = s.now
	}
}

// workerStates returns the health of the snapshot's workers. All are trusted if there is no evidence,
// or if failing workers are not avoided.
func (p *Pool) workerStates(s *snapshot) []health.WorkerState {
	if s.workerHealth == nil {
		s.workerHealth = make([]health.WorkerState, len(s.workers))
		for i := range s.workerHealth {
			s.workerHealth[i] = p.workerState(s.poolWorkers[i], s.now)
		}
	}
	return s.workerHealth
}

// updateWorkerHealth updates the health of workers that were given new runs.
func (p *Pool) updateWorkerHealth(s *snapshot, places []int) {
	if s.workerHealth == nil {
		return
	}
	s.proofExpected = nil
	for _, i := range places {
		s.workerHealth[i] = p.workerState(s.poolWorkers[i], s.now)
	}
}

// workerState returns the health of a worker.
func (p *Pool) workerState(w *worker, now time.Time) health.WorkerState {
	if !p.knowsHealth() {
		return health.WorkerState{Trusted: true}
	}
	state := p.health.WorkerState(w.machine(), now)
	for _, m := range w.members {
		if m.unit.state == unitCommitting || m.unit.state == unitActive && health.IsTrial(m.unit.startedAt, now) {
			state.OnTrial = true
			if m.unit.lastAttempt() {
				state.PendingLastAttempts++
			}
		}
	}
	return state
}

// workerPreferences returns the preferred workers of a unit, the narrowest choice first. A gang is
// as slow as its slowest member and fails if any member fails. A unit that has failed before should
// not lose another attempt to a failing worker.
func (p *Pool) workerPreferences(s *snapshot, u *unit) []func(i int) bool {
	var states []health.WorkerState
	if p.knowsHealth() {
		states = p.workerStates(s)
	}
	notFailing := func(i int) bool { return states == nil || !states[i].Suspected }
	fast := func(i int) bool { return notFailing(i) && !s.workers[i].Slow }
	measuredFast := func(i int) bool { return fast(i) && p.speedKnown(s.poolWorkers[i]) }
	trusted := func(i int) bool { return states[i].Trusted }
	proven := func(i int) bool { return states[i].Proven }
	trustedFast := func(i int) bool { return fast(i) && trusted(i) }
	gang := u.spec().Gang && len(u.members) > 1
	cautious := p.cautious(s.now)
	switch {
	case cautious && u.lastAttempt():
		return []func(int) bool{proven, trusted, notFailing}
	case p.riskyOnSlowWorkers(s, u) && p.shouldExplore(s.now):
		return []func(int) bool{measuredFast, fast, notFailing}
	case cautious && gang:
		return []func(int) bool{trustedFast, trusted, fast, notFailing}
	case cautious:
		return []func(int) bool{trusted, notFailing}
	case gang:
		return []func(int) bool{fast, notFailing}
	case u.failures > 0:
		return []func(int) bool{notFailing}
	}
	return nil
}

// mostPendingLastAttempts returns the highest number of pending last attempts on one worker.
func mostPendingLastAttempts(states []health.WorkerState) int {
	most := 0
	for i := range states {
		most = max(most, states[i].PendingLastAttempts)
	}
	return most
}

// countHealthDecision counts placements that the workers' health has decided.
func (p *Pool) countHealthDecision(s *snapshot, u *unit, places []int) {
	if !p.knowsHealth() {
		return
	}
	if u.lastWaitReason() == waitHealth {
		p.record.Count("attempts", "held")
	}
	for _, place := range places {
		switch state := p.workerStates(s)[place]; {
		case u.lastAttempt() && !state.Proven && p.cautious(s.now):
			p.record.Count("attempts", "last_attempt_unproven")
			return
		case state.Suspected:
			p.record.Count("attempts", "suspect_tried")
			return
		}
	}
}

// lastAttempt reports whether one more failure ends the unit's job, after an earlier one.
func (u *unit) lastAttempt() bool { return u.failures > 0 && !u.spareAttempt() }

// spareAttempt reports whether the unit's job survives one more failure of the unit.
func (u *unit) spareAttempt() bool {
	return u.spec().LongRunning || u.failures < u.job.Queue.MaxAttempts-1
}
