package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// What is learned of workers' speeds. The members of a gang are equal tasks that began
// together, so their progress tells their workers' speeds apart.
const (
	// leastPercent is the progress from which a member's rate is exact enough.
	leastPercent = 10
	// priorGangs is the weight, in gangs, of the assumption that workers are alike, and
	// speedMemory bounds the weight of what was learned, so that it can change.
	priorGangs  = 0.5
	speedMemory = 6.0
	// slowRatio is the time, against the median worker's, from which a worker is left to
	// tasks that no others wait for.
	slowRatio = 1.12
)

// speed is what is known of one worker's speed.
type speed struct {
	// logSum adds up the logarithms of the time per work, against others'.
	logSum float64
	gangs  float64
}

// logTime estimates the logarithm of the worker's time per work against others'.
func (s *speed) logTime() float64 { return s.logSum / (s.gangs + priorGangs) }

func (s *speed) learn(logTime float64) {
	if s.gangs >= speedMemory {
		s.logSum *= (speedMemory - 1) / s.gangs
		s.gangs = speedMemory - 1
	}
	s.logSum += logTime
	s.gangs++
}

// noteRate keeps how fast a member of a gang has come on, by what its worker lists.
func (m *member) noteRate(percent int, now time.Time) {
	u := m.unit
	if len(u.members) < 2 || !u.startedHere || u.resumed || percent < leastPercent || percent >= atWork {
		return
	}
	if elapsed := now.Sub(u.startedAt); elapsed > 0 {
		m.logTime = math.Log(elapsed.Seconds() / float64(percent))
		m.timed = true
	}
}

// learnSpeeds compares the members of a gang that has ended well.
func (p *Pool) learnSpeeds(u *unit) {
	base, count := 0.0, 0
	for _, m := range u.members {
		if m.timed && m.worker != nil {
			base += m.logTime - m.worker.speed.logTime()
			count++
		}
	}
	if count < 2 {
		return
	}
	base /= float64(count)
	for _, m := range u.members {
		if m.timed && m.worker != nil {
			m.worker.speed.learn(m.logTime - base)
		}
	}
	p.medianLogTime = p.findMedianLogTime()
}

// findMedianLogTime returns the median of the known workers' logTime.
func (p *Pool) findMedianLogTime() float64 {
	var known []float64
	for _, w := range p.workers {
		if w.speed.gangs > 0 {
			known = append(known, w.speed.logTime())
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// slow reports whether a worker takes longer than most.
func (p *Pool) slow(w *worker) bool {
	if now := p.loop.Now(); now.Before(w.slowUntil) || w.cold(now) {
		return true
	}
	if p.options.Off[mechanism.LearnedSpeeds] {
		return false
	}
	return w.speed.gangs > 0 && w.speed.logTime()-p.medianLogTime > math.Log(slowRatio)
}
