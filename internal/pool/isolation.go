package pool

import (
	"slices"

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

// isolateWorkers keeps other units from workers for the rest of the cycle.
func (s *snapshot) isolateWorkers(places []int) {
	for _, place := range places {
		s.workers[place].Usable, s.isolated[place] = false, true
	}
}
