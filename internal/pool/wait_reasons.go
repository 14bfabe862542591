package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// waitReason is why a unit could not be placed.
type waitReason string

// Wait reasons. The first one that applies, in the order of findWaitReason, is kept.
const (
	// waitNone: the unit was placed at the first attempt.
	waitNone waitReason = ""
	// waitResources: no usable workers have enough free resources.
	waitResources waitReason = "no room"
	// waitEvacuated: only evacuated zones have enough free resources, or the set of evacuated
	// zones is not fresh.
	waitEvacuated waitReason = "zone evacuated"
	// waitPreemptionBackoff: a unit of higher priority has just preempted others.
	waitPreemptionBackoff waitReason = "pressure"
	// waitReserved: the free resources are reserved for other units.
	waitReserved waitReason = "reserved"
	// waitHeadroom: the free resources are on racks that are kept for more urgent jobs.
	waitHeadroom waitReason = "headroom"
	// waitHealth: the free resources are on workers that may fail the unit's next attempt.
	waitHealth waitReason = "healthy worker"
	// waitIsolation: the unit is suspected of crashing workers, and the workers with enough free
	// resources are not isolated enough for it.
	waitIsolation waitReason = "isolation"
	// waitLocality: free resources don't satisfy the unit's locality.
	waitLocality waitReason = "no near place"
)

// waitReasonPeriod is the minimum time between two updates of a step's wait reason. An update takes
// several searches for a placement, and only logs need the wait reason.
const waitReasonPeriod = 250 * time.Millisecond

// updateWaitReason updates the wait reason of the step of a unit that could not be placed.
func (p *Pool) updateWaitReason(s *snapshot, u *unit, request *placement.Request) {
	if u.step.waitReason != waitNone && s.now.Sub(u.step.waitReasonAt) < waitReasonPeriod {
		return
	}
	u.step.waitReasonAt = s.now
	u.step.waitReason = p.findWaitReason(s, u, request)
}

func (p *Pool) findWaitReason(s *snapshot, u *unit, request *placement.Request) waitReason {
	if placement.Fit(s.workers, s.racks.All, request) == nil {
		if p.healthRequirement(s, u) != health.AnyWorker && placement.Fit(s.workers, s.racks.All, s.request(u)) != nil {
			return waitHealth
		}
		if placement.Fit(p.workersIgnoringEvacuations(s), s.racks.All, request) != nil {
			return waitEvacuated
		}
		return waitResources
	}
	visible := *request
	visible.Limit = s.reservationLimiter(u.estimate())
	if placement.Fit(s.workers, s.racks.All, &visible) == nil {
		return waitReserved
	}
	if u.suspectedOfCrashes() {
		return waitIsolation
	}
	if !p.deferrable(s, u) {
		return waitLocality
	}
	if p.inPreemptionBackoff(s, u) {
		return waitPreemptionBackoff
	}
	visible.Allowed = s.excludeHeadroom(request.Allowed, u.job.Queue.Priority)
	if placement.Fit(s.workers, s.racks.All, &visible) == nil {
		return waitHeadroom
	}
	return waitLocality
}

// workersIgnoringEvacuations returns the snapshot's workers as if no zone were evacuated.
func (p *Pool) workersIgnoringEvacuations(s *snapshot) []placement.Worker {
	if len(p.evacuatedZones().Zones()) == 0 && p.evacuationsFresh(s.now) {
		return s.workers
	}
	workers := slices.Clone(s.workers)
	for i := range workers {
		workers[i].Usable = p.usable(s.poolWorkers[i], s.now)
	}
	return workers
}

// lastWaitReason returns the last wait reason since the unit became ready.
func (u *unit) lastWaitReason() waitReason {
	if u.step.waitReasonAt.Before(u.readyAt) {
		return waitNone
	}
	return u.step.waitReason
}

// unsavedWork returns the work of one member's run that is lost when the run ends, in core-seconds.
func (p *Pool) unsavedWork(u *unit, outcome fleet.EndReason, runTime time.Duration) float64 {
	if outcome == fleet.EndDone {
		return 0
	}
	if u.spec().Checkpoints {
		runTime = min(runTime, p.options.Bounds.CheckpointInterval)
	}
	return u.spec().Resources.Cores() * runTime.Seconds()
}
