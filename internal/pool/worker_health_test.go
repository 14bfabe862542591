package pool_test

import (
	"fmt"
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

// TestLastAttemptsDoNotWaitForEver checks that last attempts are started in the end if no worker is
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
	require.Positive(t, w.Checker.Metrics["attempts/last_attempt_unproven"])
}

// TestOwnerChangeDuringFailures checks that an owner that knows of failures only from the rows of
// jobs starts no last attempts on unproven workers.
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

// oneAttempt and urgentOneAttempt are queues without retries.
var (
	oneAttempt       = catalog.Queue{Name: "one-attempt", Priority: 2, MaxAttempts: 1, Stretch: 3, TargetMillis: 3000}
	urgentOneAttempt = catalog.Queue{Name: "urgent-one-attempt", Priority: 0, MaxAttempts: 1, Stretch: 1.5, TargetMillis: 250}
)

// lateProgress is the duration of a run that reports its first progress, one percent, after 6 s.
const lateProgress = 10 * time.Minute

// clusterWithSuspect returns a cluster on which full workers of each rack are taken by job 0, and on
// which one of the other workers has failed a run of job 1 and has recovered. Runs of job 2 take lateProgress.
func clusterWithSuspect(t *testing.T, racks, perRack, full int) *simulation.Cluster {
	t.Helper()
	w := simulation.NewCluster(racks, perRack)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(2) {
			return lateProgress
		}
		return time.Minute
	}
	steps := make([]taskgraph.Step, racks)
	for rack := range steps {
		steps[rack] = singleTaskStep(full)
		steps[rack].GPUs = simulation.WorkerCapacity.GPUs
		steps[rack].RequiredLabel = fmt.Sprint("r-", rack)
	}
	w.Submit(spec(0, steps...), batch)
	w.AcquirePool()
	w.Run(time.Second)
	setFailing(w, func(worker *simulation.Worker) bool { return worker.Runs() == 0 })
	w.Submit(spec(1, singleTaskStep(1)), oneAttempt)
	w.Run(300 * time.Millisecond)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Metrics["attempts/worker_suspected"])
	setFailing(w, func(*simulation.Worker) bool { return false })
	return w
}

// setFailing makes workers fail their runs, and the others not.
func setFailing(w *simulation.Cluster, failing func(*simulation.Worker) bool) {
	for _, worker := range w.Workers {
		worker.Failing = failing(worker)
	}
}

// guaranteeAll guarantees the tenant of all jobs more than the pool has.
func guaranteeAll(w *simulation.Cluster) {
	w.Catalog.Tenants = []catalog.Tenant{{Name: "tenant", Guaranteed: taskgraph.Resources{GPUs: 1000}}}
}

// startedTasks returns how many tasks of a job's first step have been started.
func startedTasks(w *simulation.Cluster, n, tasks int) int {
	started := 0
	for i := range tasks {
		if w.Checker.Starts(taskgraph.TaskName{Job: jobID(n), Index: i}) > 0 {
			started++
		}
	}
	return started
}

// TestSuspectDoesNotDelayPreemption checks that a unit that waits for something else than healthy
// workers preempts others as it does without suspects: a gang needs one rack, and the suspect would
// not give it one.
func TestSuspectDoesNotDelayPreemption(t *testing.T) {
	w := clusterWithSuspect(t, 2, 5, 3)
	guaranteeAll(w)
	gang := gangStep(4)
	gang.SameRack, gang.EstimateMillis = true, 4000
	w.Submit(spec(2, gang), urgent)
	w.Run(time.Second)
	requireInvariants(t, w)
	require.Equal(t, 4, startedTasks(w, 2, 4))
	require.Positive(t, w.Checker.MaxPreemptions())
}

// TestUrgentOnlyAttemptStartsInTime checks that an urgent task without retries does not wait long
// while the only free worker is a suspect.
func TestUrgentOnlyAttemptStartsInTime(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		w := clusterWithSuspect(t, 1, 4, 3)
		if guaranteed {
			guaranteeAll(w)
		}
		w.Submit(spec(2, singleTaskStep(1)), urgentOneAttempt)
		w.Run(w.Bounds.GuaranteedStartTimeout)
		requireInvariants(t, w)
		require.Equal(t, 1, startedTasks(w, 2, 1), "guaranteed: %v", guaranteed)
	}
}

// TestGuaranteedTasksShareSuspect checks that a guaranteed job of several tasks does not wait for the
// trials of a suspect.
func TestGuaranteedTasksShareSuspect(t *testing.T) {
	w := clusterWithSuspect(t, 1, 4, 3)
	guaranteeAll(w)
	const tasks = 8
	step := singleTaskStep(tasks)
	step.EstimateMillis = lateProgress.Milliseconds()
	w.Submit(spec(2, step), urgent)
	w.Run(w.Bounds.GuaranteedStartTimeout)
	requireInvariants(t, w)
	require.Equal(t, tasks, startedTasks(w, 2, tasks))
}

// TestManyLastAttemptsStartInIdlePool checks that last attempts start in time when they outnumber the
// workers, none of which has proved itself, and that they are spread over the workers.
func TestManyLastAttemptsStartInIdlePool(t *testing.T) {
	w := simulation.NewCluster(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	setFailing(w, func(*simulation.Worker) bool { return true })
	w.AcquirePool()
	const jobs = 24
	step := singleTaskStep(1)
	step.EstimateMillis = 5000
	for n := 1; n <= jobs; n++ {
		w.Submit(spec(n, step), twoAttempts)
	}
	w.Run(200 * time.Millisecond)
	for i := range 6 {
		w.AddWorker(fmt.Sprint("healthy-", i), "r-1")
	}
	w.Run(platformIdleLimit)
	requireInvariants(t, w)
	for n := 1; n <= jobs; n++ {
		require.Equal(t, 2, w.Checker.Starts(taskgraph.TaskName{Job: jobID(n)}), "job %d", n)
	}
	for _, worker := range w.Workers[3:] {
		require.Equal(t, jobs/6, worker.Runs(), worker.ID)
	}
}

// TestLaterStepThatFailsEverywhereIsBlamed checks that the success of an earlier step does not hide
// that all runs of a later one fail.
func TestLaterStepThatFailsEverywhereIsBlamed(t *testing.T) {
	w := simulation.NewCluster(1, 6)
	owner := w.AcquirePool()
	later := singleTaskStep(1)
	later.After = []int{0}
	w.Submit(spec(1, singleTaskStep(1), later), batch)
	w.Run(700 * time.Millisecond)
	setFailing(w, func(*simulation.Worker) bool { return true })
	w.Run(8 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Metrics["attempts/job_blamed"])
	require.Zero(t, owner.Summary().SuspectedWorkers)
}
