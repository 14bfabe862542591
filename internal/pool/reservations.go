package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Reservations keep resources that will become free for units that cannot be placed yet. They hold for
// one cycle.

// reservation is a reservation of resources on one worker. It starts after startsIn.
type reservation struct {
	startsIn time.Duration
	// unreserved holds the resources that other units may use after the reservation has started.
	unreserved taskgraph.Resources
}

// reservationLimiter returns a limit that hides reserved resources from units whose estimate
// exceeds the time until the reservation starts; nil if nothing is reserved.
func (s *snapshot) reservationLimiter(estimate time.Duration) func(int, taskgraph.Resources) taskgraph.Resources {
	if len(s.reservations) == 0 {
		return nil
	}
	return func(i int, free taskgraph.Resources) taskgraph.Resources {
		reserved, found := s.reservations[i]
		if !found || estimate <= reserved.startsIn {
			return free
		}
		return free.Min(reserved.unreserved)
	}
}

// earliestPlacement returns the earliest future placement of a unit; nil if there is none, or if
// the cycle has no reservations left and the unit's priority is not 0.
func (s *snapshot) earliestPlacement(u *unit, request *placement.Request) *placement.FuturePlacement {
	if s.reservationsLeft == 0 && u.job.Queue.Priority > 0 {
		return nil
	}
	var best *placement.FuturePlacement
	limit := time.Duration(math.MaxInt64)
	for _, scope := range s.localityGroups(u) {
		if found := placement.EarliestFit(s.workers, scope, s.units, request, limit); found != nil {
			best = found
			limit = found.Wait
		}
	}
	return best
}

// reserve reserves the resources of a future placement for a unit, unless future is nil.
func (s *snapshot) reserve(u *unit, request *placement.Request, future *placement.FuturePlacement) placeResult {
	if future == nil {
		return unitNotPlaced
	}
	if u.job.Queue.Priority > 0 {
		s.reservationsLeft--
	}
	for i, spare := range future.Unreserved {
		existing, found := s.reservations[i]
		if found {
			spare = spare.Min(existing.unreserved)
		}
		if !found || future.Wait < existing.startsIn {
			existing.startsIn = future.Wait
		}
		s.reservations[i] = reservation{startsIn: existing.startsIn, unreserved: spare}
	}
	return unitReserved
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
