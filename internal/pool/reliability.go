package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/placement"
)

// Handling of failed runs. A run may fail because of its job, at any time. It may also fail because
// its worker fails all runs, usually soon after their start. Package health decides which of the
// two it was and which workers an attempt may use; this file gathers the evidence and carries the
// decisions out.

// exclusionPeriod is how long a worker that failed or stalled gets no new work. It is about as long
// as such a fault of a worker lasts.
const exclusionPeriod = 6 * time.Second

// machine identifies the worker in the record of health.
func (w *worker) machine() health.Machine {
	return health.Machine{ID: w.ID, Rack: w.rack, Version: w.Version}
}

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
		p.readmit(verdict.Cleared)
	}
	if verdict.Suspected {
		p.record.Count("attempts", "worker_suspected")
		p.record.LogEvent("worker suspected", "worker", w.ID, "job", u.job.id)
	}
	if verdict.Excluded {
		p.excludeFailingWorker(w, verdict.Failures, now)
	}
	p.updateFailureWave()
}

// excludeFailingWorker gives a worker that failed several runs no new work for exclusionPeriod.
func (p *Pool) excludeFailingWorker(w *worker, failures int, now time.Time) {
	if !now.Before(w.failingUntil) {
		p.record.LogEvent("failing worker excluded", "worker", w.ID, "strikes", failures)
	}
	w.failingUntil = now.Add(exclusionPeriod)
}

// readmit ends the exclusion of workers whose failures turned out not to be their own.
func (p *Pool) readmit(ids []string) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.failingUntil = time.Time{}
		}
	}
}

// runFailure describes the unit's run, which has just failed.
func (p *Pool) runFailure(u *unit, now time.Time) *health.Failure {
	failure := &health.Failure{Job: u.job.id, Members: len(u.members), StartedAt: u.runStartedAt()}
	if failure.StartedAt.IsZero() {
		failure.Elsewhere = health.OtherRunsUnknown
		return failure
	}
	runTime := now.Sub(failure.StartedAt)
	failure.Early = health.FailsEarly(runTime, u.estimate(), u.fromCheckpoint)
	failure.Elsewhere = u.otherRuns(runTime, now)
	return failure
}

// runStartedAt returns the start of the unit's present run; the zero time if it is unknown.
func (u *unit) runStartedAt() time.Time {
	if u.startedByThisOwner {
		return u.startedAt
	}
	return u.earlierStartAt
}

const (
	// comparisonPeriod is how long the runs that failed runs are compared with stay selected, and
	// comparedRuns their number. They bound the cost of the failures of a wide step.
	comparisonPeriod = 25 * time.Millisecond
	comparedRuns     = 4
)

// comparison holds the runs of a step, over all repetitions, that failed runs are compared with.
type comparison struct {
	// units hold the runs that have made progress, or else started first.
	units []*unit
	// succeeded is true if a unit has ended done.
	succeeded  bool
	selectedAt time.Time
}

// otherRuns returns how the other runs of a failed unit's step fare, over all repetitions. The failed
// run took runTime. Other steps run other work and tell nothing about this one.
func (u *unit) otherRuns(runTime time.Duration, now time.Time) health.OtherRuns {
	compared := &u.step.compared
	if compared.selectedAt.IsZero() || now.Sub(compared.selectedAt) >= comparisonPeriod {
		*compared = u.selectComparison(now)
	}
	if compared.succeeded {
		return health.OtherRunSucceeds
	}
	best := health.NoOtherRun
	for _, other := range compared.units {
		if other != u {
			best = max(best, other.outcomeSoFar(runTime, now))
		}
	}
	return best
}

// selectComparison selects the runs that failed runs of the unit's step are compared with.
func (u *unit) selectComparison(now time.Time) comparison {
	selected := comparison{selectedAt: now}
	selected.succeeded = u.job.repetitions.ended.count() > 0
	for _, t := range u.job.repetitions.open {
		s := t.steps[u.step.index]
		selected.succeeded = selected.succeeded || s.ended > 0 || s.complete
		for _, other := range s.units {
			if other.outcomeSoFar(0, now) > health.NoOtherRun {
				selected.units = append(selected.units, other)
			}
		}
	}
	slices.SortFunc(selected.units, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(b.outcomeSoFar(0, now), a.outcomeSoFar(0, now)), a.startedAt.Compare(b.startedAt))
	})
	selected.units = slices.Clone(selected.units[:min(len(selected.units), comparedRuns)])
	return selected
}

// outcomeSoFar returns how the unit's present run fares, compared with one that failed after runTime.
func (u *unit) outcomeSoFar(runTime time.Duration, now time.Time) health.OtherRuns {
	progressed := func(m *member) bool { return m.percent > 0 }
	running := u.state == unitActive && u.startedByThisOwner && !u.runningSince.IsZero()
	switch {
	case running && slices.ContainsFunc(u.members, progressed):
		return health.OtherRunSucceeds
	case running && now.Sub(u.startedAt) >= runTime:
		return health.OtherRunLasts
	}
	return health.NoOtherRun
}

// checkHealth forgets what no longer matters of the workers' health.
func (p *Pool) checkHealth() {
	p.health.Prune(p.loop.Now())
	p.updateFailureWave()
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
