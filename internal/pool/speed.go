package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// Estimation of worker speeds from runs. The members of a gang are equal tasks that start together;
// the single tasks of a step are similar, not equal.
const (
	// leastPercent is the minimum progress for a projection of a run's duration.
	leastPercent = 3
	// surePercent is the minimum progress of a single task for an estimate of its worker's speed.
	// The rounding error of the projection is then at most a twentieth.
	surePercent = 10
	// slowRatio is the time per work, relative to the median worker's, from which gangs avoid a
	// worker.
	slowRatio = 1.12
	// medianPeriod is the maximum age of the cached median.
	medianPeriod = 250 * time.Millisecond
)

// noteRate updates a run's projected duration from the progress that its worker reported.
func (p *Pool) noteRate(m *member, percent int, now time.Time) {
	u := m.unit
	if percent < leastPercent || percent >= atWork || u.runningSince.IsZero() || !u.tellsSpeed() {
		return
	}
	elapsed := now.Sub(u.runningSince)
	if elapsed <= 0 {
		return
	}
	m.logTime = math.Log(elapsed.Seconds() * 100 / float64(percent))
	m.timedPercent = percent
	if len(u.members) == 1 {
		u.step.cohort.Note(&m.inCohort, &m.worker.speed, m.logTime)
		if percent >= surePercent {
			p.learnFromTask(u)
		}
	}
}

// tellsSpeed reports whether the duration of the unit's run depends only on its work and its workers.
func (u *unit) tellsSpeed() bool {
	return u.startedHere && !u.resumed && !u.spec().LongRunning && !u.awayFromData()
}

// awayFromData reports whether a member runs outside the unit's preferred rack, which takes longer.
func (u *unit) awayFromData() bool {
	rack := u.spec().PreferredRack
	if rack == "" {
		return false
	}
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.worker != nil && m.worker.rack != rack })
}

// learnFromGang updates the speeds of a gang's workers, once per run, when all members have a projected
// duration.
func (p *Pool) learnFromGang(u *unit) {
	if u.comparedRun == u.run || len(u.members) < 2 || !u.tellsSpeed() {
		return
	}
	now := p.loop.Now()
	var samples []speeds.Sample
	for _, m := range u.members {
		if m.worker == nil || m.timedPercent == 0 {
			return
		}
		if !m.worker.cold(now) {
			samples = append(samples, speeds.Sample{Worker: &m.worker.speed, LogTime: m.logTime, Variance: speeds.RoundingVariance(m.timedPercent)})
		}
	}
	u.comparedRun = u.run
	speeds.Compare(samples, p.expectedWork(u))
	u.slowness = p.slowestOf(u)
}

// expectedWork returns the prior estimate of the work of a unit's members.
func (p *Pool) expectedWork(u *unit) speeds.Work {
	model := p.durations[u.job.Queue.Name]
	if model == nil || u.spec().Estimate() <= 0 {
		return speeds.Work{}
	}
	return speeds.Work{LogTime: math.Log(u.estimate().Seconds()) + p.medianTime(p.loop.Now()), Variance: model.variance()}
}

// noteTaskDone updates its worker's speed from the duration of a completed single task.
func (p *Pool) noteTaskDone(u *unit) {
	m := u.members[0]
	if len(u.members) != 1 || m.worker == nil || u.runningSince.IsZero() || !u.tellsSpeed() {
		return
	}
	duration := max(time.Millisecond, p.loop.Now().Sub(u.runningSince))
	u.step.cohort.Note(&m.inCohort, &m.worker.speed, math.Log(duration.Seconds()))
	p.learnFromTask(u)
}

// learnFromTask updates a worker's speed from a single task compared with others of its step, once per
// run.
func (p *Pool) learnFromTask(u *unit) {
	m := u.members[0]
	if u.comparedRun == u.run || m.worker.cold(p.loop.Now()) {
		return
	}
	if u.step.cohort.Learn(&m.inCohort, &m.worker.speed, &p.taskSpread) {
		u.comparedRun = u.run
	}
}

// medianTime returns the logarithm of the median worker's time per work, cached for medianPeriod.
func (p *Pool) medianTime(now time.Time) float64 {
	if now.Sub(p.medianAt) < medianPeriod {
		return p.medianLogTime
	}
	p.medianAt = now
	var logTimes []float64
	for _, w := range p.workers {
		if w.speed.Known() {
			logTimes = append(logTimes, w.speed.LogTime())
		}
	}
	p.medianLogTime, p.tooSlowShare = 0, 0
	if len(logTimes) > 0 {
		slices.Sort(logTimes)
		p.medianLogTime = logTimes[len(logTimes)/2]
		p.tooSlowShare = p.shareOfTooSlow(logTimes)
	}
	return p.medianLogTime
}

// shareOfTooSlow returns the share of workers, given their sorted log times, on which jobs of the queue
// with the smallest stretch miss their objective.
func (p *Pool) shareOfTooSlow(logTimes []float64) float64 {
	stretch, found := p.minStretch()
	if !found {
		return 0
	}
	firstTooSlow, _ := slices.BinarySearch(logTimes, p.medianLogTime+math.Log(stretch))
	return 1 - float64(firstTooSlow)/float64(len(logTimes))
}

// slow reports whether gangs avoid a worker because it is slower than most.
func (p *Pool) slow(w *worker) bool {
	now := p.loop.Now()
	if now.Before(w.slowUntil) || w.cold(now) {
		return true
	}
	return !p.options.Off[mechanism.LearnedSpeeds] && w.speed.Exceeds(p.medianTime(now), slowRatio)
}

// speedKnown reports whether a worker's speed is known and learned speeds are in use.
func (p *Pool) speedKnown(w *worker) bool {
	return !p.options.Off[mechanism.LearnedSpeeds] && w.speed.Known()
}

// slowestOf returns the slowness of a unit's slowest worker, rounded to two decimals for logs.
func (p *Pool) slowestOf(u *unit) float64 {
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
	return math.Exp(w.speed.LogTime() - p.medianTime(now))
}
