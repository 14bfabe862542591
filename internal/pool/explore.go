package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Where workers differ so much in speed that an urgent unit ends late on a slow one, patient tasks run
// first on idle workers of which nothing is known. Else the emptiest racks, which are left to urgent
// units, are those that nobody knows, and an urgent gang of five finds a slow worker in nearly every draw.

// exploreShare is the share of the known workers that have to be too slow for urgent units for the
// others to be explored.
const exploreShare = 0.1

// findUnexplored places a patient task on an idle worker of unknown speed.
func (p *Pool) findUnexplored(s *snapshot, u *unit, visible *placement.Request) []int {
	if !p.exploring(s.now) || len(u.members) > 1 || u.spec().PreferredRack != "" || u.doubtful() {
		return nil
	}
	return placement.Fit(s.workers, s.racks.All, narrowed(visible, func(i int) bool {
		w := s.owners[i]
		return len(w.members) == 0 && !p.speedKnown(w) && !w.cold(s.now)
	}))
}

// exploring reports whether it matters which workers an urgent unit runs on.
func (p *Pool) exploring(now time.Time) bool {
	if p.options.Off[mechanism.LearnedSpeeds] {
		return false
	}
	p.medianTime(now)
	return p.tooSlowShare >= exploreShare
}

// leastStretch is the least of the pool's queues, as a ratio of times; false if there is none.
func (p *Pool) leastStretch() (float64, bool) {
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
