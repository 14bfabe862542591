package placement

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Unit is a running gang or a running single task.
type Unit struct {
	// Workers lists the workers of the unit's runs.
	Workers   []int
	Resources taskgraph.Resources
	// Remaining is the expected time until the unit releases its resources. It is NeverEnds for a unit
	// without an expected end.
	Remaining time.Duration
	// PreemptionCost is the cost of preempting the unit now. It is 0 if the unit is already
	// stopping, and negative if the unit must not be preempted.
	PreemptionCost float64
	// Priority 0 is the highest. Only requests of a higher priority may preempt the unit.
	Priority int
}

// NeverEnds is the value of Unit.Remaining for a unit without an expected end.
const NeverEnds = time.Duration(math.MaxInt64)

// FuturePlacement is a placement that becomes possible once running units have ended.
type FuturePlacement struct {
	Workers []int
	// Wait is the expected time until the placement becomes possible.
	Wait time.Duration
	// Unreserved maps each worker of the placement to the resources that the placement leaves free.
	// Other tasks may occupy these resources beyond the time Wait.
	Unreserved map[int]taskgraph.Resources
}

// EarliestFit returns the earliest placement of the request. It assumes that running units end as
// expected and that no unit starts. It returns nil if the wait would reach limit, or if the request
// must wait for a unit without an expected end.
func EarliestFit(workers []Worker, indexes []int, units []Unit, request *Request, limit time.Duration) *FuturePlacement {
	if !FitsEventually(workers, indexes, request) {
		return nil
	}
	s := newSimulation(workers, indexes, units, request)
	defer s.close()
	if s.satisfied() {
		return s.placementAfter(0)
	}
	for _, ranked := range s.rankUnits(func(index int) float64 { return max(0, float64(units[index].Remaining)) }) {
		wait := units[ranked.unit].Remaining
		if wait >= limit || wait == NeverEnds {
			return nil
		}
		s.evict(ranked.unit)
		if s.satisfied() {
			return s.placementAfter(wait)
		}
	}
	return nil
}

// Preempt chooses units to preempt (victims) so that the request fits. It returns the resulting
// placement, the victims, and the sum of their preemption costs. The placement is nil if the
// request does not fit even after preempting all units that it may preempt.
func Preempt(workers []Worker, indexes []int, units []Unit, request *Request) (places, victims []int, cost float64) {
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
	for _, index := range victims {
		cost += units[index].PreemptionCost
	}
	return Fit(workers, indexes, request), victims, cost
}

// preemptibleBy reports whether the request may preempt the unit. A unit that is already stopping
// has a cost of 0, and requests of any priority may wait for its resources.
func (u *Unit) preemptibleBy(request *Request) bool {
	return u.PreemptionCost == 0 || u.PreemptionCost > 0 && u.Priority > request.Priority
}
