package pool

import (
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Minimum time between two cycles while unplaced units remain: minCyclePause, and at least
// cyclePauseRatio times the duration of the last cycle. This leaves three quarters of the processor
// to run ends, commands and pings when many units wait in a large pool.
const (
	minCyclePause   = 10 * time.Millisecond
	cyclePauseRatio = 3
)

// minPauseAfter returns the minimum pause after a cycle of the given duration that left units
// unplaced.
func minPauseAfter(cycleDuration time.Duration) time.Duration {
	return max(minCyclePause, cyclePauseRatio*cycleDuration)
}

// scheduleCycle schedules a scheduling cycle unless one is scheduled already.
func (p *Pool) scheduleCycle() {
	if p.cycleScheduled || !p.loaded || p.closed || p.releasing {
		return
	}
	p.cycleScheduled = true
	pause := p.lastCycleEnd.Add(minPauseAfter(p.lastCycleDuration)).Sub(p.loop.Now())
	if !p.hasBacklog || pause <= 0 {
		p.loop.Post(p.runCycle)
		return
	}
	p.loop.After(pause, p.runCycle)
}

func (p *Pool) runCycle() {
	p.cycleScheduled = false
	if !p.closed && !p.releasing {
		p.runSchedulingCycle()
	}
}

// runSchedulingCycle places waiting units in the order of cycleOrder.
func (p *Pool) runSchedulingCycle() {
	startedAt := p.loop.Now()
	waiting := p.waitingUnits()
	p.hasBacklog = false
	if len(waiting) == 0 || !p.capacitiesFresh() {
		return
	}
	s := p.snapshot()
	p.updateUnderusedSince(s)
	order := p.cycleOrder(waiting, s.now)
	unplaceable := map[equivalenceClass]bool{}
	budgets := p.newRowBudgets()
	for u := order.next(); u != nil; u = order.next() {
		if u.state != unitWaiting || p.failPoisonJob(u) {
			continue
		}
		class := p.classOf(s, u)
		if unplaceable[class] || !budgets.allow(u) {
			p.hasBacklog = true
			order.skipped()
			continue
		}
		runBefore := u.run
		result := p.placeUnit(s, u)
		order.tried(result)
		if result == unitPlaced {
			budgets.placed(u, runBefore)
			continue
		}
		p.hasBacklog = true
		if u.failures == 0 && !u.suspectedOfCrashes() {
			unplaceable[class] = true
		}
	}
	p.lastCycleEnd = p.loop.Now()
	p.lastCycleDuration = p.lastCycleEnd.Sub(startedAt)
	p.record.Observe("cycle", p.lastCycleDuration)
}

// openUnits yields the units of jobs that have not ended, in unspecified order.
func (p *Pool) openUnits() iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		for _, j := range p.jobs {
			if j.pendingState.Final() {
				continue
			}
			for _, t := range j.repetitions.open {
				for _, s := range t.steps {
					for _, u := range s.units {
						if !yield(u) {
							return
						}
					}
				}
			}
		}
	}
}

// waitingUnits returns the units that wait for a placement, in the order of compareUnits.
func (p *Pool) waitingUnits() []*unit {
	var waiting []*unit
	for u := range p.openUnits() {
		if u.state == unitWaiting {
			waiting = append(waiting, u)
		}
	}
	now := p.loop.Now()
	timelyFirst := !p.options.DisabledMechanisms[mechanism.OnTimeFirst]
	slices.SortFunc(waiting, func(a, b *unit) int { return compareUnits(a, b, now, timelyFirst) })
	return waiting
}

// compareUnits orders units by priority. Within a priority, units that can still meet their
// objective come before units that cannot. Units that are equal so far are ordered by the job's
// time of acceptance.
func compareUnits(a, b *unit, now time.Time, timelyFirst bool) int {
	if a.job.Queue.Priority != b.job.Queue.Priority {
		return a.job.Queue.Priority - b.job.Queue.Priority
	}
	if late := a.missesObjective(now); timelyFirst && late != b.missesObjective(now) {
		if late {
			return 1
		}
		return -1
	}
	if order := a.job.acceptedAt.Compare(b.job.acceptedAt); order != 0 {
		return order
	}
	if order := strings.Compare(a.job.id, b.job.id); order != 0 {
		return order
	}
	if a.repetition.number != b.repetition.number {
		return a.repetition.number - b.repetition.number
	}
	if a.step.index != b.step.index {
		return a.step.index - b.step.index
	}
	return a.index - b.index
}

// missesObjective reports whether a unit can no longer meet its objective; false for priority 0.
func (u *unit) missesObjective(now time.Time) bool {
	return u.job.Queue.Priority > 0 && u.slack(now) < 0
}

// placeResult is what a cycle did for a unit.
type placeResult int

const (
	// unitNotPlaced: the unit got nothing.
	unitNotPlaced placeResult = iota
	// unitReserved: resources are reserved for the unit, or others were preempted for it.
	unitReserved
	// unitPlaced: the unit is assigned to workers.
	unitPlaced
)

// placeUnit assigns a unit to workers. If no workers are free, placeUnit preempts other units or
// reserves resources for the unit.
func (p *Pool) placeUnit(s *snapshot, u *unit) placeResult {
	request := p.healthyRequest(s, u)
	if places := p.findPlacement(s, u, request); places != nil {
		if p.missesObjectiveOn(s, u, places) && p.preemptForFastWorkers(s, u, request) {
			return unitReserved
		}
		p.assignTo(s, u, request, places)
		return unitPlaced
	}
	p.updateWaitReason(s, u, request)
	if u.needsEmptyWorkers() {
		return s.reserveEmptyWorkers(u, request)
	}
	if !u.likelyPoison() && p.mayPreempt(s, u) && !p.waitsForHealth(s, u) && p.preemptFor(s, u, request) {
		return unitReserved
	}
	if p.options.DisabledMechanisms[mechanism.Reservations] {
		return unitNotPlaced
	}
	return s.reserve(u, request, s.earliestPlacement(u, request))
}

func (p *Pool) assignTo(s *snapshot, u *unit, request *placement.Request, places []int) {
	placement.Reserve(s.workers, places, request.Resources)
	s.presentUtilization = nil
	workers := make([]*worker, len(places))
	for i, place := range places {
		workers[i] = s.poolWorkers[place]
	}
	p.countHealthDecision(s, u, places)
	p.commitPlacement(u, workers)
	p.updateWorkerHealth(s, places)
	if u.isolated() {
		s.isolateWorkers(places)
	}
	p.excludeFullReports(s, places)
}
