package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// Estimation of worker speeds from runs. The members of a gang are equal tasks that start together.
// The single tasks of a step are similar but not equal.
const (
	// minSpeedPercent is the minimum progress for a projection of a run's duration.
	minSpeedPercent = 3
	// reliableSpeedPercent is the minimum progress of a single task for an estimate of its worker's
	// speed. The rounding error of the projection is then at most a twentieth.
	reliableSpeedPercent = 10
	// slowRatio is the slowness from which gangs avoid a worker: its time per work relative to the
	// median worker's.
	slowRatio = 1.12
	// maxMedianAge is the maximum age of the cached median.
	maxMedianAge = 250 * time.Millisecond
)

// updateRunTime updates a run's projected duration from the progress that its worker reported.
func (p *Pool) updateRunTime(m *member, percent int, now time.Time) {
	u := m.unit
	if percent < minSpeedPercent || percent >= readyPercent || u.runningSince.IsZero() || !u.measuresSpeed() {
		return
	}
	elapsed := now.Sub(u.runningSince)
	if elapsed <= 0 {
		return
	}
	m.logRunTime = math.Log(elapsed.Seconds() * 100 / float64(percent))
	m.runTimePercent = percent
	if len(u.members) == 1 {
		u.step.cohort.Record(&m.cohortEntry, &m.worker.speed, m.logRunTime)
		if percent >= reliableSpeedPercent {
			p.updateSpeedFromTask(u)
		}
	}
}

// measuresSpeed reports whether the duration of the unit's run depends only on its work and its
// workers.
func (u *unit) measuresSpeed() bool {
	return u.startedByThisOwner && !u.fromCheckpoint && !u.spec().LongRunning && !u.runsRemotely()
}

// runsRemotely reports whether a member runs outside the unit's preferred rack, which takes longer.
func (u *unit) runsRemotely() bool {
	rack := u.spec().PreferredRack
	if rack == "" {
		return false
	}
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.worker != nil && m.worker.rack != rack })
}

// updateSpeedsFromGang updates the speeds of a gang's workers once per run, as soon as all members
// have a projected duration.
func (p *Pool) updateSpeedsFromGang(u *unit) {
	if u.measuredRun == u.run || len(u.members) < 2 || !u.measuresSpeed() {
		return
	}
	now := p.loop.Now()
	var samples []speeds.Sample
	for _, m := range u.members {
		if m.worker == nil || m.runTimePercent == 0 {
			return
		}
		if !m.worker.cold(now) {
			samples = append(samples, speeds.Sample{Worker: &m.worker.speed, LogTime: m.logRunTime, Variance: speeds.RoundingVariance(m.runTimePercent)})
		}
	}
	u.measuredRun = u.run
	speeds.UpdateEstimates(samples, p.priorWork(u))
	u.slowness = p.maxSlowness(u)
}

// priorWork returns the prior estimate of the work of a unit's members.
func (p *Pool) priorWork(u *unit) speeds.ExpectedWork {
	model := p.durations.of(u.job.Queue.Name)
	if model == nil || u.spec().Estimate() <= 0 {
		return speeds.ExpectedWork{}
	}
	return speeds.ExpectedWork{LogTime: math.Log(u.estimate().Seconds()) + p.currentMedianLogRunTime(p.loop.Now()), Variance: model.variance()}
}

// updateSpeedFromEndedTask updates the speed of a completed single task's worker from the task's
// duration.
func (p *Pool) updateSpeedFromEndedTask(u *unit) {
	m := u.members[0]
	if len(u.members) != 1 || m.worker == nil || u.runningSince.IsZero() || !u.measuresSpeed() {
		return
	}
	duration := max(time.Millisecond, p.loop.Now().Sub(u.runningSince))
	u.step.cohort.Record(&m.cohortEntry, &m.worker.speed, math.Log(duration.Seconds()))
	p.updateSpeedFromTask(u)
}

// updateSpeedFromTask updates a worker's speed once per run of a single task, by a comparison with
// other tasks of the step.
func (p *Pool) updateSpeedFromTask(u *unit) {
	m := u.members[0]
	if u.measuredRun == u.run || m.worker.cold(p.loop.Now()) {
		return
	}
	if u.step.cohort.UpdateEstimate(&m.cohortEntry, &m.worker.speed, &p.runTimeSpread) {
		u.measuredRun = u.run
	}
}

// currentMedianLogRunTime returns the logarithm of the median worker's time per work, cached for
// maxMedianAge.
func (p *Pool) currentMedianLogRunTime(now time.Time) float64 {
	if now.Sub(p.medianAt) < maxMedianAge {
		return p.medianLogRunTime
	}
	p.medianAt = now
	var logTimes []float64
	for _, w := range p.workers {
		if w.speed.Known() {
			logTimes = append(logTimes, w.speed.LogTime())
		}
	}
	p.medianLogRunTime, p.tooSlowShare = 0, 0
	if len(logTimes) > 0 {
		slices.Sort(logTimes)
		p.medianLogRunTime = logTimes[len(logTimes)/2]
		p.tooSlowShare = p.tooSlowShareOf(logTimes)
	}
	return p.medianLogRunTime
}

// tooSlowShareOf returns the share of workers that are too slow for the queue with the smallest
// stretch: jobs of this queue miss their objective on them. The workers are given by their sorted
// log times.
func (p *Pool) tooSlowShareOf(logTimes []float64) float64 {
	stretch, found := p.minStretch()
	if !found {
		return 0
	}
	firstTooSlow, _ := slices.BinarySearch(logTimes, p.medianLogRunTime+math.Log(stretch))
	return 1 - float64(firstTooSlow)/float64(len(logTimes))
}

// avoidedByGangs reports whether gangs avoid a worker because it is slower than most.
func (p *Pool) avoidedByGangs(w *worker) bool {
	now := p.loop.Now()
	if now.Before(w.gangsExcludedUntil) || w.cold(now) {
		return true
	}
	return !p.options.DisabledMechanisms[mechanism.LearnedSpeeds] && w.speed.Exceeds(p.currentMedianLogRunTime(now), slowRatio)
}

// speedKnown reports whether a worker's speed is known and learned speeds are in use.
func (p *Pool) speedKnown(w *worker) bool {
	return !p.options.DisabledMechanisms[mechanism.LearnedSpeeds] && w.speed.Known()
}

// maxSlowness returns the slowness of a unit's slowest worker, rounded to two decimals for logs.
func (p *Pool) maxSlowness(u *unit) float64 {
	slowest, now := 0.0, p.loop.Now()
	for _, m := range u.members {
		if m.worker != nil {
			slowest = max(slowest, p.slowness(m.worker, now))
		}
	}
	return math.Round(100*slowest) / 100
}

// slowness returns a worker's time per work relative to the median worker's; 1 if it is unknown.
func (p *Pool) slowness(w *worker, now time.Time) float64 {
	if !p.speedKnown(w) {
		return 1
	}
	return math.Exp(w.speed.LogTime() - p.currentMedianLogRunTime(now))
}
