package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Where units run under which workers were lost. The next run of each tells sound ones from
// those that crash workers, if no other suspect and nothing new is beside it; and it takes
// down least on an empty worker.
const (
	// trialPeriod is how long after its start nothing new joins a suspect. Most tasks that
	// crash workers do so at once.
	trialPeriod = time.Second
	// trialPatience is how long a suspect waits for a worker without another suspect. Its
	// last run was lost some 3 s before.
	trialPatience = 500 * time.Millisecond
	// aloneLosses is how many lost workers, whatever the odds, make a unit run alone on its
	// workers. The platform allows two starts after three losses of a task that crashes its
	// workers: both have to tell it from a sound one.
	aloneLosses = 3
)

// judged reports whether the verdict of a member of the unit is one of some.
func (u *unit) judged(verdicts ...poison.Verdict) bool {
	for _, m := range u.suspects() {
		if slices.Contains(verdicts, m.losses.Verdict()) {
			return true
		}
	}
	return false
}

// suspected reports whether a member of the unit may well crash workers.
func (u *unit) suspected() bool {
	return u.judged(poison.Suspected, poison.PoisonByOdds, poison.PoisonByLimit)
}

// doubtful reports whether workers were lost under the unit with no better cause known.
func (u *unit) doubtful() bool { return u.suspected() || u.judged(poison.Doubtful) }

// runsAlone reports whether the unit's next run has to tell whether it crashes its workers: it
// begins on empty workers only, waits for them, and nothing joins it before it has ended. Beside
// other suspects a run proves nothing: in a full pool with one such task in eleven jobs, 3 of 3,200
// sound jobs lost five workers to others (8 seeds of 440 jobs in virtual time).
func (u *unit) runsAlone() bool {
	for _, m := range u.suspects() {
		if m.losses.Count() >= aloneLosses || m.losses.Count() > 1 && m.losses.Suspicious() {
			return true
		}
	}
	return false
}

// likelyPoison reports whether the unit is more likely to crash its workers than not. Others
// are not stopped for it.
func (u *unit) likelyPoison() bool {
	for _, m := range u.suspects() {
		if m.losses.Odds() >= 1 {
			return true
		}
	}
	return false
}

// onTrial reports whether the unit is a suspect that is being started or was just started.
func (u *unit) onTrial(now time.Time) bool {
	if u.lossGroup == nil || !u.suspected() {
		return false
	}
	begun := u.state == unitActive && (now.Sub(u.startedAt) < trialPeriod || u.runsAlone())
	return u.state == unitCommitting || begun
}

// findTrialPlace looks for room for a unit under which workers were lost and whose next run
// may tell why.
func (p *Pool) findTrialPlace(s *snapshot, u *unit, visible *placement.Request) []int {
	if u.runsAlone() {
		return placement.Fit(s.workers, s.racks.All, s.onEmptyWorkers(visible))
	}
	for _, preferred := range s.trialPlaces(u) {
		if places := p.fitByScope(s, u, narrowed(visible, preferred), visible); places != nil {
			return places
		}
	}
	if u.suspected() && s.now.Sub(u.readyAt) < trialPatience {
		return nil
	}
	return p.fitByScope(s, u, visible, visible)
}

// onEmptyWorkers narrows a request to workers on which nothing runs, or will run once units
// of a what-if have left.
func (s *snapshot) onEmptyWorkers(request *placement.Request) *placement.Request {
	narrow := *request
	narrow.Limit = func(i int, free taskgraph.Amount) taskgraph.Amount {
		if free != s.workers[i].Capacity {
			return taskgraph.Amount{}
		}
		if request.Limit != nil {
			return request.Limit(i, free)
		}
		return free
	}
	return &narrow
}

// reserveAlone keeps the workers that are empty first for a unit that runs alone on them.
func (s *snapshot) reserveAlone(u *unit, request *placement.Request) {
	promise := s.earliest(u, s.onEmptyWorkers(request))
	if promise == nil {
		return
	}
	for i := range promise.Spare {
		promise.Spare[i] = taskgraph.Amount{}
	}
	s.reserveFor(u, request, promise)
}

// trialPlaces lists which workers a unit tries first that is not beyond doubt.
func (s *snapshot) trialPlaces(u *unit) []func(i int) bool {
	empty := func(i int) bool { return len(s.owners[i].members) == 0 }
	apart := func(i int) bool {
		for _, m := range s.owners[i].members {
			if m.unit.doubtful() {
				return false
			}
		}
		return true
	}
	if u.suspected() {
		return []func(int) bool{empty, apart}
	}
	return []func(int) bool{apart}
}

// closeToOthers keeps further units of this cycle off workers.
func (s *snapshot) closeToOthers(places []int) {
	for _, place := range places {
		s.workers[place].Usable = false
	}
}
