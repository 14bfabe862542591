package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// waitReason says what keeps a unit from a place.
type waitReason string

// The reasons, the first that holds.
const (
	// waitNothing: the unit was placed at its first look.
	waitNothing waitReason = ""
	// waitRoom: no group of workers has enough free room.
	waitRoom waitReason = "no room"
	// waitEvacuated: there is free room in evacuated zones only, or it is not known from lately
	// which zones are evacuated.
	waitEvacuated waitReason = "zone evacuated"
	// waitPressure: others were just stopped for want of room.
	waitPressure waitReason = "pressure"
	// waitReserved: the free room is kept for units that waited before.
	waitReserved waitReason = "reserved"
	// waitHeadroom: the free room is on racks that are left to more urgent jobs.
	waitHeadroom waitReason = "headroom"
	// waitNear: there is free room, but not where the unit runs at full speed.
	waitNear waitReason = "no near place"
)

// waitLookPeriod is how often the reason of a step's wait is looked up. Telling it
// takes a few more searches for room, and only log lines depend on it.
const waitLookPeriod = 250 * time.Millisecond

// noteWait keeps what a unit that found no place waits for.
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
	visible.Limit = s.unreserved(u.estimate())
	if placement.Fit(s.workers, s.racks.All, &visible) == nil {
		return waitReserved
	}
	if !p.patient(s, u) {
		return waitNear
	}
	if p.underPressure(s, u) {
		return waitPressure
	}
	visible.Allowed = s.outsideHeadroom(request.Allowed, u.job.Queue.Priority)
	if placement.Fit(s.workers, s.racks.All, &visible) == nil {
		return waitHeadroom
	}
	return waitNear
}

// withoutEvacuations returns the workers as they would be if no zone was evacuated.
func (p *Pool) withoutEvacuations(s *snapshot) []placement.Worker {
	if len(p.evacuated().Zones()) == 0 && p.evacuationsKnown(s.now) {
		return s.workers
	}
	open := slices.Clone(s.workers)
	for i := range open {
		open[i].Usable = p.usable(s.owners[i], s.now)
	}
	return open
}

// waitedFor returns what the unit last waited for since it became ready.
func (u *unit) waitedFor() waitReason {
	if u.step.waitSeenAt.Before(u.readyAt) {
		return waitNothing
	}
	return u.step.waitsFor
}

// unsavedWork returns, in core-seconds, what of one member's run is lost by its end.
func (p *Pool) unsavedWork(u *unit, how fleet.How, ran time.Duration) float64 {
	if how == fleet.Done {
		return 0
	}
	if u.spec().Checkpoints {
		ran = min(ran, p.options.Bounds.CheckpointInterval)
	}
	return u.spec().Amount.Cores() * ran.Seconds()
}
