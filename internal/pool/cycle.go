package pool

import (
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Between two cycles while units wait that the last one could not place, the least time
// is cyclePause, since most of what happens then changes nothing for them, and cycleRest
// times what the last one took. So cycles leave three quarters of the processor to ends,
// orders and pings, which else come late when many units wait in a large pool.
const (
	cyclePause = 10 * time.Millisecond
	cycleRest  = 3
)

// pauseAfter is the least time to the next cycle after one that took a while and left
// units waiting.
func pauseAfter(took time.Duration) time.Duration { return max(cyclePause, cycleRest*took) }

// wake runs a scheduling cycle soon.
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

// cycle places waiting units, the most pressing first.
func (p *Pool) cycle() {
	began := p.loop.Now()
	waiting := p.waitingUnits()
	p.crowded = false
	if len(waiting) == 0 || !p.accountsKnown() {
		return
	}
	s := p.snapshot()
	refused := map[placementClass]bool{}
	for _, u := range waiting {
		if u.state != unitWaiting || p.giveUpPoison(u) {
			continue
		}
		class := classOf(u)
		if refused[class] {
			continue
		}
		if p.place(s, u) {
			continue
		}
		p.crowded = true
		if len(u.avoid) == 0 && !u.suspected() {
			refused[class] = true
		}
	}
	p.lastCycle = p.loop.Now()
	p.cycleTook = p.lastCycle.Sub(began)
	p.record.Observe("cycle", p.cycleTook)
}

// openUnits yields the units of jobs that have not ended, in no order.
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

// waitingUnits lists the units that want a place, the most pressing first.
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

// compareUnits orders units by priority; among equals those that can still end in
// time come before those that are late already, and then the oldest.
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

// late reports whether a unit without priority 0 can no longer end in time.
func (u *unit) late(now time.Time) bool {
	return u.job.Queue.Priority > 0 && u.slack(now) < 0
}

// place finds a place for a unit and begins it. It returns false if none is found.
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
