package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// findPlacement returns workers with free resources for a unit, or nil.
func (p *Pool) findPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	if s.overdue(u) && !u.runsAlone() {
		return p.findAnyPlacement(s, u, request)
	}
	visible := *request
	visible.Limit = s.unreserved(u.estimate())
	if p.patient(s, u) {
		if p.underPressure(s, u) {
			return nil
		}
		if places := p.findUnexplored(s, u, &visible); places != nil {
			return places
		}
		if !p.options.Off[mechanism.Headroom] {
			visible.Allowed = s.outsideHeadroom(request.Allowed, u.job.Queue.Priority)
		}
	}
	if u.doubtful() {
		return p.findTrialPlace(s, u, &visible)
	}
	for _, preferred := range p.preferences(s, u) {
		if places := p.fitByScope(s, u, narrowed(&visible, preferred), &visible); places != nil {
			return places
		}
	}
	return p.fitByScope(s, u, &visible, &visible)
}

// fitByScope prefers workers that satisfy the unit's locality, and takes any once the unit has
// waited long enough for it. It places within visible; all decides whether waiting can help.
func (p *Pool) fitByScope(s *snapshot, u *unit, visible, all *placement.Request) []int {
	spec := u.spec()
	if rack := spec.PreferredRack; rack != "" {
		if places := placement.Fit(s.workers, s.racks.Members[rack], visible); places != nil {
			return places
		}
	}
	if spec.SameRack && len(u.members) > 1 && spec.PreferredRack == "" {
		if places := placement.FitOneRack(s.workers, s.racks, visible); places != nil {
			return places
		}
	}
	if p.bound(s, u, all) {
		return nil
	}
	if len(u.members) > 1 && spec.Gang {
		if places := placement.FitOneRack(s.workers, s.racks, visible); places != nil {
			return places
		}
	}
	return placement.Fit(s.workers, s.racks.All, visible)
}

// findAnyPlacement returns workers with free resources, ignoring reservations and headroom.
func (p *Pool) findAnyPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	for _, scope := range s.scopes(u) {
		if places := placement.Fit(s.workers, scope, request); places != nil {
			return places
		}
	}
	if places := placement.FitOneRack(s.workers, s.racks, request); places != nil {
		return places
	}
	return placement.Fit(s.workers, s.racks.All, request)
}

// overdue reports whether a unit has waited too long while much of the pool is free. It is
// then placed anywhere, to prevent starvation.
func (s *snapshot) overdue(u *unit) bool {
	return s.usage < idleUsage && s.now.Sub(u.readyAt) > idlePatience
}

// bound reports whether a unit still waits for locality. It waits no longer than the extra
// time that a remote run takes.
func (p *Pool) bound(s *snapshot, u *unit, request *placement.Request) bool {
	if p.options.Off[mechanism.NearPlaces] || !s.hasNearPlace(u, request) {
		return false
	}
	maxWait := (p.options.Bounds.RemoteFactor - 1) * float64(u.estimate())
	return s.now.Sub(u.readyAt) < time.Duration(maxWait)
}

// hasNearPlace reports whether the unit's locality could be satisfied by workers whose
// capacity suffices, whatever they run now.
func (s *snapshot) hasNearPlace(u *unit, request *placement.Request) bool {
	spec := u.spec()
	if members := s.racks.Members[spec.PreferredRack]; spec.PreferredRack != "" && len(members) > 0 {
		return placement.Holds(s.workers, members, request)
	}
	if !spec.SameRack || len(u.members) < 2 {
		return false
	}
	for _, name := range s.racks.Names {
		if placement.Holds(s.workers, s.racks.Members[name], request) {
			return true
		}
	}
	return false
}

// patient reports whether a unit has enough slack to leave the emptiest racks to urgent jobs.
func (p *Pool) patient(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority > 0 && u.spec().PreferredRack == "" &&
		u.slack(s.now) > time.Duration(patientShare*float64(u.job.objective))
}

// underPressure reports whether a deferrable unit waits because a unit of higher priority has
// just preempted others.
func (p *Pool) underPressure(s *snapshot, u *unit) bool {
	return !p.options.Off[mechanism.Pressure] && u.job.Queue.Priority > p.pressurePriority && s.now.Before(p.pressureUntil)
}

// outsideHeadroom restricts allowed to workers outside the headroom of a priority.
func (s *snapshot) outsideHeadroom(allowed func(int) bool, priority int) func(int) bool {
	excluded := s.headroom(min(priority, len(headroomShares)-1))
	return func(i int) bool { return !excluded[i] && (allowed == nil || allowed(i)) }
}

// headroom marks the workers of the emptiest racks, which deferrable units of a priority don't
// use. The lower the priority, the more racks these are.
func (s *snapshot) headroom(priority int) []bool {
	if excluded := s.headrooms[priority]; excluded != nil {
		return excluded
	}
	excluded := make([]bool, len(s.workers))
	count := int(math.Ceil(headroomShares[priority] * float64(len(s.racks.Names))))
	if count < len(s.racks.Names) {
		for _, name := range s.racks.Emptiest(s.workers)[:count] {
			for _, i := range s.racks.Members[name] {
				excluded[i] = true
			}
		}
	}
	s.headrooms[priority] = excluded
	return excluded
}

// unreserved returns a limit that hides reserved resources from units whose estimate exceeds
// the time until the reservation starts; nil if nothing is reserved.
func (s *snapshot) unreserved(estimate time.Duration) func(int, taskgraph.Amount) taskgraph.Amount {
	if len(s.reserved) == 0 {
		return nil
	}
	return func(i int, free taskgraph.Amount) taskgraph.Amount {
		reserved, found := s.reserved[i]
		if !found || estimate <= reserved.after {
			return free
		}
		return free.Least(reserved.spare)
	}
}

// scopes returns the groups of workers of which one should hold the whole unit.
func (s *snapshot) scopes(u *unit) [][]int {
	spec := u.spec()
	if members := s.racks.Members[spec.PreferredRack]; spec.PreferredRack != "" && len(members) > 0 {
		return [][]int{members}
	}
	if spec.SameRack && len(u.members) > 1 {
		groups := make([][]int, 0, len(s.racks.Names))
		for _, name := range s.racks.Names {
			groups = append(groups, s.racks.Members[name])
		}
		return groups
	}
	return [][]int{s.racks.All}
}

// earliest returns the earliest future placement of a unit; nil if there is none, or if the
// cycle has no reservations left and the unit's priority is not 0.
func (s *snapshot) earliest(u *unit, request *placement.Request) *placement.Promise {
	if s.reservations == 0 && u.job.Queue.Priority > 0 {
		return nil
	}
	var best *placement.Promise
	limit := time.Duration(math.MaxInt64)
	for _, scope := range s.scopes(u) {
		if found := placement.EarliestFit(s.workers, scope, s.units, request, limit); found != nil {
			best = found
			limit = found.After
		}
	}
	return best
}

// reserveFor reserves the resources of a future placement for a unit.
func (s *snapshot) reserveFor(u *unit, request *placement.Request, promise *placement.Promise) {
	if promise == nil {
		return
	}
	if u.job.Queue.Priority > 0 {
		s.reservations--
	}
	for i, spare := range promise.Spare {
		existing, found := s.reserved[i]
		if found {
			spare = spare.Least(existing.spare)
		}
		if !found || promise.After < existing.after {
			existing.after = promise.After
		}
		s.reserved[i] = reservation{after: existing.after, spare: spare}
	}
}
