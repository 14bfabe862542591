package pool

import "time"

// maxCapacityAge is the maximum age of the workers' rows for a start on workers that do not enforce
// their capacity. Feeds are polled each second. The platform requires that a reduced capacity is
// respected from its contact bound, at least 3 s, and a heartbeat on. The row shows the reduction
// within that heartbeat.
const maxCapacityAge = 2500 * time.Millisecond

// capacitiesFresh reports whether the workers' capacities are fresh enough for placement; always
// true if the workers enforce them.
func (p *Pool) capacitiesFresh() bool {
	if p.options.DisabledSafeguards.CapacityAge || p.workersEnforceCapacity() {
		return true
	}
	return p.loop.Now().Sub(p.workersReadAt) <= maxCapacityAge
}

// workersEnforceCapacity reports whether the pool's workers refuse starts that exceed their
// capacity.
func (p *Pool) workersEnforceCapacity() bool {
	current := p.options.Catalog()
	if current == nil {
		return false
	}
	for i := range current.Pools {
		if current.Pools[i].Name == p.options.Pool {
			return current.Pools[i].EnforcesCapacity
		}
	}
	return false
}

// fitsMembers reports whether all members and unexpected runs on the worker fit into its present
// capacity.
func (w *worker) fitsMembers(now time.Time) bool {
	free := w.Capacity
	for _, m := range w.members {
		free = free.Minus(m.unit.spec().Requirements())
	}
	free = w.subtractUnexpected(free, now)
	return free.CPU >= 0 && free.MemoryMB >= 0 && free.GPUs >= 0
}
