package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// onTimeGains holds, by priority, the gain of a unit that meets its objective. The gain is the work
// of other units, in core-seconds, that may be lost for this unit. It is a base plus a share of the
// unit's own work. The last entry holds for all lower priorities too.
var onTimeGains = []struct{ base, perWork float64 }{{600, 6}, {400, 0.5}, {200, 0.1}}

// preemptionCost returns the cost of stopping a unit in core-seconds: the work lost, and the unit's
// gain if the stop makes it miss its objective.
func (p *Pool) preemptionCost(u *unit, now time.Time) float64 {
	lost := now.Sub(u.startedAt)
	restart := u.estimate()
	if u.spec().Checkpoints {
		lost = min(lost, p.options.Bounds.CheckpointInterval)
		restart = p.remaining(u, now)
	}
	loss := u.spec().Resources.Cores() * float64(len(u.members)) * lost.Seconds()
	timeToEnd := u.deadline().Sub(now) - u.job.criticalPaths[u.step.index] + u.estimate()
	if timeToEnd > p.remaining(u, now) && timeToEnd < restart+assumedRequeueWait {
		loss += onTimeGain(u)
	}
	return loss
}

// assumedRequeueWait is the assumed time until a stopped unit runs again.
const assumedRequeueWait = 2 * time.Second

// preemptFor stops the cheapest units so that a unit can start, and reserves their resources
// for it. It returns false if no preemption frees enough resources, or if it costs more than
// the start gains and no guarantee is due.
func (p *Pool) preemptFor(s *snapshot, u *unit, request *placement.Request) bool {
	places, victims, loss := p.choosePreemption(s, u, request)
	if places == nil {
		return false
	}
	if loss > startGain(u, s.now) && !p.guaranteeDue(s, u) {
		return false
	}
	p.preempt(s, u, request, places, victims)
	return true
}

// preempt stops the victims and reserves the workers on which the unit will start.
func (p *Pool) preempt(s *snapshot, u *unit, request *placement.Request, places, victims []int) {
	s.reallocate(victims, places, request.Resources)
	s.presentUtilization = nil
	if len(victims) > 0 {
		u.preemptedAt = s.now
		p.preemptionBackoffPriority = u.job.Queue.Priority
		p.preemptionBackoffUntil = s.now.Add(preemptionBackoff)
	}
	for _, index := range victims {
		p.stopUnit(s.running[index], "preempted")
	}
}

// choosePreemption returns the cheapest preemption on the unit's preferred workers if it costs
// no more than it gains, or else the cheapest one on any workers.
func (p *Pool) choosePreemption(s *snapshot, u *unit, request *placement.Request) (places, victims []int, loss float64) {
	gain := startGain(u, s.now)
	for _, preferred := range p.workerPreferences(s, u) {
		places, victims, loss = cheapestPreemption(s, s.localityGroups(u), restrict(request, preferred))
		if places != nil && loss <= gain {
			return places, victims, loss
		}
	}
	places, victims, loss = cheapestPreemption(s, s.localityGroups(u), request)
	if places != nil {
		return places, victims, loss
	}
	return cheapestPreemption(s, [][]int{s.racks.All}, request)
}

// reallocate reserves the victims' resources at places. The victims keep their other resources
// until they have stopped, so no other unit gets these resources in this cycle.
func (s *snapshot) reallocate(victims, places []int, resources taskgraph.Resources) {
	freeBefore := map[int]taskgraph.Resources{}
	for _, index := range victims {
		for _, i := range s.units[index].Workers {
			if _, seen := freeBefore[i]; !seen {
				freeBefore[i] = s.workers[i].Free
			}
			s.workers[i].Free = s.workers[i].Free.Plus(s.units[index].Resources)
		}
		s.units[index].PreemptionCost = -1
		s.units[index].Workers = nil
	}
	placement.Reserve(s.workers, places, resources)
	for i, free := range freeBefore {
		s.workers[i].Free = s.workers[i].Free.Min(free)
	}
}

// mayPreempt reports whether a unit may preempt others. Units of priority 0 always may; gangs of
// other priorities may while little of their slack is left.
func (p *Pool) mayPreempt(s *snapshot, u *unit) bool {
	if u.job.Queue.Priority == 0 {
		return true
	}
	slack := u.slack(s.now)
	return !p.options.DisabledMechanisms[mechanism.GangPreemption] && len(u.members) > 1 && slack > 0 && slack < time.Duration(preemptionSlackShare*float64(u.job.objective))
}

// guaranteeDue reports whether the tenant's guarantee requires the unit to start now.
func (p *Pool) guaranteeDue(s *snapshot, u *unit) bool {
	if !p.guaranteeTimeUp(u, s.now) {
		return false
	}
	guaranteed, known := s.guaranteed[u.job]
	if !known {
		guaranteed = p.withinGuarantee(u.job)
		s.guaranteed[u.job] = guaranteed
	}
	return guaranteed
}

// guaranteeTimeUp reports whether the unit would have to start now if it is guaranteed.
func (p *Pool) guaranteeTimeUp(u *unit, now time.Time) bool {
	latest := u.job.acceptedAt.Add(p.options.Bounds.GuaranteedStartTimeout - p.options.Bounds.StopTimeout - guaranteeMargin)
	return now.After(latest.Add(-tickInterval))
}

// startGain returns the gain of starting a unit, in core-seconds.
func startGain(u *unit, now time.Time) float64 {
	if u.slack(now) <= 0 {
		return lateStartGain * u.work()
	}
	return onTimeGain(u)
}

// onTimeGain returns the gain of a unit that meets its objective, in core-seconds.
func onTimeGain(u *unit) float64 {
	gain := onTimeGains[min(u.job.Queue.Priority, len(onTimeGains)-1)]
	return gain.base + gain.perWork*u.work()
}

// work returns the unit's estimated work in core-seconds.
func (u *unit) work() float64 {
	spec := u.spec()
	return spec.Resources.Cores() * float64(len(u.members)) * u.estimate().Seconds()
}

func cheapestPreemption(s *snapshot, scopes [][]int, request *placement.Request) (places, victims []int, lowestLoss float64) {
	for _, scope := range scopes {
		foundPlaces, foundVictims, loss := placement.Preempt(s.workers, scope, s.units, request)
		if foundPlaces != nil && (places == nil || loss < lowestLoss) {
			places, victims, lowestLoss = foundPlaces, foundVictims, loss
		}
	}
	return places, victims, lowestLoss
}

// withinGuarantee reports whether the job has priority 0 and the accelerators of all its tenant's
// jobs of priority 0 are within the tenant's guarantee. Without a configuration nobody has one.
func (p *Pool) withinGuarantee(j *job) bool {
	if j.Queue.Priority != 0 {
		return false
	}
	current := p.options.Catalog()
	if current == nil {
		return false
	}
	demand := taskgraph.Resources{}
	for _, other := range p.jobs {
		if other.Tenant == j.Tenant && other.Queue.Priority == 0 && !other.pendingState.Final() {
			for i := range other.Spec.Steps {
				demand = demand.Plus(other.Spec.Steps[i].Resources.Multiply(other.Spec.Steps[i].Count))
			}
		}
	}
	return demand.GPUs <= current.Guarantee(j.Tenant).GPUs
}

// missesObjectiveOn reports whether an urgent unit that can still meet its objective would miss it
// on the given workers because of their speed. Long-running units have no end to be late with, and
// starved units take what there is.
func (p *Pool) missesObjectiveOn(s *snapshot, u *unit, places []int) bool {
	if u.job.Queue.Priority > 0 || u.spec().LongRunning || s.starved(u) || u.likelyPoison() || u.needsEmptyWorkers() {
		return false
	}
	slack, slowest := u.slack(s.now), 1.0
	for _, i := range places {
		slowest = max(slowest, p.slowness(s.poolWorkers[i], s.now))
	}
	return slack > 0 && time.Duration((slowest-1)*float64(u.estimate())) > slack
}

// preemptForFastWorkers preempts units on fast workers for a unit that would miss its objective on
// the free workers. It does so only if the unit can then meet its objective and the gain covers the
// cost.
func (p *Pool) preemptForFastWorkers(s *snapshot, u *unit, request *placement.Request) bool {
	fast := restrict(request, func(i int) bool { return !s.workers[i].Slow && !p.workerStates(s)[i].Suspected })
	places, victims, loss := cheapestPreemption(s, s.localityGroups(u), fast)
	if places == nil || loss > onTimeGain(u) || loss > 0 && u.slack(s.now) < p.options.Bounds.StopTimeout {
		return false
	}
	p.record.Count("preemptions", "speed")
	p.preempt(s, u, request, places, victims)
	return true
}
