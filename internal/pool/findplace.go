package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// findPlace looks for room that is free now.
func (p *Pool) findPlace(s *snapshot, u *unit, request *placement.Request) []int {
	if s.overdue(u) && !u.runsAlone() {
		return p.findAnyPlace(s, u, request)
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

// fitByScope places a unit where it runs at full speed, or anywhere once it has waited
// for that. Whether it waits goes by all workers that it may take, of which visible are
// those that it should.
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

// findAnyPlace looks for room that is free now, whoever else might want it.
func (p *Pool) findAnyPlace(s *snapshot, u *unit, request *placement.Request) []int {
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

// overdue reports whether a unit has waited for long while much of the pool is free:
// then nothing is worth keeping it back.
func (s *snapshot) overdue(u *unit) bool {
	return s.usage < idleUsage && s.now.Sub(u.readyAt) > idlePatience
}

// bound reports whether a unit still waits for a place where it runs at full speed:
// for as long as it would lose by running elsewhere.
func (p *Pool) bound(s *snapshot, u *unit, request *placement.Request) bool {
	if p.options.Off[mechanism.NearPlaces] || !s.hasNearPlace(u, request) {
		return false
	}
	patience := (p.options.Bounds.RemoteFactor - 1) * float64(u.estimate())
	return s.now.Sub(u.readyAt) < time.Duration(patience)
}

// hasNearPlace reports whether there are workers that could hold the unit and on which
// it runs faster than elsewhere.
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

// patient reports whether a unit can leave the emptiest racks to urgent jobs.
func (p *Pool) patient(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority > 0 && u.spec().PreferredRack == "" &&
		u.slack(s.now) > time.Duration(patientShare*float64(u.job.objective))
}

// underPressure reports whether a patient unit waits because others of a higher
// priority were just stopped for want of room.
func (p *Pool) underPressure(s *snapshot, u *unit) bool {
	return !p.options.Off[mechanism.Pressure] && u.job.Queue.Priority > p.pressurePriority && s.now.Before(p.pressureUntil)
}

// outsideHeadroom narrows allowed to racks other than the emptiest, of which the
// more are left out the less urgent the priority.
func (s *snapshot) outsideHeadroom(allowed func(int) bool, priority int) func(int) bool {
	hidden := s.headroom(min(priority, len(headroomShares)-1))
	return func(i int) bool { return !hidden[i] && (allowed == nil || allowed(i)) }
}

// headroom marks the workers on racks that patient units of a priority leave to others.
func (s *snapshot) headroom(priority int) []bool {
	if hidden := s.headrooms[priority]; hidden != nil {
		return hidden
	}
	hidden := make([]bool, len(s.workers))
	count := int(math.Ceil(headroomShares[priority] * float64(len(s.racks.Names))))
	if count < len(s.racks.Names) {
		for _, name := range s.racks.Emptiest(s.workers)[:count] {
			for _, i := range s.racks.Members[name] {
				hidden[i] = true
			}
		}
	}
	s.headrooms[priority] = hidden
	return hidden
}

// unreserved returns a limit that hides reserved room from units that would not be
// gone in time; nil if nothing is reserved.
func (s *snapshot) unreserved(estimate time.Duration) func(int, taskgraph.Amount) taskgraph.Amount {
	if len(s.reserved) == 0 {
		return nil
	}
	return func(i int, free taskgraph.Amount) taskgraph.Amount {
		reserved, any := s.reserved[i]
		if !any || estimate <= reserved.after {
			return free
		}
		return free.Least(reserved.spare)
	}
}

// scopes lists the groups of workers in which a unit should stand, best first.
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

// earliest returns where the unit fits first if it waits, or nil.
func (s *snapshot) earliest(u *unit, request *placement.Request) *placement.Promise {
	if s.reservations == 0 && u.job.Queue.Priority > 0 {
		return nil
	}
	var best *placement.Promise
	limit := time.Duration(math.MaxInt64)
	for _, scope := range s.scopes(u) {
		if promise := placement.EarliestFit(s.workers, scope, s.units, request, limit); promise != nil {
			best = promise
			limit = promise.After
		}
	}
	return best
}

// reserveFor keeps the room where a unit fits first from units that would be in
// its way.
func (s *snapshot) reserveFor(u *unit, request *placement.Request, promise *placement.Promise) {
	if promise == nil {
		return
	}
	if u.job.Queue.Priority > 0 {
		s.reservations--
	}
	for i, spare := range promise.Spare {
		known, any := s.reserved[i]
		if any {
			spare = spare.Least(known.spare)
		}
		if !any || promise.After < known.after {
			known.after = promise.After
		}
		s.reserved[i] = reservation{after: known.after, spare: spare}
	}
}
