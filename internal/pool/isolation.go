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
const (
	// isolationPeriod is how long after its start a suspected unit gets no new neighbors. Most
	// tasks that crash workers do so soon after their start.
	isolationPeriod = time.Second
	// isolationWait is how long a suspected unit waits for workers without other suspected units.
	isolationWait = 500 * time.Millisecond
	// isolationLosses is the number of lost workers, and isolationEvidence the number of losses that
	// are evidence, from which a unit needs empty workers, whatever its odds. The platform limits
	// further starts of a task that crashes its workers, so each start must be conclusive.
	isolationLosses   = 3
	isolationEvidence = 2
)

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
	if !u.hasUnexplainedLosses() {
		return false
	}
	for _, m := range u.suspects() {
		if m.losses.LossCount() >= isolationLosses || m.losses.EvidenceCount() >= isolationEvidence || m.losses.SuspectedByOdds() {
			return true
		}
	}
	return false
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

// isolated reports whether no other unit may be placed on the unit's workers. This holds for a
// suspected unit while its start is pending or recent, and for its whole run if the unit needs
// empty workers.
func (u *unit) isolated(now time.Time) bool {
	if u.lossGroup == nil || !u.suspectedOfCrashes() {
		return false
	}
	isolated := u.state == unitActive && (now.Sub(u.startedAt) < isolationPeriod || u.needsEmptyWorkers())
	return u.state == unitCommitting || isolated
}

// findIsolatedPlacement returns workers for a unit with unexplained worker losses, as isolated as
// possible, or nil.
func (p *Pool) findIsolatedPlacement(s *snapshot, u *unit, visible *placement.Request) []int {
	if u.needsEmptyWorkers() {
		return placement.Fit(s.workers, s.racks.All, s.restrictToEmpty(visible))
	}
	for _, preferred := range s.isolationPreferences(u) {
		if places := p.fitWithLocality(s, u, restrict(visible, preferred), visible); places != nil {
			return places
		}
	}
	if u.suspectedOfCrashes() && s.now.Sub(u.readyAt) < isolationWait {
		return nil
	}
	return p.fitWithLocality(s, u, visible, visible)
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

// isolationPreferences returns the preferred workers of a unit with unexplained losses, best first.
func (s *snapshot) isolationPreferences(u *unit) []func(i int) bool {
	empty := func(i int) bool { return len(s.poolWorkers[i].members) == 0 }
	withoutDoubtful := func(i int) bool {
		for _, m := range s.poolWorkers[i].members {
			if m.unit.hasUnexplainedLosses() {
				return false
			}
		}
		return true
	}
	if u.suspectedOfCrashes() {
		return []func(int) bool{empty, withoutDoubtful}
	}
	return []func(int) bool{withoutDoubtful}
}

// excludeWorkers marks workers as unusable for the rest of the cycle.
func (s *snapshot) excludeWorkers(places []int) {
	for _, place := range places {
		s.workers[place].Usable = false
	}
}
