package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// What is learned of workers' speeds, from all work that tells it. The members of a gang are equal
// tasks that began together; the tasks of a step that run by themselves are alike, though not equal.
const (
	// leastPercent is the progress from which a run tells its time.
	leastPercent = 3
	// surePercent is the progress from which a task by itself tells its worker's speed: what it is told
	// by is known to a twentieth.
	surePercent = 10
	// slowRatio is the time, against the median worker's, from which a worker is left to
	// tasks that no others wait for.
	slowRatio = 1.12
	// medianPeriod is how old the median worker's time may be.
	medianPeriod = 250 * time.Millisecond
)

// noteRate keeps how long a run takes as a whole, by the progress that its worker lists.
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

// tellsSpeed reports whether the time of the unit's run depends on its work and its workers alone.
func (u *unit) tellsSpeed() bool {
	return u.startedHere && !u.resumed && !u.spec().LongRunning && !u.awayFromData()
}

// awayFromData reports whether a task runs elsewhere than where its data lies, which takes longer.
func (u *unit) awayFromData() bool {
	rack := u.spec().PreferredRack
	if rack == "" {
		return false
	}
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.worker != nil && m.worker.rack != rack })
}

// learnFromGang compares the members of a gang, once a run, as soon as all have told their times.
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

// expectedWork is what is known of the work of a unit's members before they began.
func (p *Pool) expectedWork(u *unit) speeds.Work {
	model := p.durations[u.job.Queue.Name]
	if model == nil || u.spec().Estimate() <= 0 {
		return speeds.Work{}
	}
	return speeds.Work{LogTime: math.Log(u.estimate().Seconds()) + p.medianTime(p.loop.Now()), Variance: model.variance()}
}

// noteTaskDone takes in how long a task took that ended well.
func (p *Pool) noteTaskDone(u *unit) {
	m := u.members[0]
	if len(u.members) != 1 || m.worker == nil || u.runningSince.IsZero() || !u.tellsSpeed() {
		return
	}
	took := max(time.Millisecond, p.loop.Now().Sub(u.runningSince))
	u.step.cohort.Note(&m.inCohort, &m.worker.speed, math.Log(took.Seconds()))
	p.learnFromTask(u)
}

// learnFromTask compares a task with the others of its step, once a run.
func (p *Pool) learnFromTask(u *unit) {
	m := u.members[0]
	if u.comparedRun == u.run || m.worker.cold(p.loop.Now()) {
		return
	}
	if u.step.cohort.Learn(&m.inCohort, &m.worker.speed, &p.taskSpread) {
		u.comparedRun = u.run
	}
}

// medianTime returns the logarithm of the median worker's time per work.
func (p *Pool) medianTime(now time.Time) float64 {
	if now.Sub(p.medianAt) < medianPeriod {
		return p.medianLogTime
	}
	p.medianAt = now
	var known []float64
	for _, w := range p.workers {
		if w.speed.Known() {
			known = append(known, w.speed.LogTime())
		}
	}
	p.medianLogTime, p.tooSlowShare = 0, 0
	if len(known) > 0 {
		slices.Sort(known)
		p.medianLogTime = known[len(known)/2]
		p.tooSlowShare = p.shareOfTooSlow(known)
	}
	return p.medianLogTime
}

// shareOfTooSlow returns the share of workers, by the sorted logarithms of their times, on which the least
// patient queue's jobs end late.
func (p *Pool) shareOfTooSlow(known []float64) float64 {
	stretch, found := p.leastStretch()
	if !found {
		return 0
	}
	first, _ := slices.BinarySearch(known, p.medianLogTime+math.Log(stretch))
	return 1 - float64(first)/float64(len(known))
}

// slow reports whether a worker takes longer than most.
func (p *Pool) slow(w *worker) bool {
	now := p.loop.Now()
	if now.Before(w.slowUntil) || w.cold(now) {
		return true
	}
	return !p.options.Off[mechanism.LearnedSpeeds] && w.speed.Exceeds(p.medianTime(now), slowRatio)
}

// speedKnown reports whether a worker's speed is known and goes into decisions.
func (p *Pool) speedKnown(w *worker) bool {
	return !p.options.Off[mechanism.LearnedSpeeds] && w.speed.Known()
}

// slowestOf is the slowness of the slowest worker of a unit, rounded for logs.
func (p *Pool) slowestOf(u *unit) float64 {
	slowest, now := 0.0, p.loop.Now()
	for _, m := range u.members {
		if m.worker != nil {
			slowest = max(slowest, p.slowness(m.worker, now))
		}
	}
	return math.Round(100*slowest) / 100
}

// slowness is how many times longer a worker takes than the median one, 1 if it is not known.
func (p *Pool) slowness(w *worker, now time.Time) float64 {
	if !p.speedKnown(w) {
		return 1
	}
	return math.Exp(w.speed.LogTime() - p.medianTime(now))
}
