package placement

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Unit is a running unit that could give way or that will end.
type Unit struct {
	// Places has the workers of the unit's runs.
	Places []int
	Room   taskgraph.Amount
	// Remaining is how long the unit is expected to hold its room.
	Remaining time.Duration
	// Loss is the price of stopping the unit now; negative if it may not be stopped.
	Loss float64
	// Priority is the unit's; only requests of a lower number may stop it.
	Priority int
}

// Promise is room that a request will get once running units have ended.
type Promise struct {
	Places []int
	// After is how long the request waits.
	After time.Duration
	// Spare has, for each place, the room that others may hold beyond then.
	Spare map[int]taskgraph.Amount
}

// EarliestFit returns when and where the request fits among workers if running
// units end as expected and nothing new starts. The result is nil if that takes
// until limit or longer.
func EarliestFit(workers []Worker, indexes []int, units []Unit, request *Request, limit time.Duration) *Promise {
	if !Holds(workers, indexes, request) {
		return nil
	}
	t := newSimulation(workers, indexes, units, request)
	defer t.close()
	if t.satisfied() {
		return t.placementAfter(0)
	}
	for _, ranked := range t.rankUnits(func(number int) float64 { return max(0, float64(units[number].Remaining)) }) {
		after := units[ranked.number].Remaining
		if after >= limit {
			return nil
		}
		t.evict(ranked.number)
		if t.satisfied() {
			return t.placementAfter(after)
		}
	}
	return nil
}

// Preempt returns where the request fits among workers if victims are stopped, the
// victims, and their loss. Units with a negative loss are left alone. The result is
// nil if no set of victims helps.
func Preempt(workers []Worker, indexes []int, units []Unit, request *Request) (places, victims []int, loss float64) {
	t := newSimulation(workers, indexes, units, request)
	defer t.close()
	for _, ranked := range t.preemptible() {
		if t.satisfied() {
			break
		}
		t.evict(ranked.number)
		victims = append(victims, ranked.number)
	}
	if !t.satisfied() {
		return nil, nil, 0
	}
	victims = t.dropUnneeded(victims)
	for _, number := range victims {
		loss += units[number].Loss
	}
	return Fit(workers, indexes, request), victims, loss
}

// preemptibleBy reports whether a unit may be stopped for a request. Units without loss
// are stopping already.
func (u *Unit) preemptibleBy(request *Request) bool {
	return u.Loss == 0 || u.Loss > 0 && u.Priority > request.Priority
}
