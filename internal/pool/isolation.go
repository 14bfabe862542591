package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Placement of units whose earlier runs ended with the loss of a worker. Their next run is
// isolated, so that another loss can be attributed to the unit and affects few other runs.

// isolationLosses is the number of lost workers from which a unit with unexplained losses needs empty
// workers, whatever its odds. The platform allows a task that crashes its workers two more starts
// after three losses, so each of these starts must be conclusive.
const isolationLosses = 3

// hasVerdict reports whether the verdict on any member of the unit is one of verdicts.
func (u *unit) hasVerdict(verdicts ...poison.Verdict) bool {
	for _, m := range u.suspects() {
		if slices.Contains(verdicts, m.losses.Verdict()) {
			return true
		}
	}
	return false
}

// suspectedOfCrashes reports whether a member of the unit is suspected or known to crash workers.
func (u *unit) suspectedOfCrashes() bool {
	return u.hasVerdict(poison.Suspected, poison.PoisonByOdds, poison.PoisonByLimit)
}

// hasUnexplainedLosses reports whether workers were lost while they ran the unit, without another
// known cause.
func (u *unit) hasUnexplainedLosses() bool {
	return u.suspectedOfCrashes() || u.hasVerdict(poison.Doubtful)
}

// needsEmptyWorkers reports whether the unit's next run must show whether it crashes its workers.
// Such a unit waits for empty workers and does not share them, since the loss of a shared worker
// proves nothing. Losses that are no evidence do not restrict a unit, however many there are.
func (u *unit) needsEmptyWorkers() bool {
	if u.suspectedOfCrashes() {
		return true
	}
	return u.hasUnexplainedLosses() && slices.ContainsFunc(u.suspects(), func(m *member) bool { return m.losses.LossCount() >= isolationLosses })
}

// likelyPoison reports whether the unit is more likely than not to crash its workers. No other
// unit is preempted for it.
func (u *unit) likelyPoison() bool {
	for _, m := range u.suspects() {
		if m.losses.Odds() >= 1 {
			return true
		}
	}
	return false
}

// isolated reports whether no other unit may be placed on the unit's workers, because its present run
// must show whether it crashes them. A run that has outlived the losses has shown that.
func (u *unit) isolated() bool {
	return (u.state == unitCommitting || u.state == unitActive) && u.needsEmptyWorkers() && u.timeToSurvival() > 0
}

// findIsolatedPlacement returns workers for a unit with unexplained worker losses, as isolated as
// necessary, or nil. Doubtful units run beside other doubtful units only if they would have to wait.
func (p *Pool) findIsolatedPlacement(s *snapshot, u *unit, visible *placement.Request) []int {
	if u.needsEmptyWorkers() {
		return placement.Fit(s.workers, s.racks.All, s.restrictToEmpty(visible))
	}
	if places := p.fitWithLocality(s, u, restrict(visible, s.withoutDoubtfulUnits), visible); places != nil {
		return places
	}
	return p.fitWithLocality(s, u, visible, visible)
}

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

// withoutDoubtfulUnits reports whether no unit with unexplained losses runs on a worker.
func (s *snapshot) withoutDoubtfulUnits(i int) bool {
	return !slices.ContainsFunc(s.poolWorkers[i].members, func(m *member) bool { return m.unit.hasUnexplainedLosses() })
}

// restrictToEmpty restricts a request to workers without runs. In a search for a future placement,
// workers count that will be empty then.
func (s *snapshot) restrictToEmpty(request *placement.Request) *placement.Request {
	restricted := *request
	restricted.Limit = func(i int, free taskgraph.Resources) taskgraph.Resources {
		if free != s.workers[i].Capacity {
			return taskgraph.Resources{}
		}
		if request.Limit != nil {
			return request.Limit(i, free)
		}
		return free
	}
	return &restricted
}

// reserveEmptyWorkers reserves all resources of the workers that become empty first.
func (s *snapshot) reserveEmptyWorkers(u *unit, request *placement.Request) placeResult {
	future := s.earliestPlacement(u, s.restrictToEmpty(request))
	if future == nil {
		return unitNotPlaced
	}
	for i := range future.Unreserved {
		future.Unreserved[i] = taskgraph.Resources{}
	}
	return s.reserve(u, request, future)
}

// isolateWorkers keeps other units from workers for the rest of the cycle.
func (s *snapshot) isolateWorkers(places []int) {
	for _, place := range places {
		s.workers[place].Usable, s.isolated[place] = false, true
	}
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
