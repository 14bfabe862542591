package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Handling of failed runs. A run may fail because of its job, at any time. It may also fail because
// its worker fails all runs, usually soon after their start. The worker is known to be healthy once
// a run that started after the worker's last failure makes progress.
const (
	// failureLimit is the number of failures, since a worker was last known to be healthy, from
	// which the worker is excluded.
	failureLimit = 2
	// exclusionPeriod is how long a worker that failed or stalled gets no new work.
	exclusionPeriod = 6 * time.Second
	// An early failure is attributed to the worker. A failure is early before earlyFailureLimit and
	// before earlyFailureShare of the expected duration have passed. For a run resumed from a
	// checkpoint both limits are extended by restoreAllowance, for the time of the restore.
	earlyFailureShare = 0.1
	earlyFailureLimit = 500 * time.Millisecond
	restoreAllowance  = 700 * time.Millisecond
	// healthyPeriod is how long a worker counts as recently healthy. It begins with the start of a
	// run that made progress.
	healthyPeriod = 3 * time.Second
)

// reliability is the record of a worker's failures.
type reliability struct {
	// failures counts the failed runs since the worker was last known to be healthy. earlyFailures
	// counts the runs among them that failed early.
	failures      int
	earlyFailures int
	failedAt      time.Time
	// healthyAt is the latest start of a run that made progress or completed.
	healthyAt time.Time
}

// recordProgress records that a run with the given start made progress.
func (r *reliability) recordProgress(startedAt time.Time) {
	if startedAt.After(r.failedAt) {
		r.failures, r.earlyFailures = 0, 0
	}
	if startedAt.After(r.healthyAt) {
		r.healthyAt = startedAt
	}
}

// failsEarly reports whether the worker seems to fail all runs.
func (r *reliability) failsEarly() bool { return r.earlyFailures > 0 }

// recentlyHealthy reports whether the worker was recently known to be healthy.
func (r *reliability) recentlyHealthy(now time.Time) bool {
	return r.failures == 0 && now.Sub(r.healthyAt) < healthyPeriod
}

// recordRunFailure records a failed run of a unit, and excludes the worker once it has failureLimit
// failures.
func (p *Pool) recordRunFailure(w *worker, u *unit) {
	now := p.loop.Now()
	w.reliability.failures++
	if u.failedEarly(now) {
		w.reliability.earlyFailures++
	}
	w.reliability.failedAt = now
	if w.reliability.failures >= failureLimit {
		w.excludedUntil = now.Add(exclusionPeriod)
		p.record.LogEvent("failing worker excluded", "worker", w.ID, "strikes", w.reliability.failures)
	}
}

// cold reports whether the worker is still slow after its start. Single tasks may run on a cold
// worker. Gangs avoid cold workers, since a gang is as slow as its slowest member.
func (w *worker) cold(now time.Time) bool { return now.Before(w.coldStartUntil) }

// excludeWorker excludes a worker from new work for exclusionPeriod, unless it is cold.
func (p *Pool) excludeWorker(w *worker, reason string, now time.Time) {
	if w.cold(now) {
		return
	}
	if !now.Before(w.excludedUntil) {
		p.record.LogEvent("worker excluded", "worker", w.ID, "reason", reason, "for_ms", exclusionPeriod.Milliseconds(), "runs", len(w.members))
	}
	w.excludedUntil = now.Add(exclusionPeriod)
}

// failedEarly reports whether the unit's run, which has just failed, did so early.
func (u *unit) failedEarly(now time.Time) bool {
	limit := min(earlyFailureLimit, time.Duration(earlyFailureShare*float64(u.estimate())))
	if u.fromCheckpoint {
		limit += restoreAllowance
	}
	return u.startedByThisOwner && now.Sub(u.startedAt) < limit
}

// workerPreferences returns the preferred workers of a unit, the narrowest choice first. A gang is
// as slow as its slowest member and fails if any member fails. A unit that has failed before should
// not lose another attempt to a failing worker.
func (p *Pool) workerPreferences(s *snapshot, u *unit) []func(i int) bool {
	notFailing := func(i int) bool {
		return p.options.DisabledMechanisms[mechanism.FailedWorkerAvoidance] || !s.poolWorkers[i].reliability.failsEarly()
	}
	fast := func(i int) bool { return notFailing(i) && !s.workers[i].Slow }
	measuredFast := func(i int) bool { return fast(i) && p.speedKnown(s.poolWorkers[i]) }
	healthy := func(i int) bool { return s.poolWorkers[i].reliability.recentlyHealthy(s.now) }
	gang := u.spec().Gang && len(u.members) > 1
	switch {
	case u.lastAttempt() && !p.options.DisabledMechanisms[mechanism.FailedWorkerAvoidance]:
		return []func(int) bool{healthy, notFailing}
	case p.riskyOnSlowWorkers(s, u) && p.shouldExplore(s.now):
		return []func(int) bool{measuredFast, fast, notFailing}
	case gang:
		return []func(int) bool{fast, notFailing}
	case u.failures > 0:
		return []func(int) bool{notFailing}
	}
	return nil
}

// riskyOnSlowWorkers reports whether a unit would probably miss its objective on a slow worker.
func (p *Pool) riskyOnSlowWorkers(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority == 0 || u.slack(s.now) < u.estimate()
}

// lastAttempt reports whether one more failure ends the unit's job.
func (u *unit) lastAttempt() bool {
	return u.failures > 0 && u.failures >= u.job.Queue.MaxAttempts-1 && !u.spec().LongRunning
}

// restrict returns a request that is restricted to allowed workers.
func restrict(request *placement.Request, allowed func(i int) bool) *placement.Request {
	restricted := *request
	restricted.Allowed = func(i int) bool {
		return allowed(i) && (request.Allowed == nil || request.Allowed(i))
	}
	return &restricted
}
