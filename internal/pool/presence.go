package pool

import "time"

// presence says whether a run can have been on a worker when the worker was lost.
type presence int

const (
	// neverThere: the run was not started, or its start was refused or sent after the worker had
	// stopped responding. An owner with a stale worker list places tasks on failed workers.
	neverThere presence = iota
	// perhapsThere: the start is unanswered, or an earlier owner wrote the placement. The worker
	// may have failed or been cut off before, and the start may never have been sent.
	perhapsThere
	// surelyThere: the worker confirmed the run.
	surelyThere
)

// presenceAt returns whether the member's run was on its worker when the worker was lost at the
// given time.
func (m *member) presenceAt(at time.Time) presence {
	u := m.unit
	switch {
	case m.state == memberNone, u.startedByThisOwner && at.Before(u.startedAt):
		return neverThere
	case m.wasConfirmed():
		return surelyThere
	case u.startedByThisOwner && !m.startUnanswered:
		return neverThere
	}
	return perhapsThere
}

// wasConfirmed reports whether the worker has confirmed the run to this owner or an earlier one.
func (m *member) wasConfirmed() bool {
	return m.state == memberRunning && !m.incarnationUnknown || m.confirmedBefore
}

// confirmationDelay is how long the write of a confirmed start may be delayed to share a
// transaction with other changes. A later owner needs that row to tell a run that crashed its
// worker from a start that never arrived.
const confirmationDelay = 500 * time.Millisecond

// noteConfirmedStart schedules the write that records a confirmed start.
func (p *Pool) noteConfirmedStart(u *unit) { p.writer.add(u.job, confirmationDelay) }

// unknownAge is the least age assumed for runs that an earlier owner started. It lies between the
// age of runs that crash their worker at once and a typical duration.
const unknownAge = 2 * time.Second

// runAgeAt returns the age of the unit's run at a given time.
func (u *unit) runAgeAt(at time.Time) time.Duration {
	age := at.Sub(u.startedAt)
	if !u.startedByThisOwner {
		return max(unknownAge, age)
	}
	return age
}
