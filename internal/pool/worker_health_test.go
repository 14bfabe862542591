package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// twoAttempts is a queue with one retry and much slack.
var twoAttempts = catalog.Queue{Name: "two-attempts", Priority: 2, MaxAttempts: 2, Stretch: 3, TargetMillis: 20000}

// TestLastAttemptsWaitForProvenWorkers guards against jobs with slack that are given up because
// their last attempts went to workers that began to fail after their latest good start. The workers
// with room fail, the others are full for some seconds.
func TestLastAttemptsWaitForProvenWorkers(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(0) && name.Index < 2 {
			return 4 * time.Second
		}
		return 300 * time.Millisecond
	}
	full := singleTaskStep(4)
	full.CPU, full.MaxPerWorker, full.EstimateMillis = simulation.WorkerCapacity.CPU, 1, 1000
	w.Submit(spec(0, full), batch)
	w.AcquirePool()
	w.Run(900 * time.Millisecond)
	for _, worker := range w.Workers {
		worker.Failing = worker.Runs() == 0
	}
	const jobs = 6
	for n := 1; n <= jobs; n++ {
		w.Submit(spec(n, singleTaskStep(1)), twoAttempts)
	}
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	for n := 1; n <= jobs; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
	}
	require.Positive(t, w.Checker.Metrics["attempts/held"])
}

// platformIdleLimit is how long a task may wait at most while the pool is under half used.
const platformIdleLimit = 3 * time.Second

// TestLastAttemptsDoNotWaitForEver checks that last attempts are staked in the end if no worker is
// healthy.
func TestLastAttemptsDoNotWaitForEver(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	for _, worker := range w.Workers {
		worker.Failing = true
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), twoAttempts)
	w.Run(platformIdleLimit)
	require.Equal(t, 2, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}), "an idle pool must not let a task wait")
	w.Run(time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Positive(t, w.Checker.Metrics["attempts/last_attempt_staked"])
}

// TestOwnerChangeDuringFailures checks that an owner that knows of failures only from the rows of
// jobs stakes no last attempts on unproven workers.
func TestOwnerChangeDuringFailures(t *testing.T) {
	w := simulation.NewCluster(4, 6)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.AcquirePool()
	w.Run(time.Second)
	for i, worker := range w.Workers {
		worker.Failing = i%5 == 0
	}
	const jobs = 12
	wide := singleTaskStep(10)
	wide.CPU, wide.EstimateMillis = 16000, 2000
	for n := 1; n <= jobs; n++ {
		w.Submit(spec(n, wide), twoAttempts)
		w.Run(200 * time.Millisecond)
		if n%4 == 0 {
			w.AcquirePool()
		}
	}
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Positive(t, w.Checker.Metrics["attempts/failed"])
	for n := 1; n <= jobs; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
	}
}

// TestWideJobThatFailsEverywhereExcludesNoWorkers checks that a job whose tasks all fail takes no
// workers from other jobs.
func TestWideJobThatFailsEverywhereExcludesNoWorkers(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	for _, worker := range w.Workers {
		worker.Failing = true
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(32)), twoAttempts)
	w.Run(500 * time.Millisecond)
	for _, worker := range w.Workers {
		worker.Failing = false
	}
	w.Submit(spec(2, singleTaskStep(32)), batch)
	w.Run(2 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

// TestJobThatFailsEverywhereLeavesWorkersUnsuspected checks that the workers are not avoided for a
// job whose tasks fail on each of them.
func TestJobThatFailsEverywhereLeavesWorkersUnsuspected(t *testing.T) {
	w := simulation.NewCluster(1, 6)
	for _, worker := range w.Workers {
		worker.Failing = true
	}
	owner := w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(8 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Metrics["attempts/job_blamed"])
	require.Zero(t, owner.Summary().SuspectedWorkers)
}
