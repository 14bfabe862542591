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

// A task whose worker was lost may have crashed it, so its next run keeps its workers to itself. Other
// work must not wait for the end of that run if the task runs for long.

// specialLabel is a label that a few workers have.
const specialLabel = "special"

// idleWaitBound is how long a task may wait while there is ample capacity for it and under half of the
// capacity is in use.
const idleWaitBound = 3 * time.Second

// addLabeledWorker adds a worker with specialLabel.
func addLabeledWorker(w *simulation.Cluster, id, rack string) *simulation.Worker {
	worker := w.AddWorker(id, rack)
	worker.Labels = append(worker.Labels, specialLabel)
	w.PutWorkerRow(worker)
	return worker
}

// smallLongRunningStep returns a step of long-running tasks that use little of a worker.
func smallLongRunningStep(count int) taskgraph.Step {
	step := longRunningStep(count)
	step.Resources = taskgraph.Resources{CPU: 2000, MemoryMB: 1024}
	return step
}

// isolationCase is a long-running job that may run on all workers that others need.
type isolationCase struct {
	prepare func(w *simulation.Cluster)
	lasting taskgraph.Step
	other   taskgraph.Step
}

// isolationCases returns a gang on all workers, and a single task on the only worker with a label.
func isolationCases() map[string]isolationCase {
	const workers = 8
	gang := smallLongRunningStep(workers)
	gang.Gang, gang.MaxPerWorker = true, 1
	single := smallLongRunningStep(1)
	single.RequiredLabel = specialLabel
	labeled := singleTaskStep(1)
	labeled.RequiredLabel = specialLabel
	return map[string]isolationCase{
		"gang on all workers": {func(*simulation.Cluster) {}, gang, singleTaskStep(1)},
		"task on the only worker of a kind": {
			func(w *simulation.Cluster) { addLabeledWorker(w, "labeled", "r-0") }, single, labeled,
		},
	}
}

// TestLongRunningTaskDoesNotKeepWorkersForGood guards against a service that starts nothing else after
// one crash of a worker of a long-running gang (review case 6), and against the same on the only worker
// of a kind. The crash may come early or late in a run, and other owners may have followed.
func TestLongRunningTaskDoesNotKeepWorkersForGood(t *testing.T) {
	for name, c := range isolationCases() {
		for _, crashAge := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 25 * time.Second} {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", crash at ", crashAge, ", takeover ", takeover), func(t *testing.T) {
					requireOthersBeginBesideSuspect(t, c, crashAge, takeover)
				})
			}
		}
	}
}

// crashWorkerOfFirstJob crashes a worker of job 1 when the job's run has reached an age, and waits for the
// instance that follows.
func crashWorkerOfFirstJob(t *testing.T, w *simulation.Cluster, age time.Duration) {
	t.Helper()
	w.Run(100 * time.Millisecond)
	require.NotEmpty(t, workersOf(w, jobID(1)))
	w.Run(age)
	workersOf(w, jobID(1))[0].CrashAndRestart()
	w.Run(4 * time.Second)
}

func requireOthersBeginBesideSuspect(t *testing.T, c isolationCase, crashAge time.Duration, takeover bool) {
	t.Helper()
	w := simulation.NewCluster(2, 4)
	c.prepare(w)
	w.Work = longRunningJobs(1)
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, c.lasting), batch)
	crashWorkerOfFirstJob(t, w, crashAge)
	w.Run(6 * time.Second)
	require.NotEmpty(t, workersOf(w, jobID(1)))
	if takeover {
		w.AcquirePool()
		w.Run(3 * time.Second)
	}
	for number := range 3 {
		w.Submit(spec(10+number, c.other), batch)
	}
	w.Run(idleWaitBound)
	for number := range 3 {
		require.Equal(t, 1, w.Checker.JobStarts(jobID(10+number)))
	}
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
}

// TestGuaranteedJobBeginsBesideSuspect guards against a guaranteed job that waits while a suspect of low
// priority keeps all workers to itself.
func TestGuaranteedJobBeginsBesideSuspect(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Catalog.Tenants = []catalog.Tenant{{Name: "tenant", Guaranteed: simulation.WorkerCapacity}}
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	gang := longRunningGang(8)
	gang.GPUs = 6
	w.Submit(spec(1, gang), batch)
	crashWorkerOfFirstJob(t, w, 4*time.Second)
	w.Run(time.Second)
	require.NotEmpty(t, workersOf(w, jobID(1)))
	w.Submit(spec(2, singleTaskStep(2)), urgent)
	w.Run(w.Bounds.GuaranteedStartTimeout)
	require.Equal(t, 2, w.Checker.JobStarts(jobID(2)))
	requireInvariants(t, w)
}

// TestOutlivedLossesAreForgotten guards against losses that add up over the life of a service: a run that
// lasts for longer than any task takes to crash its worker clears its task, whoever the owner is.
func TestOutlivedLossesAreForgotten(t *testing.T) {
	for name, takeover := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewCluster(2, 4)
			w.Work = runForDays
			w.AcquirePool()
			w.Run(time.Second)
			w.Submit(spec(1, longRunningStep(1)), batch)
			crashWorkerOfFirstJob(t, w, time.Second)
			w.Run(30 * time.Second)
			require.Len(t, storedLosses(t, w, jobID(1)), 1)
			if takeover {
				w.AcquirePool()
			}
			w.Run(35 * time.Second)
			require.Empty(t, storedLosses(t, w, jobID(1)))
			requireInvariants(t, w)
		})
	}
}

// clusterWithRunOnEachWorker returns a cluster with a run of job 1 on each worker. Each takes work.
func clusterWithRunOnEachWorker(t *testing.T, step taskgraph.Step, work time.Duration) *simulation.Cluster {
	t.Helper()
	w := simulation.NewCluster(2, 4)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(1) {
			return work
		}
		return time.Second
	}
	w.AcquirePool()
	w.Run(time.Second)
	step.MaxPerWorker = 1
	w.Submit(spec(1, step), urgent)
	w.Run(4 * time.Second)
	require.Len(t, workersOf(w, jobID(1)), 8)
	return w
}

// TestSuspectIsTriedAgainWithoutEmptyWorker guards against a task that waits for an empty worker for good
// after its worker was lost, while each worker has a run that does not end.
func TestSuspectIsTriedAgainWithoutEmptyWorker(t *testing.T) {
	overrunning := smallLongRunningStep(8)
	overrunning.LongRunning = false
	cases := map[string]struct {
		step taskgraph.Step
		work time.Duration
	}{
		"long-running":                 {smallLongRunningStep(8), 48 * time.Hour},
		"far longer than its estimate": {overrunning, time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := clusterWithRunOnEachWorker(t, c.step, c.work)
			w.Submit(spec(2, singleTaskStep(1)), batch)
			w.Run(300 * time.Millisecond)
			workersOf(w, jobID(2))[0].CrashAndRestart()
			w.Run(4*time.Second + idleWaitBound)
			require.Equal(t, 2, w.Checker.JobStarts(jobID(2)), "once more within the bound after its worker is known to be lost")
			w.Run(10 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
		})
	}
}

// TestCrashingTaskIsFoundWithoutEmptyWorker checks that a task which crashes its workers is still found by
// few of them if all workers have long-running tasks, and that these go on.
func TestCrashingTaskIsFoundWithoutEmptyWorker(t *testing.T) {
	w := clusterWithRunOnEachWorker(t, smallLongRunningStep(8), 48*time.Hour)
	w.Run(time.Minute)
	crashing := taskOf(2, 0, 0)
	w.Crashing[crashing] = simulation.Crash{After: 300 * time.Millisecond}
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(time.Minute)
	requireJobFailed(t, w, crashing, 2)
	require.Len(t, workersOf(w, jobID(1)), 8)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
}

// TestClockJumpOutlivesNoLosses guards against a suspect that is cleared because its worker's clock was set
// forward while it ran.
func TestClockJumpOutlivesNoLosses(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, longRunningStep(1)), batch)
	crashWorkerOfFirstJob(t, w, time.Second)
	w.Run(5 * time.Second)
	workersOf(w, jobID(1))[0].AdvanceClock(2 * time.Minute)
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.NotZero(t, w.Checker.DecisionCounts["worker clock jumped"])
	require.Len(t, storedLosses(t, w, jobID(1)), 1)
}
