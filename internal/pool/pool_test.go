package pool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

var (
	urgent = catalog.Queue{Name: "urgent", Priority: 0, MaxAttempts: 3, Stretch: 1.5, TargetMillis: 250}
	batch  = catalog.Queue{Name: "batch", Priority: 2, MaxAttempts: 3, Stretch: 3, TargetMillis: 3000}
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// singleTaskStep returns a step of identical tasks with one accelerator each.
func singleTaskStep(count int) taskgraph.Step {
	return taskgraph.Step{Count: count, Resources: taskgraph.Resources{CPU: 4000, MemoryMB: 20000, GPUs: 1}, EstimateMillis: 1000}
}

// gangStep returns a gangStep step whose tasks use all accelerators of a worker.
func gangStep(count int) taskgraph.Step {
	step := singleTaskStep(count)
	step.GPUs = 8
	step.Gang = true
	return step
}

func spec(n int, steps ...taskgraph.Step) taskgraph.Spec {
	return taskgraph.Spec{ID: jobID(n), Payload: "payload", Steps: steps}
}

func requireInvariants(t *testing.T, w *simulation.Cluster) {
	t.Helper()
	if len(w.Checker.Violations) > 0 {
		t.Log(strings.Join(w.Checker.DecisionLog, "\n"))
	}
	require.Empty(t, w.Checker.Violations)
}

// requireInvariantsNeed requires that a scenario violates no invariant and completes its first job.
// With the given safeguards disabled, the scenario must violate an invariant.
func requireInvariantsNeed(t *testing.T, scenario func(pool.DisabledSafeguards) *simulation.Cluster, disabled pool.DisabledSafeguards) {
	t.Helper()
	w := scenario(pool.DisabledSafeguards{})
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.NotEmpty(t, scenario(disabled).Checker.Violations, "no invariant violated without the safeguard")
}

func TestGraphOfStepsRunsInOrder(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	second := singleTaskStep(3)
	second.After = []int{0}
	third := gangStep(2)
	third.After = []int{0, 1}
	w.Submit(spec(1, singleTaskStep(5), second, third), batch)
	w.AcquirePool()
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestWorkerReplacedDuringPlacement: the owner panicked when a worker was replaced between the
// write of a placement and the start.
func TestWorkerReplacedDuringPlacement(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	first := spec(1, singleTaskStep(1))
	w.Submit(first, batch)
	w.AcquirePool()
	w.Run(500 * time.Millisecond)
	w.Store.Latency = 400 * time.Millisecond
	w.Submit(spec(2, singleTaskStep(16)), batch)
	w.Run(600 * time.Millisecond)
	for _, worker := range w.Workers {
		if worker.ID == "w-0-0" {
			worker.Crash()
			worker.Replaced = true
		}
	}
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

func TestTakeoverAfterKill(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 3 * time.Second }
	w.Submit(spec(1, singleTaskStep(4), gangStep(3)), batch)
	first := w.AcquirePool()
	w.Run(time.Second)
	first.Process.Kill()
	w.Run(time.Second)
	w.AcquirePool()
	w.Run(6 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	name := taskgraph.TaskName{Job: jobID(1)}
	require.Equal(t, 1, w.Checker.Starts(name), "the run continues under the next owner")
}

func TestFrozenOwnerStartsNothingAfterTakeover(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	first := w.AcquirePool()
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(15 * time.Millisecond)
	first.Process.Freeze(w.Clock.Now().Add(4 * time.Second))
	w.Run(time.Second)
	second := w.AcquirePool()
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.NotEmpty(t, first.Ended)
	require.Empty(t, second.Ended)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestDelayedStartIsRejected(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	late := 0
	w.Workers[0].OrderOutcome = func() simulation.Outcome {
		late++
		if late <= 3 {
			return simulation.AppliedLate
		}
		return simulation.Acknowledged
	}
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	w.Submit(spec(1, singleTaskStep(20)), batch)
	w.AcquirePool()
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestPartitionedWorkerLeasesExpire(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	w.Submit(spec(1, singleTaskStep(24)), batch)
	first := w.AcquirePool()
	w.Run(time.Second)
	w.Workers[0].Partitioned = true
	first.Process.Kill()
	w.AcquirePool()
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestStoreOutageLongerThanAnyLease(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 15 * time.Second }
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.AcquirePool()
	w.Run(time.Second)
	w.Store.Unavailable = true
	w.Run(12 * time.Second)
	w.Store.Unavailable = false
	w.Run(6 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}), "leases are extended without the store")
}

func TestProgressIsWrittenToAnotherPartition(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	w.AcquirePool()
	w.Run(time.Second)
	w.Store.UnavailablePartitions[pool.ProgressPartitions(simulation.PoolName)[0]] = true
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(3 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestPoolIsReleasedPromptlyWithPendingResults: run results that wait to share a transaction must
// not delay the release of the pool.
func TestPoolIsReleasedPromptlyWithPendingResults(t *testing.T) {
	w := simulation.NewCluster(2, 8)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		return time.Second + time.Duration(name.Index)*7*time.Millisecond
	}
	w.Submit(spec(1, singleTaskStep(100)), batch)
	owner := w.AcquirePool()
	w.Run(1200 * time.Millisecond)
	owner.Process.Post(owner.Release)
	w.Run(100 * time.Millisecond)
	require.Equal(t, "pool released", owner.Ended)
}

// TestUnresponsivePartitionDelaysStartsBriefly: a store partition that does not respond must delay
// starts only briefly.
func TestUnresponsivePartitionDelaysStartsBriefly(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Run(time.Second)
	w.Store.UnresponsivePartitions[pool.ProgressPartitions(simulation.PoolName)[0]] = true
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.Run(700 * time.Millisecond)
	require.Equal(t, 1, w.Checker.JobStarts(jobID(1)))
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestLostStoreResponsesAreResolved(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		w := simulation.NewCluster(2, 4)
		w.Store.WriteOutcome = func() simulation.Outcome {
			if random.Float64() < 0.35 {
				return simulation.Outcome(1 + random.IntN(3))
			}
			return simulation.Acknowledged
		}
		for n := range 5 {
			w.Submit(spec(n, singleTaskStep(6), gangStep(2)), batch)
		}
		first := w.AcquirePool()
		w.Run(2 * time.Second)
		first.Process.Kill()
		w.AcquirePool()
		w.Run(60 * time.Second)
		requireInvariants(t, w)
		for n := range 5 {
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "seed %d", seed)
		}
	}
}

func TestUrgentGangPreemptsOthers(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(9) {
			return time.Second
		}
		return 20 * time.Second
	}
	long := singleTaskStep(32)
	long.EstimateMillis = 20000
	w.Submit(spec(1, long), batch)
	w.AcquirePool()
	w.Run(2 * time.Second)
	wide := gangStep(3)
	wide.SameRack = true
	w.Submit(spec(9, wide), urgent)
	w.Run(2500 * time.Millisecond)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(9)))
	require.Positive(t, w.Checker.Metrics["stops/preempted"])
	require.Zero(t, w.Checker.Metrics["start_failures/no_room"])
}

func TestFailuresEndTheJobAtItsLimit(t *testing.T) {
	w := simulation.NewCluster(1, 6)
	for _, worker := range w.Workers {
		worker.Failing = true
	}
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.AcquirePool()
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, batch.MaxAttempts, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}

func TestOneFailingWorkerDoesNotEndJobs(t *testing.T) {
	w := simulation.NewCluster(1, 6)
	w.Workers[0].Failing = true
	for n := range 10 {
		w.Submit(spec(n, singleTaskStep(4)), batch)
	}
	w.AcquirePool()
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	for n := range 10 {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)))
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	w.Submit(spec(1, singleTaskStep(24)), batch)
	w.AcquirePool()
	w.Run(time.Second)
	w.Cancel(jobID(1))
	w.Run(2 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
	for _, worker := range w.Workers {
		require.Zero(t, worker.Runs())
	}
}

func TestDrainingWorkerGetsNothingAndIsEmptied(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	long := singleTaskStep(4)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	w.AcquirePool()
	w.Run(time.Second)
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 2000
	w.PutWorkerRow(leaving)
	w.Run(2 * time.Second)
	require.Zero(t, leaving.Runs())
	leaving.Crash()
	w.RemoveWorkerRow(leaving)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestRepeatedJobRunsAtItsDueTimes(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	timed := spec(1, singleTaskStep(1))
	timed.Repetitions, timed.IntervalMillis = 3, 2000
	timed.FirstRunMillis = w.Clock.Now().Add(time.Second).UnixMilli()
	w.Submit(timed, batch)
	w.AcquirePool()
	w.Run(900 * time.Millisecond)
	require.Zero(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
	w.Run(4500 * time.Millisecond)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1), Repetition: 2}))
	w.Run(3 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestLongRunningTasksAreRestarted: long-running tasks are restarted until their job is cancelled.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	lasting := singleTaskStep(3)
	lasting.LongRunning, lasting.AllowedMisses = true, 1
	w.Submit(spec(1, lasting), batch)
	w.AcquirePool()
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
	require.Greater(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}), 2)
	w.Cancel(jobID(1))
	w.Run(3 * time.Second)
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
}
