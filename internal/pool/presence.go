package pool

import "time"

// presence says whether a run can have been on a worker when that was lost.
type presence int

const (
	// neverThere runs were not started, or their starts were refused or came after the worker
	// had fallen silent: an owner whose listing is old places tasks on workers that have died.
	neverThere presence = iota
	// perhapsThere runs have a start without an answer, on a worker that may have died before.
	perhapsThere
	// surelyThere runs were confirmed, or begun by an earlier owner, or ordered while a hold
	// was open, whose connection the crash reset.
	surelyThere
)

// presenceAt tells whether the member's run was on its worker when that was lost.
func (m *member) presenceAt(at time.Time) presence {
	u := m.unit
	switch {
	case m.state == memberNone, u.startedHere && at.Before(u.startedAt):
		return neverThere
	case !u.startedHere, m.state == memberRunning:
		return surelyThere
	case !m.doubtful:
		return neverThere
	case m.watched:
		return surelyThere
	}
	return perhapsThere
}

// unknownAge is taken for the age of runs that an earlier owner started: between those that
// crash their worker at once and the usual length of a run, some seconds.
const unknownAge = 2 * time.Second

// ageAt is how old the unit's run was at a time.
func (u *unit) ageAt(at time.Time) time.Duration {
	age := at.Sub(u.startedAt)
	if !u.startedHere {
		return max(unknownAge, age)
	}
	return age
}
