package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// What is made of failed runs. A run may fail by its job's own fault, or because its
// worker fails whatever it starts, usually at once. A run that a worker began after its
// last failure and that makes progress shows that the worker works.
const (
	// strikeLimit is how many failures without such a run bring a penalty.
	strikeLimit = 2
	// penalty keeps new work away from a worker that failed or stands still. It is the
	// usual length of such a fault on the platform's days, 5 to 7 s.
	penalty = 6 * time.Second
	// earlyShare of the expected duration, earlyLimit at most, is how soon a run fails whose
	// worker fails whatever it starts: after 33 ms on the platform's days, where a job's own
	// faults come at any time of the run. A run from a checkpoint takes restoreAllowance
	// more: the platform's sites restore in 0.1 to 0.6 s.
	earlyShare       = 0.1
	earlyLimit       = 500 * time.Millisecond
	restoreAllowance = 700 * time.Millisecond
	// provenPeriod is how long the last run that made progress proves a worker sound.
	// Runs of a few seconds prove most busy workers all the time.
	provenPeriod = 3 * time.Second
)

// reliability is what is known of a worker's failures.
type reliability struct {
	// strikes counts failed runs since the last run that shows that the worker works, and
	// early those that failed at once.
	strikes  int
	early    int
	failedAt time.Time
	// soundAt is the latest start of a run that made progress or ended well.
	soundAt time.Time
}

// noteSound notes that a run which was started at a time made progress.
func (r *reliability) noteSound(startedAt time.Time) {
	if startedAt.After(r.failedAt) {
		r.strikes, r.early = 0, 0
	}
	if startedAt.After(r.soundAt) {
		r.soundAt = startedAt
	}
}

// suspect reports whether the worker seems to fail whatever it starts.
func (r *reliability) suspect() bool { return r.early > 0 }

// proven reports whether the worker was shown to work not long ago.
func (r *reliability) proven(now time.Time) bool {
	return r.strikes == 0 && now.Sub(r.soundAt) < provenPeriod
}

// strike notes a failed run of a unit.
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

// cold reports whether the worker is slow for a while after its start. It is as sound as any
// other: gangs go elsewhere if they can, since they are as slow as their slowest member, and
// single tasks may come.
func (w *worker) cold(now time.Time) bool { return now.Before(w.coldUntil) }

// leaveAlone keeps new work off a worker for a while, unless it is just cold.
func (p *Pool) leaveAlone(w *worker, reason string, now time.Time) {
	if w.cold(now) {
		return
	}
	if !now.Before(w.penaltyUntil) {
		p.record.Decided("worker left alone", "worker", w.ID, "reason", reason, "for_ms", penalty.Milliseconds(), "runs", len(w.members))
	}
	w.penaltyUntil = now.Add(penalty)
}

// failedEarly reports whether the unit's run that has just failed did so at once.
func (u *unit) failedEarly(now time.Time) bool {
	limit := min(earlyLimit, time.Duration(earlyShare*float64(u.estimate())))
	if u.resumed {
		limit += restoreAllowance
	}
	return u.startedHere && now.Sub(u.startedAt) < limit
}

// preferences lists which workers a unit tries first, the narrowest choice first. A
// gang is as slow as its slowest member and fails with any of them; a unit that has
// failed before should not lose another attempt to a failing worker.
func (p *Pool) preferences(s *snapshot, u *unit) []func(i int) bool {
	trusted := func(i int) bool {
		return p.options.Off[mechanism.TrustedWorkers] || !s.owners[i].reliability.suspect()
	}
	fast := func(i int) bool { return trusted(i) && !s.workers[i].Slow }
	knownFast := func(i int) bool { return fast(i) && p.speedKnown(s.owners[i]) }
	proven := func(i int) bool { return s.owners[i].reliability.proven(s.now) }
	gang := u.spec().Gang && len(u.members) > 1
	switch {
	case u.lastAttempt() && !p.options.Off[mechanism.TrustedWorkers]:
		return []func(int) bool{proven, trusted}
	case p.hurried(s, u) && p.exploring(s.now):
		return []func(int) bool{knownFast, fast, trusted}
	case gang:
		return []func(int) bool{fast, trusted}
	case u.failures > 0:
		return []func(int) bool{trusted}
	}
	return nil
}

// hurried reports whether a unit would probably be late on a slow worker.
func (p *Pool) hurried(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority == 0 || u.slack(s.now) < u.estimate()
}

// lastAttempt reports whether one more failure ends the unit's job.
func (u *unit) lastAttempt() bool {
	return u.failures > 0 && u.failures >= u.job.Queue.MaxAttempts-1 && !u.spec().LongRunning
}

// narrowed returns a request that only some workers may take.
func narrowed(request *placement.Request, allowed func(i int) bool) *placement.Request {
	narrow := *request
	narrow.Allowed = func(i int) bool {
		return allowed(i) && (request.Allowed == nil || request.Allowed(i))
	}
	return &narrow
}
