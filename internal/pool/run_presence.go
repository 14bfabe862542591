package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

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
func (p *Pool) scheduleConfirmationWrite(u *unit) {
	p.writer.add(u.job, writequeue.Note, confirmedStartWriteDelay)
}

// assumedRunAge is the least age assumed for runs that an earlier owner started at an unknown time.
// It lies between the age of runs that crash their worker soon after the start and a typical
// duration.
const assumedRunAge = 2 * time.Second

// runAgeAt returns the age of the unit's run when its worker was lost, and whether the age is only
// an estimate. The end of a run is not known if an earlier owner started the run and this owner has
// not observed the loss.
func (u *unit) runAgeAt(loss *poison.Loss) (age time.Duration, estimated bool) {
	switch {
	case u.startedByThisOwner:
		return loss.At.Sub(u.startedAt), false
	case u.earlierStartAt.IsZero(), loss.Unobserved, loss.At.Before(u.earlierStartAt):
		return max(assumedRunAge, loss.At.Sub(u.startedAt)), true
	}
	return loss.At.Sub(u.earlierStartAt), false
}

// startedAfterMillis returns the time from the job's acceptance to the start of the unit's run, as
// rows hold it: in milliseconds, at least 1. Wall clocks of two nodes may differ.
func (p *Pool) startedAfterMillis(u *unit) int64 {
	return max(1, p.loop.TimeOfDay().Sub(u.job.AcceptedAt()).Milliseconds())
}

// restoreStartTime restores the time at which an earlier owner started the unit's run. A time that
// has not come yet by this node's wall clock is ignored.
func (p *Pool) restoreStartTime(u *unit, startedAfterMillis int64) {
	u.startedAfterMillis = startedAfterMillis
	startedAt := u.job.AcceptedAt().Add(time.Duration(startedAfterMillis) * time.Millisecond)
	age := p.loop.TimeOfDay().Sub(startedAt)
	if startedAfterMillis > 0 && age >= 0 {
		u.earlierStartAt = p.loop.Now().Add(-age)
	}
}
