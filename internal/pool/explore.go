package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// If many workers are too slow for urgent units, deferrable tasks run first on idle workers of
// unknown speed, which measures these workers. Otherwise the headroom for urgent units would
// consist of unmeasured workers, and an urgent gang placed there would probably get a slow one.

// minSlowShareToExplore is the share of measured workers that must be too slow for urgent units
// before deferrable tasks explore the unmeasured workers.
const minSlowShareToExplore = 0.1

// findUnmeasuredWorker returns an idle worker of unknown speed for a deferrable task, or nil.
func (p *Pool) findUnmeasuredWorker(s *snapshot, u *unit, visible *placement.Request) []int {
	if !p.shouldExplore(s.now) || len(u.members) > 1 || u.spec().PreferredRack != "" || u.hasUnexplainedLosses() {
		return nil
	}
	return placement.Fit(s.workers, s.racks.All, restrict(visible, func(i int) bool {
		w := s.poolWorkers[i]
		return len(w.members) == 0 && !p.speedKnown(w) && !w.cold(s.now)
	}))
}

// shouldExplore reports whether enough workers are too slow for urgent units to explore unmeasured
// workers.
func (p *Pool) shouldExplore(now time.Time) bool {
	if p.options.DisabledMechanisms[mechanism.LearnedSpeeds] {
		return false
	}
	p.currentMedianLogRunTime(now)
	return p.tooSlowShare >= minSlowShareToExplore
}

// minStretch returns the smallest stretch above 1 of the pool's queues; false if there is none.
func (p *Pool) minStretch() (float64, bool) {
	least, found := 0.0, false
	current := p.options.Catalog()
	if current == nil {
		return 0, false
	}
	for i := range current.Queues {
		queue := &current.Queues[i]
		if queue.Pool == p.options.Pool && queue.Stretch > 1 && (!found || queue.Stretch < least) {
			least, found = queue.Stretch, true
		}
	}
	return least, found
}
