package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Handling of failed runs. A run may fail because of its job, at any time. It may also fail because
// its worker fails all runs, usually soon after their start. Package health decides which of the
// two it was and which workers an attempt may use; this file gathers the evidence and carries the
// decisions out.

// exclusionPeriod is how long a worker that failed or stalled gets no new work.
const exclusionPeriod = 6 * time.Second

// machine identifies the worker in the record of health.
func (w *worker) machine() health.Machine { return health.Machine{ID: w.ID, Rack: w.rack} }

// recordRunProgress records that the unit's present run made progress on a worker or ended done.
// The start of a run is known exactly only to the owner that started it.
func (p *Pool) recordRunProgress(w *worker, u *unit) {
	if !u.startedByThisOwner || !p.health.RecordProgress(w.machine(), u.startedAt, p.loop.Now()) {
		return
	}
	p.record.Count("attempts", "worker_cleared")
	p.record.LogEvent("worker no longer suspected", "worker", w.ID)
}

// recordRunFailure records a failed run of a unit, and excludes the worker once it has failed often
// enough.
func (p *Pool) recordRunFailure(w *worker, u *unit) {
	now := p.loop.Now()
	verdict := p.health.RecordFailure(w.machine(), p.runFailure(u, now), now)
	if verdict.JobBlamed {
		p.record.Count("attempts", "job_blamed")
		p.record.LogEvent("job fails on all workers", "job", u.job.id, "worker", w.ID)
	}
	if verdict.Suspected {
		p.record.Count("attempts", "worker_suspected")
		p.record.LogEvent("worker suspected", "worker", w.ID, "job", u.job.id)
	}
	if verdict.Excluded {
		w.excludedUntil = now.Add(exclusionPeriod)
		p.record.LogEvent("failing worker excluded", "worker", w.ID, "strikes", verdict.Failures)
	}
	p.updateFailureWave()
}

// runFailure describes the unit's run, which has just failed.
func (p *Pool) runFailure(u *unit, now time.Time) *health.Failure {
	failure := &health.Failure{Job: u.job.id, StartedAt: u.runStartedAt()}
	if failure.StartedAt.IsZero() {
		return failure
	}
	runTime := now.Sub(failure.StartedAt)
	failure.Early = health.FailsEarly(runTime, u.estimate(), u.fromCheckpoint)
	failure.JobRunsElsewhere = u.outlivedByOthers(runTime, now)
	return failure
}

// runStartedAt returns the start of the unit's present run; the zero time if it is unknown.
func (u *unit) runStartedAt() time.Time {
	if u.startedByThisOwner {
		return u.startedAt
	}
	return u.earlierStartAt
}

// outlivedByOthers reports whether another unit of the job has ended, or has been running for at
// least runTime.
func (u *unit) outlivedByOthers(runTime time.Duration, now time.Time) bool {
	outlived := func(other *unit) bool {
		running := other.state == unitActive && other.startedByThisOwner && !other.runningSince.IsZero()
		return other != u && (other.state == unitEnded || running && now.Sub(other.startedAt) >= runTime)
	}
	for _, t := range u.job.repetitions {
		for _, s := range t.steps {
			if slices.ContainsFunc(s.units, outlived) {
				return true
			}
		}
	}
	return false
}

// updateFailureWave logs when many workers begin or cease to fail at once.
func (p *Pool) updateFailureWave() {
	now := p.loop.Now()
	if !p.health.UpdateWave(now) {
		return
	}
	if p.health.Wave() {
		p.record.Count("attempts", "wave_begun")
		p.record.LogEvent("wave of failing workers", "pool", p.options.Pool, "suspects", p.health.SuspectedWorkers(now), "share", p.health.FailingShare(now))
		return
	}
	p.record.Count("attempts", "wave_over")
	p.record.LogEvent("wave of failing workers over", "pool", p.options.Pool, "suspects", p.health.SuspectedWorkers(now))
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

// riskyOnSlowWorkers reports whether a unit would probably miss its objective on a slow worker.
func (p *Pool) riskyOnSlowWorkers(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority == 0 || u.slack(s.now) < u.estimate()
}

// restrict returns a request that is restricted to allowed workers.
func restrict(request *placement.Request, allowed func(i int) bool) *placement.Request {
	restricted := *request
	restricted.Allowed = func(i int) bool {
		return allowed(i) && (request.Allowed == nil || request.Allowed(i))
	}
	return &restricted
}
