package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Detection of stragglers: members of a gang that are much slower than the other members. The other
// members wait for the stragglers.
const (
	// stragglerRatio is the ratio from which a member is a straggler: the projected duration of its
	// run, divided by the duration to expect at the worker's known speed.
	stragglerRatio = 2.5
	// maxMedianSlowness bounds the median duration while most speeds are unknown. It is a multiple
	// of the lower quartile. The fast workers of a pool say little about its median worker, except
	// that it is at most this much slower.
	maxMedianSlowness = 2
	// restartOverhead is the time that a restart takes besides the repeated work: the stop, which
	// takes up to 0.9 s, and the start.
	restartOverhead = 1200 * time.Millisecond
	// restartRatio is how many times longer than a restart the rest of the run must take for the
	// gang to be restarted.
	restartRatio = 1.5
	// minProjectionAge is the minimum age of a run for a projection from its progress.
	minProjectionAge = 500 * time.Millisecond
	// minProgressShare is the progress assumed for a run that reports 0 percent.
	minProgressShare = 0.005
)

// checkStragglers detects stragglers in a gang and excludes their workers from new work. It
// restarts the gang if waiting for the slowest member would take longer than a restart.
func (p *Pool) checkStragglers(u *unit, now time.Time) {
	if len(u.members) < 2 || !u.startedByThisOwner || u.fromCheckpoint || u.runningSince.IsZero() {
		return
	}
	// The update is deferred, so that the speeds learned from this run do not hide its stragglers.
	defer p.updateSpeedsFromGang(u)
	if p.options.DisabledMechanisms[mechanism.Stragglers] {
		return
	}
	medianDuration, known := p.medianWorkerDuration(u, now)
	if !known {
		return
	}
	slowest := time.Duration(0)
	for _, m := range u.members {
		projected, ok := m.projectedDuration()
		expected := float64(medianDuration) * max(1, p.slowness(m.worker, now))
		if !ok || float64(projected) < stragglerRatio*expected {
			continue
		}
		if !m.worker.cold(now) {
			m.worker.gangsExcludedUntil = now.Add(slowExclusionPeriod)
		}
		p.excludeWorker(m.worker, "straggler in its gang", now)
		slowest = max(slowest, projected)
	}
	timeLeft := u.runningSince.Add(slowest).Sub(now)
	if float64(timeLeft) > restartRatio*float64(medianDuration+restartOverhead) {
		p.stopUnit(u, "slow member")
	}
}

// slowExclusionPeriod is how long gangs avoid the worker of a straggler. It is twice the exclusion
// period, so that single tasks run there first.
const slowExclusionPeriod = 2 * exclusionPeriod

// medianWorkerDuration returns the projected duration of a member on the median worker. It returns
// false while fewer than two members, or less than half of them, have a projection. If most speeds
// are known, the result is the lower quartile of the durations corrected for speed, which is robust
// even if more than half of the members are stragglers. Otherwise it is the median of all
// projections, at most maxMedianSlowness times their lower quartile.
func (p *Pool) medianWorkerDuration(u *unit, now time.Time) (time.Duration, bool) {
	var projections, corrected []time.Duration
	for _, m := range u.members {
		projected, ok := m.projectedDuration()
		if !ok {
			continue
		}
		projections = append(projections, projected)
		if p.speedKnown(m.worker) {
			corrected = append(corrected, time.Duration(float64(projected)/p.slowness(m.worker, now)))
		}
	}
	if len(projections) < 2 || 2*len(projections) < len(u.members) {
		return 0, false
	}
	if 2*len(corrected) >= len(projections) {
		slices.Sort(corrected)
		return corrected[(len(corrected)-1)/4], true
	}
	slices.Sort(projections)
	return min(projections[(len(projections)-1)/2], maxMedianSlowness*projections[(len(projections)-1)/4]), true
}

// projectedDuration returns the total duration of a member's run at its speed so far, and false if
// the run is too young for a projection.
func (m *member) projectedDuration() (time.Duration, bool) {
	if m.state != memberRunning || m.worker == nil || m.percentChangedAt.IsZero() {
		return 0, false
	}
	reportedAt := m.reportedAt
	if m.percent >= nearEndPercent {
		reportedAt = m.percentChangedAt
	}
	elapsed := reportedAt.Sub(m.unit.runningSince)
	if elapsed < minProjectionAge {
		return 0, false
	}
	share := max(minProgressShare, float64(m.percent)/100)
	return time.Duration(float64(elapsed) / share), true
}
