package pool

import "time"

// checkLeaving continues to move long-running tasks off draining workers.
func (p *Pool) checkLeaving() {
	for _, w := range p.sortedWorkers() {
		if !w.Draining {
			continue
		}
		for _, m := range w.members {
			if m.unit.spec().LongRunning {
				p.emptyLeaving(w)
				break
			}
		}
	}
}

// emptyLeaving stops the runs that will not end before a draining worker shuts down. Long-running
// tasks move a few at a time, so that no more of a step are down than its spec allows.
func (p *Pool) emptyLeaving(w *worker) {
	now := p.loop.Now()
	left := time.Duration(w.RemainingMillis) * time.Millisecond
	for _, m := range w.members {
		u := m.unit
		if u.state != unitActive {
			continue
		}
		if u.spec().LongRunning {
			if u.step.awayCount() < u.spec().AllowedMisses {
				p.stopUnit(u, "worker leaves")
			}
			continue
		}
		if p.remaining(u, now) > left-leaveMargin {
			p.stopUnit(u, "worker leaves")
		}
	}
}

// awayCount returns the number of long-running tasks of a step that are not ready.
func (s *step) awayCount() int {
	count := 0
	for _, u := range s.units {
		for _, m := range u.members {
			if u.state != unitActive || m.state != memberRunning || m.percent < atWork {
				count++
			}
		}
	}
	return count
}

// atWork is the progress, in percent, from which a long-running task is ready.
const atWork = 100

// leaveMargin is the least time between a run's expected end and the shutdown of its worker.
const leaveMargin = 500 * time.Millisecond
