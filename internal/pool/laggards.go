package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// What is made of members of a gang that come on much more slowly than the others, which
// wait for them.
const (
	// laggardRatio is a run's time, against what the speed known of its worker explains, from which
	// the worker counts as disturbed.
	laggardRatio = 2.5
	// fastestLead is by how much a pool's median worker is slower at most than its fast ones, as long
	// as nothing is known of them.
	fastestLead = 2
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

// checkLaggards compares the members of a gang. It moves one whose slowest member would keep the others
// for longer than to begin anew takes, and keeps new work off that member's worker.
func (p *Pool) checkLaggards(u *unit, now time.Time) {
	if len(u.members) < 2 || !u.startedHere || u.resumed || u.runningSince.IsZero() {
		return
	}
	// What this run tells of its workers must not explain it away.
	defer p.learnFromGang(u)
	if p.options.Off[mechanism.Laggards] {
		return
	}
	sound, known := p.soundTime(u, now)
	if !known {
		return
	}
	slowest := time.Duration(0)
	for _, m := range u.members {
		projected, ok := m.projectedTime()
		explained := float64(sound) * max(1, p.slowness(m.worker, now))
		if !ok || float64(projected) < laggardRatio*explained {
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

// soundTime returns how long the work of a member takes as a whole on the median worker, and false while
// less than half of the members have told their progress. It goes by the members on workers of known
// speed, whose lower quartile holds with more than half of them disturbed; where most are not known, by
// the median of all, since a pool's fastest workers say little of its others but that they are not
// slower by more than fastestLead.
func (p *Pool) soundTime(u *unit, now time.Time) (time.Duration, bool) {
	var told, corrected []time.Duration
	for _, m := range u.members {
		projected, ok := m.projectedTime()
		if !ok {
			continue
		}
		told = append(told, projected)
		if p.speedKnown(m.worker) {
			corrected = append(corrected, time.Duration(float64(projected)/p.slowness(m.worker, now)))
		}
	}
	if len(told) < 2 || 2*len(told) < len(u.members) {
		return 0, false
	}
	if 2*len(corrected) >= len(told) {
		slices.Sort(corrected)
		return corrected[(len(corrected)-1)/4], true
	}
	slices.Sort(told)
	return min(told[(len(told)-1)/2], fastestLead*told[(len(told)-1)/4]), true
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
