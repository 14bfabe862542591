package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// findPlacement returns workers with free resources for a unit, or nil. A unit that may not wait for
// the end of a suspect's run shares workers with suspects if there are no others.
func (p *Pool) findPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	places := p.findUsablePlacement(s, u, request)
	if places == nil && p.mayJoinSuspects(s, u) {
		places = p.findBesideSuspects(s, u, request)
	}
	return places
}

// findUsablePlacement returns usable workers with free resources for a unit, or nil.
func (p *Pool) findUsablePlacement(s *snapshot, u *unit, request *placement.Request) []int {
	switch {
	case s.starved(u) && u.needsEmptyWorkers():
		return p.findStarvedSuspectPlacement(s, u, request)
	case s.starved(u):
		return p.findStarvedPlacement(s, u, request)
	}
	visible := *request
	visible.Limit = s.reservationLimiter(u.estimate())
	if p.deferrable(s, u) {
		if p.inPreemptionBackoff(s, u) {
			return nil
		}
		if places := p.findUnmeasuredWorker(s, u, &visible); places != nil {
			return places
		}
		if !p.options.DisabledMechanisms[mechanism.Headroom] {
			visible.Allowed = s.excludeHeadroom(request.Allowed, u.job.Queue.Priority)
		}
	}
	if u.hasUnexplainedLosses() {
		return p.findIsolatedPlacement(s, u, &visible)
	}
	for _, preferred := range p.workerPreferences(s, u) {
		if places := p.fitWithLocality(s, u, restrict(&visible, preferred), &visible); places != nil {
			return places
		}
	}
	return p.fitWithLocality(s, u, &visible, &visible)
}

// fitWithLocality prefers workers that satisfy the unit's locality. Once the unit has waited long
// enough, fitWithLocality takes any workers. The search is restricted to visible; all tells whether
// waiting for locality can help.
func (p *Pool) fitWithLocality(s *snapshot, u *unit, visible, all *placement.Request) []int {
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
	if p.waitsForLocality(s, u, all) {
		return nil
	}
	if len(u.members) > 1 && spec.Gang {
		if places := placement.FitOneRack(s.workers, s.racks, visible); places != nil {
			return places
		}
	}
	return placement.Fit(s.workers, s.racks.All, visible)
}

// waitsForLocality reports whether a unit still waits for locality. A unit waits no longer than the
// extra time that a run outside its rack takes. Workers that are kept from the unit only for their
// health count as local.
func (p *Pool) waitsForLocality(s *snapshot, u *unit, request *placement.Request) bool {
	if p.healthRequirement(s, u) != health.AnyWorker {
		request = s.request(u)
	}
	if p.options.DisabledMechanisms[mechanism.LocalityWait] || !s.hasLocalPlacement(u, request) {
		return false
	}
	maxWait := (p.options.Bounds.CrossRackSlowdown - 1) * float64(u.estimate())
	return s.now.Sub(u.readyAt) < time.Duration(maxWait)
}

// hasLocalPlacement reports whether the unit could run with its locality once all runs with an expected
// end have ended.
func (s *snapshot) hasLocalPlacement(u *unit, request *placement.Request) bool {
	spec := u.spec()
	if members := s.racks.Members[spec.PreferredRack]; spec.PreferredRack != "" && len(members) > 0 {
		return placement.FitsEventually(s.workers, members, request)
	}
	if !spec.SameRack || len(u.members) < 2 {
		return false
	}
	for _, name := range s.racks.Names {
		if placement.FitsEventually(s.workers, s.racks.Members[name], request) {
			return true
		}
	}
	return false
}

// deferrable reports whether a unit has enough slack to leave the emptiest racks to urgent jobs.
func (p *Pool) deferrable(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority > 0 && u.spec().PreferredRack == "" &&
		u.slack(s.now) > time.Duration(deferrableSlackShare*float64(u.job.objective))
}

// inPreemptionBackoff reports whether a deferrable unit waits because a unit of higher priority has
// just preempted others.
func (p *Pool) inPreemptionBackoff(s *snapshot, u *unit) bool {
	return !p.options.DisabledMechanisms[mechanism.PreemptionBackoff] && u.job.Queue.Priority > p.preemptionBackoffPriority && s.now.Before(p.preemptionBackoffUntil)
}

// excludeHeadroom restricts allowed to workers outside the headroom of a priority.
func (s *snapshot) excludeHeadroom(allowed func(int) bool, priority int) func(int) bool {
	excluded := s.headroomFor(min(priority, len(headroomShares)-1))
	return func(i int) bool { return !excluded[i] && (allowed == nil || allowed(i)) }
}

// headroomFor marks the workers of the emptiest racks, which deferrable units of a priority don't
// use. A lower priority excludes more racks.
func (s *snapshot) headroomFor(priority int) []bool {
	if excluded := s.headroomWorkers[priority]; excluded != nil {
		return excluded
	}
	excluded := make([]bool, len(s.workers))
	count := int(math.Ceil(headroomShares[priority] * float64(len(s.racks.Names))))
	if count < len(s.racks.Names) {
		for _, name := range s.racks.ByFreeCapacity(s.workers)[:count] {
			for _, i := range s.racks.Members[name] {
				excluded[i] = true
			}
		}
	}
	s.headroomWorkers[priority] = excluded
	return excluded
}

// localityGroups returns the groups of workers of which one should hold the whole unit.
func (s *snapshot) localityGroups(u *unit) [][]int {
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
