package pool

import (
	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Placement of units that have waited too long for better workers.

// starved reports whether a unit has waited too long for better workers: any unit while much of the pool
// is free, and a long-running unit that has run before in any pool, since its estimate says nothing
// about its wait. A starved unit is placed on any workers.
func (s *snapshot) starved(u *unit) bool {
	restart := u.spec().LongRunning && u.run > 0
	return s.now.Sub(u.readyAt) > starvationTimeout && (restart || s.utilization < idleUtilization)
}

// findAnyPlacement returns workers with free resources, ignoring reservations and headroom.
func (p *Pool) findAnyPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	for _, scope := range s.localityGroups(u) {
		if places := placement.Fit(s.workers, scope, request); places != nil {
			return places
		}
	}
	if places := placement.FitOneRack(s.workers, s.racks, request); places != nil {
		return places
	}
	return placement.Fit(s.workers, s.racks.All, request)
}

// findStarvedPlacement returns workers for a starved unit, ignoring reservations and headroom. The unit
// takes workers on which it has failed only if there are no others.
func (p *Pool) findStarvedPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	if len(u.excludedWorkers) > 0 {
		if places := p.findHealthiestPlacement(s, u, restrict(request, s.notExcluded(u))); places != nil {
			return places
		}
	}
	return p.findHealthiestPlacement(s, u, request)
}

// findHealthiestPlacement returns workers for a starved unit. While workers fail, the unit takes the best
// of them.
func (p *Pool) findHealthiestPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	anyPlaces := p.findAnyPlacement(s, u, request)
	if anyPlaces == nil || !p.cautious(s.now) {
		return anyPlaces
	}
	for _, preferred := range p.starvedPreferences(s, u) {
		if places := p.findAnyPlacement(s, u, restrict(request, preferred)); places != nil {
			return places
		}
	}
	return anyPlaces
}

// starvedPreferences returns the preferred workers of a starved unit, the narrowest choice first. A
// last attempt that may use any worker prefers proven workers, then those without failures, and among
// each the ones with the fewest pending last attempts.
func (p *Pool) starvedPreferences(s *snapshot, u *unit) []func(i int) bool {
	if !u.lastAttempt() || p.healthRequirement(s, u) != health.AnyWorker {
		return p.workerPreferences(s, u)
	}
	states := p.workerStates(s)
	proven := func(i int) bool { return states[i].Proven }
	trusted := func(i int) bool { return states[i].Trusted }
	notFailing := func(i int) bool { return !states[i].Suspected }
	anyWorker := func(int) bool { return true }
	preferences := []func(i int) bool{proven}
	for _, preferred := range []func(i int) bool{trusted, notFailing, anyWorker} {
		for limit := range mostPendingLastAttempts(states) + 1 {
			preferences = append(preferences, func(i int) bool { return preferred(i) && states[i].PendingLastAttempts <= limit })
		}
	}
	return preferences
}
