package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
)

// findPlace looks for room that is free now.
func (p *Pool) findPlace(s *snapshot, u *unit, request *placement.Request) []int {
	if s.overdue(u) {
		return p.findAnyPlace(s, u, request)
	}
	spec := u.spec()
	visible := s.visibleTo(spec.Estimate())
	if p.patient(s, u) {
		if u.job.Queue.Priority > p.pressurePriority && s.now.Before(p.pressureUntil) {
			return nil
		}
		visible = s.withoutHeadroom(visible, u.job.Queue.Priority)
	}
	if rack := spec.PreferredRack; rack != "" {
		if places := placement.Fit(visible, s.racks.Members[rack], request); places != nil {
			return places
		}
	}
	if spec.SameRack && len(u.members) > 1 && spec.PreferredRack == "" {
		if places := placement.FitOneRack(visible, s.racks, request); places != nil {
			return places
		}
	}
	if p.bound(s, u) {
		return nil
	}
	if len(u.members) > 1 && spec.Gang {
		if places := placement.FitOneRack(visible, s.racks, request); places != nil {
			return places
		}
	}
	return placement.Fit(visible, s.racks.All, request)
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

// bound reports whether a unit still waits for a place where it runs at full speed.
func (p *Pool) bound(s *snapshot, u *unit) bool {
	spec := u.spec()
	near := spec.PreferredRack != "" && len(s.racks.Members[spec.PreferredRack]) > 0
	together := spec.SameRack && len(u.members) > 1
	if !near && !together {
		return false
	}
	waited := s.now.Sub(u.readyAt)
	return waited < time.Duration(remotePatience*float64(spec.Estimate()))
}

// patient reports whether a unit can leave the emptiest racks to urgent jobs.
func (p *Pool) patient(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority > 0 && u.spec().PreferredRack == "" &&
		u.slack(s.now) > time.Duration(patientShare*float64(u.job.objective))
}

// withoutHeadroom hides the emptiest racks, the more the less urgent the priority.
func (s *snapshot) withoutHeadroom(workers []placement.Worker, priority int) []placement.Worker {
	share := headroomShares[min(priority, len(headroomShares)-1)]
	hidden := int(math.Ceil(share * float64(len(s.racks.Names))))
	if len(s.racks.Names) <= hidden {
		return workers
	}
	names := slices.Clone(s.racks.Names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(s.workers[s.racks.Members[b][0]].RackFree, s.workers[s.racks.Members[a][0]].RackFree)
	})
	visible := slices.Clone(workers)
	for _, name := range names[:hidden] {
		for _, i := range s.racks.Members[name] {
			visible[i].Usable = false
		}
	}
	return visible
}

// visibleTo returns the workers with reserved room hidden from units that would not
// be gone in time.
func (s *snapshot) visibleTo(estimate time.Duration) []placement.Worker {
	if len(s.reserved) == 0 {
		return s.workers
	}
	visible := slices.Clone(s.workers)
	for i, reserved := range s.reserved {
		if estimate > reserved.after {
			visible[i].Free = visible[i].Free.Least(reserved.spare)
		}
	}
	return visible
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
	for _, scope := range s.scopes(u) {
		promise := placement.EarliestFit(s.workers, scope, s.units, request)
		if promise != nil && (best == nil || promise.After < best.After) {
			best = promise
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
