package pool

import "github.com/wheatroad/wheatroad/internal/placement"

// A unit is not placed again on a worker on which it has failed or stalled, if there are others. What is
// left must be able to run it some day: otherwise it would never run again, although it has attempts left.

// notExcluded returns a filter of the workers on which a unit has not failed.
func (s *snapshot) notExcluded(u *unit) func(i int) bool {
	return func(i int) bool { return !u.excludedWorkers[s.poolWorkers[i].ID] }
}

// exclusionApplies reports whether the workers on which a unit has failed are left out of its placement.
// They are not once the unit has waited too long in a pool with much free capacity, or if the other
// workers could not hold the unit even after all runs with an expected end have ended.
func (s *snapshot) exclusionApplies(u *unit) bool {
	if len(u.excludedWorkers) == 0 || s.starved(u) {
		return false
	}
	request := s.requestOnAny(u)
	if !u.spec().LongRunning {
		// The step's tasks on other workers will end.
		request.Present = nil
	}
	stays := func(i int) bool { return !s.poolWorkers[i].drainingOrUnlisted() }
	return placement.FitsEventually(s.workers, s.racks.All, restrict(restrict(request, s.notExcluded(u)), stays))
}
