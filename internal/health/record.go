package health

import (
	"maps"
	"time"
)

const (
	// failureLimit is the number of failures, since a worker was last known to be healthy, from
	// which the worker is excluded.
	failureLimit = 2
	// quietPeriod is the time without a failing worker after which the failures are over. It exceeds
	// the exclusion of a failing worker and its next run.
	quietPeriod = 10 * time.Second
	// An early failure is attributed to the worker. A failure is early before earlyFailureLimit and
	// before earlyFailureShare of the expected duration have passed. For a run resumed from a
	// checkpoint both limits are extended by RestoreAllowance.
	earlyFailureShare = 0.1
	earlyFailureLimit = 500 * time.Millisecond
)

// RestoreAllowance is the assumed time that a run takes to restore its checkpoint. Workers take up
// to 0.6 s.
const RestoreAllowance = 700 * time.Millisecond

// FailsEarly reports whether a run that failed after runTime failed soon after its start.
func FailsEarly(runTime, expected time.Duration, fromCheckpoint bool) bool {
	limit := min(earlyFailureLimit, time.Duration(earlyFailureShare*float64(expected)))
	if fromCheckpoint {
		limit += RestoreAllowance
	}
	return runTime < limit
}

// Failure is a failed run.
type Failure struct {
	Job string
	// Members is the number of tasks that started together, each of which can have failed the run.
	Members int
	// StartedAt is the start of the run, as far as known.
	StartedAt time.Time
	// Early is true if the run failed soon after its start.
	Early bool
	// Elsewhere is how the other runs of the step fare.
	Elsewhere OtherRuns
}

// OtherRuns says how the other runs of a failed run's step fare, over all repetitions of the job.
type OtherRuns int

const (
	// NoOtherRun: no other run has lasted as long as the failed one.
	NoOtherRun OtherRuns = iota
	// OtherRunLasts: another run has lasted as long, and may fail yet.
	OtherRunLasts
	// OtherRunSucceeds: another run has made progress or ended done.
	OtherRunSucceeds
	// OtherRunsUnknown: the start of the failed run is unknown, so there is nothing to compare.
	OtherRunsUnknown
)

// Verdict is what a failure says about a worker and a job.
type Verdict struct {
	// Suspected is true if the worker has become a suspect.
	Suspected bool
	// Excluded is true if the worker should get no work for some time.
	Excluded bool
	// Failures counts the worker's failures since it was last known to be healthy. It is 0 if the
	// failure is the job's fault.
	Failures int
	// JobBlamed is true if the job, not its workers, has turned out to be at fault.
	JobBlamed bool
	// Cleared holds the workers that have no failures left once those of the job are withdrawn.
	Cleared []string
}

// Record is the record of a pool's workers. The zero value is not usable; see New.
type Record struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
	// onset is the start of the first failed run of the present failures: proofs of health that are
	// older are void. lastFailureAt is the latest failure attributed to a worker. Both are zero
	// before the first failure.
	onset, lastFailureAt time.Time
	// assumed is true if both only stand for failures of which no more than their existence is known.
	assumed bool
	wave    bool
	// counted holds the tallies as of countedAt; it is discarded with each new piece of evidence.
	counted   *tallies
	countedAt time.Time
}

// New returns an empty record.
func New() *Record {
	return &Record{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
}

// Active reports whether a worker has failed recently. Only then do attempts wait for proven workers.
// Suspects are avoided for forgetPeriod.
func (r *Record) Active(now time.Time) bool {
	return !r.lastFailureAt.IsZero() && now.Sub(r.lastFailureAt) < quietPeriod
}

// Empty reports whether nothing is known of any worker.
func (r *Record) Empty() bool { return len(r.workers) == 0 && r.lastFailureAt.IsZero() }

// RecordProgress records that a run with the given start made progress or ended done. It reports
// whether the worker was a suspect and is none any more.
func (r *Record) RecordProgress(machine Machine, startedAt, now time.Time) (cleared bool) {
	w := r.workers[machine.ID]
	if (w == nil || w.failures == 0) && (!r.Active(now) || !startedAt.After(r.onset)) {
		return false
	}
	if w == nil {
		w = r.worker(machine)
	}
	suspected := w.suspected(now)
	w.machine = machine
	w.recordProgress(startedAt)
	r.counted = nil
	return suspected && !w.suspected(now)
}

// RecordFailure records a failed run.
func (r *Record) RecordFailure(machine Machine, f *Failure, now time.Time) Verdict {
	r.Prune(now)
	j := r.job(f.Job)
	blamed, cleared := r.blameJob(j, machine, f, now)
	if j.blamed {
		return Verdict{JobBlamed: blamed, Cleared: cleared}
	}
	w := r.worker(machine)
	suspected := w.suspected(now)
	if f.Early {
		r.updateOnset(w, f.StartedAt, now)
	}
	w.recordFailure(f, now)
	r.counted = nil
	return Verdict{Suspected: w.suspected(now) && !suspected, Excluded: w.failures >= failureLimit, Failures: w.failures}
}

// AssumeFailures records that tasks have failed before this record began, on unknown workers at
// unknown times. Only what is known from now on proves that a worker is healthy.
func (r *Record) AssumeFailures(now time.Time) {
	if !r.Active(now) {
		r.onset, r.lastFailureAt, r.assumed = now, now, true
	}
}

// updateOnset updates when the present failures began. The failure of a proven worker shows that
// more workers fail than before, so that older proofs no longer hold.
func (r *Record) updateOnset(w *workerRecord, startedAt, now time.Time) {
	if !r.Active(now) || w.provenSince(r.onset, now) && startedAt.After(r.onset) {
		r.onset = startedAt
	}
	r.lastFailureAt, r.assumed = now, false
}

// worker returns the record of a worker, creating it if needed.
func (r *Record) worker(machine Machine) *workerRecord {
	w := r.workers[machine.ID]
	if w == nil {
		w = &workerRecord{}
		r.workers[machine.ID] = w
	}
	w.machine = machine
	return w
}

// Suspected reports whether a worker seems to fail all runs.
func (r *Record) Suspected(id string, now time.Time) bool {
	w := r.workers[id]
	return w != nil && w.suspected(now)
}

// Proven reports whether a worker is known to be healthy since the present failures began.
func (r *Record) Proven(id string, now time.Time) bool {
	w := r.workers[id]
	return w != nil && w.provenSince(r.onset, now)
}

// SuspectedWorkers counts the suspects.
func (r *Record) SuspectedWorkers(now time.Time) int {
	if len(r.workers) == 0 {
		return 0
	}
	return r.tallies(now).suspects
}

// Chance returns the chance that a worker fails its next run.
func (r *Record) Chance(machine Machine, now time.Time) float64 {
	return r.tallies(now).chance(r.workers[machine.ID], machine, now)
}

// tallies returns the counts of workers as of now.
func (r *Record) tallies(now time.Time) *tallies {
	if r.counted == nil || !r.countedAt.Equal(now) {
		counted := r.tallyWorkers("", now)
		r.counted, r.countedAt = &counted, now
	}
	return r.counted
}

// Prune forgets workers, jobs and failures that no longer matter.
func (r *Record) Prune(now time.Time) {
	if r.Empty() {
		return
	}
	if !r.Active(now) {
		r.onset, r.lastFailureAt, r.assumed = time.Time{}, time.Time{}, false
	}
	maps.DeleteFunc(r.workers, func(_ string, w *workerRecord) bool {
		return now.Sub(w.failedAt) >= forgetPeriod && now.Sub(w.healthyAt) >= forgetPeriod
	})
	maps.DeleteFunc(r.jobs, func(_ string, j *jobRecord) bool { return now.Sub(j.failedAt) >= forgetPeriod })
	r.counted = nil
}
