package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// gangWork is the duration of the gangs in these tests.
const gangWork = 2500 * time.Millisecond

func newGangCluster(racks, workers int) *simulation.Cluster {
	w := simulation.NewCluster(racks, workers)
	w.Work = func(taskgraph.TaskName) time.Duration { return gangWork }
	return w
}

// newClusterWithGang returns a simulation of four workers with an owner and a gang as job 1.
func newClusterWithGang(members int, work, estimate time.Duration) *simulation.Cluster {
	w := simulation.NewCluster(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return work }
	w.AcquirePool()
	step := gangStep(members)
	step.EstimateMillis = estimate.Milliseconds()
	w.Submit(spec(1, step), batch)
	return w
}

// workersOf returns the workers that run tasks of a job.
func workersOf(w *simulation.Cluster, job string) []*simulation.Worker {
	var running []*simulation.Worker
	for _, worker := range w.Workers {
		if worker.RunsOf(job) > 0 {
			running = append(running, worker)
		}
	}
	return running
}

// TestStalledNewGangIsRestartedSoon guards against a fixed stall timeout, after which an urgent
// gang on stalled workers misses its objective although a restart would have lost little.
func TestStalledNewGangIsRestartedSoon(t *testing.T) {
	w := newGangCluster(2, 4)
	for _, worker := range w.Workers[:2] {
		worker.Stalled = true
	}
	w.AcquirePool()
	w.Submit(spec(1, gangStep(3)), urgent)
	w.Run(3*gangWork - time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)), "a stall of 1.5 s, a stop and a second run fit into the time")
}

// TestStalledWorkersGetNoNewWork checks that workers with stalled runs get no new work.
func TestStalledWorkersGetNoNewWork(t *testing.T) {
	w := newGangCluster(1, 4)
	stalled := w.Workers[0]
	stalled.Stalled = true
	w.AcquirePool()
	limited := singleTaskStep(8)
	limited.MaxPerWorker = 2
	w.Submit(spec(1, limited), batch)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 2, stalled.Runs(), "the first runs are stalled there")
	w.Run(gangWork)
	w.Submit(spec(2, singleTaskStep(8)), urgent)
	w.Run(time.Second)
	require.Zero(t, stalled.RunsOf(jobID(2)))
	stalled.Stalled = false
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestShortStallDoesNotRestartLongRun checks that a short stall does not restart a run that
// has done more work than the stall lasts.
func TestShortStallDoesNotRestartLongRun(t *testing.T) {
	const work, stall = 10 * time.Second, 3 * time.Second
	w := newClusterWithGang(3, work, work)
	w.Run(work / 2)
	running := workersOf(w, jobID(1))
	require.Len(t, running, 3)
	running[0].Stalled = true
	w.Run(stall)
	running[0].Stalled = false
	w.Run(work)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}

// TestLongTasksAreNotStalled checks that a run whose progress takes 36 s per percent does not
// count as stalled.
func TestLongTasksAreNotStalled(t *testing.T) {
	const work = time.Hour
	w := newClusterWithGang(3, work, work)
	w.Run(2 * time.Minute)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}

// TestUnderestimatedTaskCompletes guards against endless restarts of a task that takes
// longer for a percent of progress than its estimate's stall timeout.
func TestUnderestimatedTaskCompletes(t *testing.T) {
	const work = 20 * time.Minute
	for name, estimate := range map[string]time.Duration{"no estimate": 0, "a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithGang(2, work, estimate)
			w.Run(work + 2*time.Minute)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.LessOrEqual(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}), 6)
		})
	}
}
