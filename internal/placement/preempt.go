package placement

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Unit is a running unit, which may be preempted or will end.
type Unit struct {
	// Workers lists the workers of the unit's runs.
	Workers   []int
	Resources taskgraph.Resources
	// Remaining is the expected time until the unit releases its resources.
	Remaining time.Duration
	// PreemptionCost is the cost of preempting the unit now; negative if it must not be preempted.
	PreemptionCost float64
	// Priority 0 is the highest; only requests of a higher priority preempt the unit.
	Priority int
}

// FuturePlacement is a placement that becomes possible once running units have ended.
type FuturePlacement struct {
	Workers []int
	// Wait is the expected wait.
	Wait time.Duration
	// Unreserved maps each worker to the resources that other tasks may occupy beyond that time.
	Unreserved map[int]taskgraph.Resources
}

// EarliestFit returns when and where the request fits if running units end as expected and nothing
// new starts. It returns nil if the wait would reach limit.
func EarliestFit(workers []Worker, indexes []int, units []Unit, request *Request, limit time.Duration) *FuturePlacement {
	if !FitsWhenEmpty(workers, indexes, request) {
		return nil
	}
	s := newSimulation(workers, indexes, units, request)
	defer s.close()
	if s.satisfied() {
		return s.placementAfter(0)
	}
	for _, ranked := range s.rankUnits(func(number int) float64 { return max(0, float64(units[number].Remaining)) }) {
		after := units[ranked.unit].Remaining
		if after >= limit {
			return nil
		}
		s.evict(ranked.unit)
		if s.satisfied() {
			return s.placementAfter(after)
		}
	}
	return nil
}

// Preempt returns a placement of the request that preempting victims makes possible, the victims,
// and the sum of their losses. It returns nil if no set of victims is sufficient.
func Preempt(workers []Worker, indexes []int, units []Unit, request *Request) (places, victims []int, loss float64) {
	s := newSimulation(workers, indexes, units, request)
	defer s.close()
	for _, ranked := range s.preemptible() {
		if s.satisfied() {
			break
		}
		s.evict(ranked.unit)
		victims = append(victims, ranked.unit)
	}
	if !s.satisfied() {
		return nil, nil, 0
	}
	victims = s.dropUnneeded(victims)
	for _, number := range victims {
		loss += units[number].PreemptionCost
	}
	return Fit(workers, indexes, request), victims, loss
}

// preemptibleBy reports whether the request may preempt the unit. Units with zero loss are already
// stopping.
func (u *Unit) preemptibleBy(request *Request) bool {
	return u.PreemptionCost == 0 || u.PreemptionCost > 0 && u.Priority > request.Priority
}
