package pool

import "time"

// checkLeaving goes on emptying workers that leave.
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

// emptyLeaving stops what will not end before the worker leaves. Tasks that last move
// a few at a time, so that no more of their step are away than allowed.
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

// awayCount counts the lasting tasks of a step that are not at work.
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

// atWork is the percent from which a lasting task is at work.
const atWork = 100

// leaveMargin is kept between a run's expected end and the worker's.
const leaveMargin = 500 * time.Millisecond
