package pool

import "time"

// runPresence says whether a run may have been on its worker when the worker was lost.
type runPresence int

const (
	// notStarted: the run was not started, or its start was refused or sent after the worker had
	// stopped responding. An owner with a stale worker list places tasks on failed workers.
	notStarted runPresence = iota
	// possiblyStarted: the start is unanswered, or an earlier owner wrote the placement. The worker
	// may have failed or become unreachable before the start, and the start may never have been
	// sent.
	possiblyStarted
	// confirmedStarted: the worker confirmed the run.
	confirmedStarted
)

// runPresenceAt returns whether the member's run was on its worker when the worker was lost at the
// given time.
func (m *member) runPresenceAt(at time.Time) runPresence {
	u := m.unit
	switch {
	case m.state == memberWithoutRun, u.startedByThisOwner && at.Before(u.startedAt):
		return notStarted
	case m.wasConfirmed():
		return confirmedStarted
	case u.startedByThisOwner && !m.startUnanswered:
		return notStarted
	}
	return possiblyStarted
}

// wasConfirmed reports whether the worker has confirmed the run to this owner or an earlier one.
func (m *member) wasConfirmed() bool {
	return m.state == memberRunning && !m.incarnationUnknown || m.confirmedToEarlierOwner
}

// confirmedStartWriteDelay is how long the write of a confirmed start may be delayed to share a
// transaction with other changes. From the written row, a later owner can tell a run that crashed
// its worker from a start that never arrived.
const confirmedStartWriteDelay = 500 * time.Millisecond

// scheduleConfirmationWrite schedules the write that records a confirmed start.
func (p *Pool) scheduleConfirmationWrite(u *unit) { p.writer.add(u.job, confirmedStartWriteDelay) }

// assumedRunAge is the least age assumed for runs that an earlier owner started. It lies between
// the age of runs that crash their worker soon after the start and a typical duration.
const assumedRunAge = 2 * time.Second

// runAgeAt returns the age of the unit's run at a given time.
func (u *unit) runAgeAt(at time.Time) time.Duration {
	age := at.Sub(u.startedAt)
	if !u.startedByThisOwner {
		return max(assumedRunAge, age)
	}
	return age
}
