package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// waitReason is why a unit could not be placed.
type waitReason string

// Wait reasons. The first one that applies, in the order of findWaitReason, is kept.
const (
	// waitNothing: the unit was placed at the first attempt.
	waitNothing waitReason = ""
	// waitRoom: no usable workers have enough free resources.
	waitRoom waitReason = "no room"
	// waitEvacuated: only evacuated zones have enough free resources, or the set of evacuated
	// zones is not fresh.
	waitEvacuated waitReason = "zone evacuated"
	// waitPreemptionBackoff: a unit of higher priority has just preempted others.
	waitPreemptionBackoff waitReason = "pressure"
	// waitReserved: the free resources are reserved for other units.
	waitReserved waitReason = "reserved"
	// waitHeadroom: the free resources are on racks that are kept for more urgent jobs.
	waitHeadroom waitReason = "headroom"
	// waitLocality: free resources don't satisfy the unit's locality.
	waitLocality waitReason = "no near place"
)

// waitLookPeriod is the minimum time between two updates of a step's wait reason. It takes
// several searches for a placement, and only logs need it.
const waitLookPeriod = 250 * time.Millisecond

// noteWait updates the wait reason of the step of a unit that could not be placed.
func (p *Pool) noteWait(s *snapshot, u *unit, request *placement.Request) {
	if u.step.waitsFor != waitNothing && s.now.Sub(u.step.waitSeenAt) < waitLookPeriod {
		return
	}
	u.step.waitSeenAt = s.now
	u.step.waitsFor = p.findWaitReason(s, u, request)
}

func (p *Pool) findWaitReason(s *snapshot, u *unit, request *placement.Request) waitReason {
	if placement.Fit(s.workers, s.racks.All, request) == nil {
		if placement.Fit(p.withoutEvacuations(s), s.racks.All, request) != nil {
			return waitEvacuated
		}
		return waitRoom
	}
	visible := *request
	visible.Limit = s.reservationLimiter(u.estimate())
	if placement.Fit(s.workers, s.racks.All, &visible) == nil {
		return waitReserved
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

// withoutEvacuations returns the snapshot's workers as if no zone were evacuated.
func (p *Pool) withoutEvacuations(s *snapshot) []placement.Worker {
	if len(p.evacuated().Zones()) == 0 && p.evacuationsKnown(s.now) {
		return s.workers
	}
	workers := slices.Clone(s.workers)
	for i := range workers {
		workers[i].Usable = p.usable(s.poolWorkers[i], s.now)
	}
	return workers
}

// waitedFor returns the last wait reason since the unit became ready.
func (u *unit) waitedFor() waitReason {
	if u.step.waitSeenAt.Before(u.readyAt) {
		return waitNothing
	}
	return u.step.waitsFor
}

// unsavedWork returns the work of one member's run that its end loses, in core-seconds.
func (p *Pool) unsavedWork(u *unit, outcome fleet.How, runTime time.Duration) float64 {
	if outcome == fleet.Done {
		return 0
	}
	if u.spec().Checkpoints {
		runTime = min(runTime, p.options.Bounds.CheckpointInterval)
	}
	return u.spec().Amount.Cores() * runTime.Seconds()
}
