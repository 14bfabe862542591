package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// timelyGains price, by priority, that a unit ends in time: what may be thrown away
// for it, in core-seconds, with a part for each core-second of its own work. The
// last holds for all lower priorities too.
var timelyGains = []struct{ base, perWork float64 }{{600, 6}, {400, 0.5}, {200, 0.1}}

// stopLoss prices, in core-seconds, what a stop of the unit throws away, and its
// lateness if the stop would make it late.
func (p *Pool) stopLoss(u *unit, now time.Time) float64 {
	lost := now.Sub(u.startedAt)
	restart := u.estimate()
	if u.spec().Checkpoints {
		lost = min(lost, p.options.Bounds.CheckpointInterval)
		restart = p.remaining(u, now)
	}
	loss := u.spec().Amount.Cores() * float64(len(u.members)) * lost.Seconds()
	left := u.wantedAt().Sub(now) - u.job.tails[u.step.index] + u.estimate()
	if left > p.remaining(u, now) && left < restart+restartMargin {
		loss += timelyGain(u)
	}
	return loss
}

// restartMargin is how long a stopped unit waits, as a guess, until it runs again.
const restartMargin = 2 * time.Second

// preemptFor stops what is cheapest so that a unit can start, and keeps the room.
// It returns false if the stops would cost more than the start is worth, or nothing
// helps.
func (p *Pool) preemptFor(s *snapshot, u *unit, request *placement.Request) bool {
	places, victims, loss := p.choosePreemption(s, u, request)
	if places == nil {
		return false
	}
	if loss > preemptionGain(u, s.now) && !p.mustBegin(s, u) {
		return false
	}
	p.preempt(s, u, request, places, victims)
	return true
}

// preempt stops victims and keeps the places where a unit will start.
func (p *Pool) preempt(s *snapshot, u *unit, request *placement.Request, places, victims []int) {
	s.promise(victims, places, request.Room)
	if len(victims) > 0 {
		p.pressurePriority = u.job.Queue.Priority
		p.pressureUntil = s.now.Add(pressurePeriod)
	}
	for _, number := range victims {
		p.stopUnit(s.running[number], "preempted")
	}
}

// choosePreemption finds the cheapest stops among the workers that the unit tries first,
// if they are worth it, and else among all.
func (p *Pool) choosePreemption(s *snapshot, u *unit, request *placement.Request) (places, victims []int, loss float64) {
	gain := preemptionGain(u, s.now)
	for _, preferred := range p.preferences(s, u) {
		places, victims, loss = bestPreemption(s, s.scopes(u), narrowed(request, preferred))
		if places != nil && loss <= gain {
			return places, victims, loss
		}
	}
	places, victims, loss = bestPreemption(s, s.scopes(u), request)
	if places != nil {
		return places, victims, loss
	}
	return bestPreemption(s, [][]int{s.racks.All}, request)
}

// promise gives the room of victims to places. What the victims hold beyond that
// is not free before they have stopped, so no other unit of this cycle gets it.
func (s *snapshot) promise(victims, places []int, room taskgraph.Amount) {
	before := map[int]taskgraph.Amount{}
	for _, number := range victims {
		for _, i := range s.units[number].Places {
			if _, known := before[i]; !known {
				before[i] = s.workers[i].Free
			}
			s.workers[i].Free = s.workers[i].Free.Plus(s.units[number].Room)
		}
		s.units[number].Loss = -1
		s.units[number].Places = nil
	}
	placement.Reserve(s.workers, places, room)
	for i, free := range before {
		s.workers[i].Free = s.workers[i].Free.Least(free)
	}
}

// pressing reports whether a unit may stop others: those of priority 0 always, gangs
// of others while their slack is nearly used up.
func (p *Pool) pressing(s *snapshot, u *unit) bool {
	if u.job.Queue.Priority == 0 {
		return true
	}
	slack := u.slack(s.now)
	return !p.options.Off[mechanism.PressingGangs] && len(u.members) > 1 && slack > 0 && slack < time.Duration(pressingShare*float64(u.job.objective))
}

// mustBegin reports whether a guarantee obliges the unit to begin soon.
func (p *Pool) mustBegin(s *snapshot, u *unit) bool {
	latest := u.job.acceptedAt.Add(p.options.Bounds.Reclaim - p.options.Bounds.StopTimeout - reclaimMargin)
	return s.now.After(latest.Add(-tickPeriod)) && p.guaranteed(u.job)
}

// preemptionGain is the loss, in core-seconds, that a unit's start is worth.
func preemptionGain(u *unit, now time.Time) float64 {
	if u.slack(now) <= 0 {
		return gainLate * u.work()
	}
	return timelyGain(u)
}

// timelyGain is what it is worth, in core-seconds, that a unit ends in time.
func timelyGain(u *unit) float64 {
	gain := timelyGains[min(u.job.Queue.Priority, len(timelyGains)-1)]
	return gain.base + gain.perWork*u.work()
}

// work is the unit's estimated work in core-seconds.
func (u *unit) work() float64 {
	spec := u.spec()
	return spec.Amount.Cores() * float64(len(u.members)) * u.estimate().Seconds()
}

func bestPreemption(s *snapshot, scopes [][]int, request *placement.Request) (places, victims []int, lowest float64) {
	for _, scope := range scopes {
		found, stopped, loss := placement.Preempt(s.workers, scope, s.units, request)
		if found != nil && (places == nil || loss < lowest) {
			places, victims, lowest = found, stopped, loss
		}
	}
	return places, victims, lowest
}

// guaranteed reports whether a job's tenant may claim its guarantee for it.
func (p *Pool) guaranteed(j *job) bool {
	if j.Queue.Priority != 0 {
		return false
	}
	used := taskgraph.Amount{}
	for _, other := range p.jobs {
		if other.Tenant == j.Tenant && other.Queue.Priority == 0 && !other.next.Final() {
			for i := range other.Spec.Steps {
				used = used.Plus(other.Spec.Steps[i].Amount.Times(other.Spec.Steps[i].Count))
			}
		}
	}
	return used.GPUs <= p.options.Catalog().Guarantee(j.Tenant).GPUs
}

// lateAt reports whether an urgent unit that could end in time would end late at places that it can have
// now, for the speed of their workers.
func (p *Pool) lateAt(s *snapshot, u *unit, places []int) bool {
	if u.job.Queue.Priority > 0 || u.likelyPoison() || u.runsAlone() {
		return false
	}
	slack, slowest := u.slack(s.now), 1.0
	for _, i := range places {
		slowest = max(slowest, p.slowness(s.owners[i], s.now))
	}
	return slack > 0 && time.Duration((slowest-1)*float64(u.estimate())) > slack
}

// preemptForSpeed stops others on workers that are not slow, for a unit that would be late on those that
// are free, if it then ends in time and is worth it.
func (p *Pool) preemptForSpeed(s *snapshot, u *unit, request *placement.Request) bool {
	fast := narrowed(request, func(i int) bool { return !s.workers[i].Slow && !s.owners[i].reliability.suspect() })
	places, victims, loss := bestPreemption(s, s.scopes(u), fast)
	if places == nil || loss > timelyGain(u) || loss > 0 && u.slack(s.now) < p.options.Bounds.StopTimeout {
		return false
	}
	p.record.Count("preemptions", "speed")
	p.preempt(s, u, request, places, victims)
	return true
}
