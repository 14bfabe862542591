package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Handling of failed runs. A run fails because of its job, at any time, or because its worker
// fails all runs, usually at once. A run that started after the worker's last failure and makes
// progress shows that the worker is healthy.
const (
	// strikeLimit is the number of failures without such a run that excludes a worker.
	strikeLimit = 2
	// penalty is how long a worker that failed or stalled gets no new work. Such faults last 5
	// to 7 s on the platform.
	penalty = 6 * time.Second
	// A failure is early, and so attributed to the worker, within earlyShare of the expected
	// duration and earlyLimit. A run resumed from a checkpoint gets restoreAllowance more, since
	// a restore takes up to 0.6 s.
	earlyShare       = 0.1
	earlyLimit       = 500 * time.Millisecond
	restoreAllowance = 700 * time.Millisecond
	// provenPeriod is how long after its start a run that made progress shows its worker to be
	// healthy.
	provenPeriod = 3 * time.Second
)

// reliability is the record of a worker's failures.
type reliability struct {
	// strikes counts the failed runs since the worker was last known to be healthy, and early
	// those of them that failed early.
	strikes  int
	early    int
	failedAt time.Time
	// soundAt is the latest start of a run that made progress or completed.
	soundAt time.Time
}

// noteSound records that a run with the given start made progress.
func (r *reliability) noteSound(startedAt time.Time) {
	if startedAt.After(r.failedAt) {
		r.strikes, r.early = 0, 0
	}
	if startedAt.After(r.soundAt) {
		r.soundAt = startedAt
	}
}

// suspect reports whether the worker seems to fail all runs.
func (r *reliability) suspect() bool { return r.early > 0 }

// proven reports whether the worker was recently known to be healthy.
func (r *reliability) proven(now time.Time) bool {
	return r.strikes == 0 && now.Sub(r.soundAt) < provenPeriod
}

// strike records a failed run of a unit, and excludes the worker after strikeLimit of them.
func (p *Pool) strike(w *worker, u *unit) {
	now := p.loop.Now()
	w.reliability.strikes++
	if u.failedEarly(now) {
		w.reliability.early++
	}
	w.reliability.failedAt = now
	if w.reliability.strikes >= strikeLimit {
		w.penaltyUntil = now.Add(penalty)
		p.record.Decided("worker judged bad", "worker", w.ID, "strikes", w.reliability.strikes)
	}
}

// cold reports whether the worker is still slow after its start. It is healthy: single tasks may
// run there, and gangs avoid it since they are as slow as their slowest member.
func (w *worker) cold(now time.Time) bool { return now.Before(w.coldUntil) }

// leaveAlone excludes a worker from new work for the duration of penalty, unless it is cold.
func (p *Pool) leaveAlone(w *worker, reason string, now time.Time) {
	if w.cold(now) {
		return
	}
	if !now.Before(w.penaltyUntil) {
		p.record.Decided("worker left alone", "worker", w.ID, "reason", reason, "for_ms", penalty.Milliseconds(), "runs", len(w.members))
	}
	w.penaltyUntil = now.Add(penalty)
}

// failedEarly reports whether the unit's run, which has just failed, did so early.
func (u *unit) failedEarly(now time.Time) bool {
	limit := min(earlyLimit, time.Duration(earlyShare*float64(u.estimate())))
	if u.resumed {
		limit += restoreAllowance
	}
	return u.startedHere && now.Sub(u.startedAt) < limit
}

// preferences returns the preferred workers of a unit, the narrowest choice first. A gang is as
// slow as its slowest member and fails if any member fails; a unit that has failed before should
// not lose another attempt to a failing worker.
func (p *Pool) preferences(s *snapshot, u *unit) []func(i int) bool {
	notFailing := func(i int) bool {
		return p.options.Off[mechanism.TrustedWorkers] || !s.poolWorkers[i].reliability.suspect()
	}
	fast := func(i int) bool { return notFailing(i) && !s.workers[i].Slow }
	measuredFast := func(i int) bool { return fast(i) && p.speedKnown(s.poolWorkers[i]) }
	healthy := func(i int) bool { return s.poolWorkers[i].reliability.proven(s.now) }
	gang := u.spec().Gang && len(u.members) > 1
	switch {
	case u.lastAttempt() && !p.options.Off[mechanism.TrustedWorkers]:
		return []func(int) bool{healthy, notFailing}
	case p.hurried(s, u) && p.exploring(s.now):
		return []func(int) bool{measuredFast, fast, notFailing}
	case gang:
		return []func(int) bool{fast, notFailing}
	case u.failures > 0:
		return []func(int) bool{notFailing}
	}
	return nil
}

// hurried reports whether a unit would probably miss its objective on a slow worker.
func (p *Pool) hurried(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority == 0 || u.slack(s.now) < u.estimate()
}

// lastAttempt reports whether one more failure ends the unit's job.
func (u *unit) lastAttempt() bool {
	return u.failures > 0 && u.failures >= u.job.Queue.MaxAttempts-1 && !u.spec().LongRunning
}

// narrowed returns a request that is restricted to allowed workers.
func narrowed(request *placement.Request, allowed func(i int) bool) *placement.Request {
	restricted := *request
	restricted.Allowed = func(i int) bool {
		return allowed(i) && (request.Allowed == nil || request.Allowed(i))
	}
	return &restricted
}
