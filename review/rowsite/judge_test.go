//go:build review

package rowsite

import "time"

// Times of the rule: a task that lasts may be away for rest after its last run, and then for unused. calmAgain is
// the time from the disruption until the watch begins.
const (
	rest      = 6 * time.Second
	unused    = 3 * time.Second
	calmAgain = 15 * time.Second
)

// judgeLasting reports whether, for the whole limit, as many tasks run as each job has.
func (s *site) judgeLasting(jobs map[string]int, limit time.Duration) bool {
	missing := map[string]time.Duration{}
	const look = 250 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(look) {
		for id, count := range jobs {
			if s.running(id) < count {
				missing[id] += look
			}
		}
	}
	held := true
	used, total, idle := s.use()
	for id, count := range jobs {
		s.record.verdict("job %s: %d of %d tasks that last are at work; some were missing for %.1f of the last %.0f s, with %d of %d accelerators in use and %d idle workers", id, s.running(id), count, missing[id].Seconds(), limit.Seconds(), used, total, idle)
		held = held && missing[id] <= rest+unused
	}
	return held
}

// use returns the accelerators in use and in all, and how many workers run nothing, of those that are up.
func (s *site) use() (used, total, idle int) {
	for _, w := range s.workers {
		w.mutex.Lock()
		if w.up {
			total += w.capacity.GPUs
			used += w.capacity.GPUs - w.free().GPUs
		}
		if w.up && len(w.runs) == 0 {
			idle++
		}
		w.mutex.Unlock()
	}
	return used, total, idle
}
