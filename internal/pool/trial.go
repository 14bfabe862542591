package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/poison"
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
)

// suspected reports whether a member of the unit may crash workers.
func (u *unit) suspected() bool {
	for _, m := range u.suspects() {
		if m.losses.Verdict() != poison.Sound {
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
	return u.state == unitCommitting || u.state == unitActive && now.Sub(u.startedAt) < trialPeriod
}

// trialPlaces lists which workers a suspect tries first.
func (s *snapshot) trialPlaces() []func(i int) bool {
	empty := func(i int) bool { return len(s.owners[i].members) == 0 }
	apart := func(i int) bool {
		for _, m := range s.owners[i].members {
			if m.unit.suspected() {
				return false
			}
		}
		return true
	}
	return []func(int) bool{empty, apart}
}

// closeToOthers keeps further units of this cycle off workers.
func (s *snapshot) closeToOthers(places []int) {
	for _, place := range places {
		s.workers[place].Usable = false
	}
}
