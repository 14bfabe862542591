package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/poison"
)

// Bounds of isolation. A suspect does not wait for good for an empty worker, and other units do not wait
// for good for workers that suspects keep to themselves.

// findStarvedSuspectPlacement returns workers for a starved unit that needs empty workers, ignoring
// reservations and headroom. If no worker is expected to become empty soon, the unit shares workers,
// preferably with runs that are too old to crash their workers: the loss of such a worker proves as much
// as that of an empty one.
func (p *Pool) findStarvedSuspectPlacement(s *snapshot, u *unit, request *placement.Request) []int {
	empty := s.restrictToEmpty(request)
	if places := placement.Fit(s.workers, s.racks.All, empty); places != nil {
		return places
	}
	patience := overdueTimeout - s.now.Sub(u.readyAt)
	if patience > 0 && placement.EarliestFit(s.workers, s.racks.All, s.units, empty, patience) != nil {
		return nil
	}
	withoutShortDoubtfulUnits := func(i int) bool { return !p.runsShortDoubtfulUnit(s.poolWorkers[i], s.now) }
	for _, allowed := range []func(i int) bool{s.withoutSuspects, s.withoutDoubtfulUnits, withoutShortDoubtfulUnits} {
		if places := p.findStarvedPlacement(s, u, restrict(request, allowed)); places != nil {
			return places
		}
	}
	return nil
}

// runsShortDoubtfulUnit reports whether a worker runs a unit with unexplained losses that is expected to end
// soon.
func (p *Pool) runsShortDoubtfulUnit(w *worker, now time.Time) bool {
	return slices.ContainsFunc(w.members, func(m *member) bool {
		return m.unit.hasUnexplainedLosses() && p.remaining(m.unit, now) <= shortRemaining
	})
}

// withoutSuspects reports whether all runs on a worker are too old to crash it.
func (s *snapshot) withoutSuspects(i int) bool {
	return !slices.ContainsFunc(s.poolWorkers[i].members, func(m *member) bool { return poison.MayCrash(m.workedFor()) })
}

// mayJoinSuspects reports whether a unit may share workers with suspects: it is starved, or its tenant's
// guarantee is due.
func (p *Pool) mayJoinSuspects(s *snapshot, u *unit) bool {
	return len(s.isolated) > 0 && (s.starved(u) || p.guaranteeDue(s, u))
}

// findBesideSuspects returns workers for a unit, also among those that suspects keep to themselves for
// longer than the unit may wait. The loss of a shared worker proves less, and a suspect may crash what
// joins it.
func (p *Pool) findBesideSuspects(s *snapshot, u *unit, request *placement.Request) []int {
	patience := max(0, overdueTimeout-s.now.Sub(u.readyAt))
	var opened []int
	for i := range s.isolated {
		if p.isolatedFor(s.poolWorkers[i], s.now) > patience {
			opened = append(opened, i)
			s.workers[i].Usable = true
		}
	}
	if len(opened) == 0 {
		return nil
	}
	places := p.findUsablePlacement(s, u, request)
	for _, i := range opened {
		s.workers[i].Usable = false
	}
	return places
}

// shortRemaining is the expected time to the end of a suspect's run for which others wait.
const shortRemaining = 3 * time.Second

// isolatedFor returns for how long the suspects on a worker will keep it to themselves, until they have
// outlived their losses. It is 0 if they are expected to end soon.
func (p *Pool) isolatedFor(w *worker, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, m := range w.members {
		u := m.unit
		if !u.isolated() {
			continue
		}
		if p.remaining(u, now) > shortRemaining {
			longest = max(longest, u.timeToSurvival())
		}
	}
	return longest
}

// timeToSurvival returns how much longer the unit's present run must last to outlive its losses.
func (u *unit) timeToSurvival() time.Duration {
	longest := time.Duration(0)
	for _, m := range u.suspects() {
		longest = max(longest, m.losses.SurvivalAge()-m.workedFor())
	}
	return longest
}
