package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// What is made of members of a gang that come on much more slowly than the others, which
// wait for them.
const (
	// laggardRatio is a member's time against that of the sound ones from which its worker
	// counts as slow. The work of a gang's members is alike; sound workers' speeds differ
	// by half at most on the platform's sites.
	laggardRatio = 2.5
	// moveOverhead is what a move takes beside the work done anew: the stop, up to 0.9 s on
	// the platform's sites, and the start.
	moveOverhead = 1200 * time.Millisecond
	// moveRatio is how many times longer than a move the rest of a run must take.
	moveRatio = 1.5
	// projectionAge is the age of a run from which its progress, in percent, tells its time.
	projectionAge = 500 * time.Millisecond
	// leastProgressShare stands for progress that is listed as 0 percent.
	leastProgressShare = 0.005
)

// checkLaggards moves a gang whose slowest member would keep the others for longer than to
// begin anew takes, and keeps new work off that member's worker.
func (p *Pool) checkLaggards(u *unit, now time.Time) {
	if p.options.Off[mechanism.Laggards] || len(u.members) < 2 || !u.startedHere || u.resumed || u.runningSince.IsZero() {
		return
	}
	sound, known := u.soundTime()
	if !known {
		return
	}
	slowest := time.Duration(0)
	for _, m := range u.members {
		projected, ok := m.projectedTime()
		if !ok || float64(projected) < laggardRatio*float64(sound) {
			continue
		}
		if !m.worker.cold(now) {
			m.worker.slowUntil = now.Add(slowPeriod)
		}
		p.leaveAlone(m.worker, "a run is much slower than its gang", now)
		slowest = max(slowest, projected)
	}
	left := u.runningSince.Add(slowest).Sub(now)
	if float64(left) > moveRatio*float64(sound+moveOverhead) {
		p.stopUnit(u, "slow member")
	}
}

// slowPeriod is how long gangs avoid a worker after one of its runs was much slower than
// its siblings: twice the penalty, so that single tasks come there first.
const slowPeriod = 2 * penalty

// soundTime returns how long the work of a member on a sound worker takes as a whole, and
// false while less than half of the members have told their progress. It is the lower
// quartile, so that it holds with more than half of the members on slow workers.
func (u *unit) soundTime() (time.Duration, bool) {
	var times []time.Duration
	for _, m := range u.members {
		if projected, ok := m.projectedTime(); ok {
			times = append(times, projected)
		}
	}
	if len(times) < 2 || 2*len(times) < len(u.members) {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/4], true
}

// projectedTime returns how long a member's work takes as a whole at the pace so far, and
// false if it is too early to tell.
func (m *member) projectedTime() (time.Duration, bool) {
	if m.state != memberRunning || m.worker == nil || m.percentAt.IsZero() {
		return 0, false
	}
	listed := m.listedAt
	if m.percent >= nearEnd {
		listed = m.percentAt
	}
	elapsed := listed.Sub(m.unit.runningSince)
	if elapsed < projectionAge {
		return 0, false
	}
	share := max(leastProgressShare, float64(m.percent)/100)
	return time.Duration(float64(elapsed) / share), true
}
