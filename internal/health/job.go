package health

import (
	"math"
	"time"
)

const (
	// jobFaultPrior is the assumed share of jobs that fail wherever they run.
	jobFaultPrior = 0.001
	// minFailureChance bounds the chance from below with which an ordinary worker fails a run.
	minFailureChance = 0.01
)

// jobRecord is the record of a job whose runs failed.
type jobRecord struct {
	// failures counts the job's failures by worker.
	failures map[string]jobFailures
	// coincidence is the chance that all of these workers would fail by their own fault.
	coincidence float64
	failedAt    time.Time
	// blamed is true while the job counts as failing wherever it runs.
	blamed bool
}

// jobFailures counts the failures of a job on one worker.
type jobFailures struct {
	all, early int
}

// job returns the record of a job, creating it if needed.
func (r *Record) job(id string) *jobRecord {
	j := r.jobs[id]
	if j == nil {
		j = &jobRecord{failures: map[string]jobFailures{}, coincidence: 1}
		r.jobs[id] = j
	}
	return j
}

// blameJob weighs whether a failure is the job's fault or the worker's. The job is to blame if it
// runs nowhere, and if it is less likely that all workers on which it failed do so themselves. It
// reports whether the job has just been found to blame; its earlier failures are then withdrawn
// from the workers, and blameJob returns those that have no failures left.
func (r *Record) blameJob(j *jobRecord, machine Machine, f *Failure, now time.Time) (blamed bool, cleared []string) {
	counts, known := j.failures[machine.ID]
	wasBlamed := j.blamed
	if !known && !wasBlamed {
		others := r.tallyWorkers(f.Job, now)
		chance := max(minFailureChance, others.chance(r.recordWithout(machine.ID, f.Job), machine, now))
		j.coincidence *= 1 - math.Pow(1-chance, float64(max(1, f.Members)))
	}
	j.failedAt = now
	unlikely := len(j.failures) > 0 && j.coincidence < jobFaultPrior
	j.blamed = f.Elsewhere == NoOtherRun && unlikely || f.Elsewhere != OtherRunSucceeds && wasBlamed
	if wasBlamed && !j.blamed {
		j.coincidence = 1
	}
	if j.blamed && !wasBlamed {
		return true, r.withdraw(f.Job, j)
	}
	if !j.blamed {
		counts.all++
		if f.Early {
			counts.early++
		}
		j.failures[machine.ID] = counts
	}
	return false, nil
}

// recordWithout returns the record of a worker, or nil if it has failed only runs of the job.
func (r *Record) recordWithout(id, job string) *workerRecord {
	w := r.workers[id]
	if w == nil || w.failures > 0 && w.failedJob == job {
		return nil
	}
	return w
}

// withdraw removes a job's failures from the records of its workers. It returns the workers that
// have no failures left.
func (r *Record) withdraw(job string, j *jobRecord) (cleared []string) {
	for id, counts := range j.failures {
		w := r.workers[id]
		if w == nil || w.failures == 0 || w.failedJob != job && w.failedJob != "" {
			continue
		}
		w.withdraw(counts.all, counts.early)
		if w.failures == 0 {
			cleared = append(cleared, id)
		}
	}
	j.failures = map[string]jobFailures{}
	r.counted = nil
	for _, w := range r.workers {
		if w.earlyFailures > 0 {
			return cleared
		}
	}
	r.onset, r.lastFailureAt = time.Time{}, time.Time{}
	return cleared
}
