package health

import (
	"math"
	"time"
)

const (
	// proofPeriod is how long a proof of health counts. It exceeds the usual run, so that a worker
	// that is busy with one run stays proven.
	proofPeriod = 10 * time.Second
	// evidenceHalfLife is the age at which evidence about a worker has lost half of its weight. It
	// exceeds the period for which a failing worker is excluded, so that its next run still is a
	// trial.
	evidenceHalfLife = 10 * time.Second
	// forgetPeriod is the age from which a failure no longer makes a worker a suspect. Its weight has
	// then fallen below a sixtieth.
	forgetPeriod = 6 * evidenceHalfLife
	// maxSuccesses bounds the counted successes of a worker, so that one failure still outweighs a
	// long record.
	maxSuccesses = 5
)

// Machine identifies a worker and the groups of workers that are likely to fail together.
type Machine struct {
	ID string
	// Rack and Version are empty if unknown.
	Rack, Version string
}

// workerRecord is the record of one worker.
type workerRecord struct {
	machine Machine
	// failures counts the failed runs since the worker was last known to be healthy. earlyFailures
	// counts those among them that failed soon after their start.
	failures      int
	earlyFailures int
	failedAt      time.Time
	// failedJob is the job of the counted failures; empty if they are of several jobs.
	failedJob string
	// successes counts the runs that made progress since the last failure. healthyAt is the latest
	// start of such a run.
	successes int
	healthyAt time.Time
}

// recordProgress records that a run with the given start made progress. The run proves nothing if
// it started before the last failure. Repeated reports of one run count once.
func (w *workerRecord) recordProgress(startedAt time.Time) {
	if !startedAt.After(w.failedAt) {
		return
	}
	w.failures, w.earlyFailures, w.failedJob = 0, 0, ""
	if startedAt.After(w.healthyAt) {
		w.healthyAt = startedAt
		w.successes = min(w.successes+1, maxSuccesses)
	}
}

// recordFailure records a failed run.
func (w *workerRecord) recordFailure(f *Failure, now time.Time) {
	if w.failures == 0 {
		w.failedJob = f.Job
	} else if w.failedJob != f.Job {
		w.failedJob = ""
	}
	w.failures++
	if f.Early {
		w.earlyFailures++
	}
	w.failedAt = now
	w.successes = 0
}

// withdraw removes failures for which the worker is not to blame.
func (w *workerRecord) withdraw(failures, earlyFailures int) {
	w.failures = max(0, w.failures-failures)
	w.earlyFailures = max(0, w.earlyFailures-earlyFailures)
	if w.failures == 0 {
		w.failedAt, w.failedJob = time.Time{}, ""
	}
}

// suspected reports whether the worker seems to fail all runs.
func (w *workerRecord) suspected(now time.Time) bool {
	return w.earlyFailures > 0 && now.Sub(w.failedAt) < forgetPeriod
}

// provenSince reports whether the worker is known to be healthy at some time after onset, and not
// long ago.
func (w *workerRecord) provenSince(onset, now time.Time) bool {
	return w.failures == 0 && w.healthyAt.After(onset) && now.Sub(w.healthyAt) < proofPeriod
}

// weightAt returns the weight that evidence of an age still has, between 0 and 1.
func weightAt(age time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / evidenceHalfLife.Seconds())
}
