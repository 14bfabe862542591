package pool

import "time"

// checkDrains continues to move long-running tasks off draining workers.
func (p *Pool) checkDrains() {
	for _, w := range p.sortedWorkers() {
		if !w.Draining {
			continue
		}
		for _, m := range w.members {
			if m.unit.spec().LongRunning {
				p.drainWorker(w)
				break
			}
		}
	}
}

// recordDrain records how long a worker that has begun to drain stays at least. The row was written
// after the worker rows were last read, so the stated time counts from then. It is unknown to an owner
// that has not read the rows before.
func (p *Pool) recordDrain(w *worker) {
	w.staysUntil = p.workersReadAt.Add(time.Duration(w.RemainingMillis) * time.Millisecond)
	p.record.LogEvent("worker draining", "worker", w.ID, "remaining_ms", w.RemainingMillis, "runs", len(w.members))
}

// shutDownAsPlanned reports whether a lost worker that last responded at a given time has shut down as
// planned: it was draining and had no time left, or it responded without a row.
func (w *worker) shutDownAsPlanned(lastResponse time.Time) bool {
	return w.respondedWithoutRow || w.Draining && !lastResponse.Before(w.staysUntil)
}

// drainWorker stops the runs that will not end before a draining worker shuts down. Long-running
// tasks move a few at a time, so that the number of a step's tasks that are down stays within the
// limit in its spec.
func (p *Pool) drainWorker(w *worker) {
	now := p.loop.Now()
	left := time.Duration(w.RemainingMillis) * time.Millisecond
	for _, m := range w.members {
		u := m.unit
		if u.state != unitActive {
			continue
		}
		if u.spec().LongRunning {
			if u.step.notReadyCount() < u.spec().AllowedMisses {
				p.stopUnit(u, "worker leaves")
			}
			continue
		}
		if p.remaining(u, now) > left-drainMargin {
			p.stopUnit(u, "worker leaves")
		}
	}
}

// notReadyCount returns the number of long-running tasks of a step that are not ready.
func (s *step) notReadyCount() int {
	count := 0
	for _, u := range s.units {
		for _, m := range u.members {
			if u.state != unitActive || m.state != memberRunning || m.percent < readyPercent {
				count++
			}
		}
	}
	return count
}

// readyPercent is the progress, in percent, from which a long-running task is ready.
const readyPercent = 100

// drainMargin is the least time between a run's expected end and the shutdown of its worker.
const drainMargin = 500 * time.Millisecond
