package pool

import (
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Minimum time between two cycles while unplaced units remain: cyclePause, and at least
// cycleRest times the duration of the last cycle. This leaves three quarters of the processor
// to run ends, commands and pings when many units wait in a large pool.
const (
	cyclePause = 10 * time.Millisecond
	cycleRest  = 3
)

// pauseAfter returns the minimum pause after a cycle of the given duration that left units
// unplaced.
func pauseAfter(cycleDuration time.Duration) time.Duration {
	return max(cyclePause, cycleRest*cycleDuration)
}

// wake schedules a scheduling cycle unless one is scheduled already.
func (p *Pool) wake() {
	if p.waking || !p.loaded || p.gone || p.releasing {
		return
	}
	p.waking = true
	pause := p.lastCycle.Add(pauseAfter(p.cycleTook)).Sub(p.loop.Now())
	if !p.crowded || pause <= 0 {
		p.loop.Post(p.runCycle)
		return
	}
	p.loop.After(pause, p.runCycle)
}

func (p *Pool) runCycle() {
	p.waking = false
	if !p.gone && !p.releasing {
		p.cycle()
	}
}

// cycle places waiting units in the order of compareUnits.
func (p *Pool) cycle() {
	startedAt := p.loop.Now()
	waiting := p.waitingUnits()
	p.crowded = false
	if len(waiting) == 0 || !p.accountsKnown() {
		return
	}
	s := p.snapshot()
	unplaceable := map[placementClass]bool{}
	for _, u := range waiting {
		if u.state != unitWaiting || p.giveUpPoison(u) {
			continue
		}
		class := classOf(u)
		if unplaceable[class] {
			continue
		}
		if p.place(s, u) {
			continue
		}
		p.crowded = true
		if len(u.avoid) == 0 && !u.suspected() {
			unplaceable[class] = true
		}
	}
	p.lastCycle = p.loop.Now()
	p.cycleTook = p.lastCycle.Sub(startedAt)
	p.record.Observe("cycle", p.cycleTook)
}

// openUnits yields the units of jobs that have not ended, in unspecified order.
func (p *Pool) openUnits() iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		for _, j := range p.jobs {
			if j.next.Final() {
				continue
			}
			for _, t := range j.times {
				for _, s := range t.steps {
					for _, u := range s.units {
						if !yield(u) {
							return
						}
					}
				}
			}
		}
	}
}

// waitingUnits returns the units that wait for a placement, in the order of compareUnits.
func (p *Pool) waitingUnits() []*unit {
	var waiting []*unit
	for u := range p.openUnits() {
		if u.state == unitWaiting {
			waiting = append(waiting, u)
		}
	}
	now := p.loop.Now()
	timelyFirst := !p.options.Off[mechanism.TimelyFirst]
	slices.SortFunc(waiting, func(a, b *unit) int { return compareUnits(a, b, now, timelyFirst) })
	return waiting
}

// compareUnits orders units by priority, then those that can still meet their objective
// before those that cannot, then by the job's time of acceptance.
func compareUnits(a, b *unit, now time.Time, timelyFirst bool) int {
	if a.job.Queue.Priority != b.job.Queue.Priority {
		return a.job.Queue.Priority - b.job.Queue.Priority
	}
	if late := a.late(now); timelyFirst && late != b.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if order := a.job.acceptedAt.Compare(b.job.acceptedAt); order != 0 {
		return order
	}
	if order := strings.Compare(a.job.id, b.job.id); order != 0 {
		return order
	}
	if a.time.number != b.time.number {
		return a.time.number - b.time.number
	}
	if a.step.index != b.step.index {
		return a.step.index - b.step.index
	}
	return a.index - b.index
}

// late reports whether a unit can no longer meet its objective; false for priority 0.
func (u *unit) late(now time.Time) bool {
	return u.job.Queue.Priority > 0 && u.slack(now) < 0
}

// place assigns a unit to workers. If it finds none it preempts other units or reserves
// resources for the unit, and returns false.
func (p *Pool) place(s *snapshot, u *unit) bool {
	request := s.request(u)
	if places := p.findPlace(s, u, request); places != nil {
		if p.lateAt(s, u, places) && p.preemptForSpeed(s, u, request) {
			return false
		}
		p.beginAt(s, u, request, places)
		return true
	}
	p.noteWait(s, u, request)
	if u.runsAlone() {
		s.reserveAlone(u, request)
		return false
	}
	if !u.likelyPoison() && p.pressing(s, u) && p.preemptFor(s, u, request) {
		return false
	}
	if !p.options.Off[mechanism.Reservations] {
		s.reserveFor(u, request, s.earliest(u, request))
	}
	return false
}

func (p *Pool) beginAt(s *snapshot, u *unit, request *placement.Request, places []int) {
	placement.Reserve(s.workers, places, request.Room)
	workers := make([]*worker, len(places))
	for i, place := range places {
		workers[i] = s.owners[place]
	}
	p.begin(u, workers)
	if u.suspected() {
		s.closeToOthers(places)
	}
}
