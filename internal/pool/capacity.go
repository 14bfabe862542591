package pool

import "time"

// accountAge is how old the workers' accounts of themselves may be when a start goes out to
// a worker that does not guard its capacity. Feeds are asked again each second. The platform
// counts a capacity that has shrunk from its contact bound, 3 s at the least, and a heartbeat
// on; the row shows it within that heartbeat.
const accountAge = 2500 * time.Millisecond

// accountsKnown reports whether the workers' capacities are known from lately, where it is
// the owner's to keep within them.
func (p *Pool) accountsKnown() bool {
	if p.options.Without.AccountAge || p.guarded() {
		return true
	}
	return p.loop.Now().Sub(p.workersAsOf) <= accountAge
}

// guarded reports whether the pool's workers refuse what does not fit.
func (p *Pool) guarded() bool {
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

// holdsItsMembers reports whether all that runs or is to run on the worker fits into the
// capacity that it has now.
func (w *worker) holdsItsMembers(now time.Time) bool {
	free := w.Capacity
	for _, m := range w.members {
		free = free.Minus(m.unit.spec().Room())
	}
	free = w.withoutUnwanted(free, now)
	return free.CPU >= 0 && free.MemoryMB >= 0 && free.GPUs >= 0
}
