package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A long-running task whose run has ended must start again soon wherever there is ample capacity for it,
// however full the pool is otherwise. It gains nothing by waiting for a better place.

// TestLongRunningTaskIsRestartedBesideWaitingGang guards against a gang that reserves all workers for the
// time at which long-running tasks would end by their estimates (review case 8).
func TestLongRunningTaskIsRestartedBesideWaitingGang(t *testing.T) {
	const workers = 8
	w := simulation.NewCluster(2, workers/2)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	lasting := longRunningStep(workers)
	lasting.Resources, lasting.MaxPerWorker, lasting.EstimateMillis = taskgraph.Resources{CPU: 16000, MemoryMB: 8192}, 1, time.Hour.Milliseconds()
	w.Submit(spec(1, lasting), batch)
	w.Run(3 * time.Second)
	long := singleTaskStep(workers - 1)
	long.Resources, long.EstimateMillis = taskgraph.Resources{CPU: 40000, MemoryMB: 8192}, time.Hour.Milliseconds()
	w.Submit(spec(2, long), batch)
	w.Run(3 * time.Second)
	gang := gangStep(workers)
	gang.Resources = taskgraph.Resources{CPU: 64000, MemoryMB: 8192}
	w.Submit(spec(3, gang), urgent)
	w.Run(3 * time.Second)
	for _, worker := range w.Workers {
		if worker.RunsOf(jobID(2)) == 0 {
			worker.FailRuns()
		}
	}
	w.Run(idleWaitBound)
	require.Len(t, workersOf(w, jobID(1)), workers)
	requireInvariants(t, w)
}

// TestLongRunningTaskIsRestartedInHeadroom guards against a long-running task that loses its worker for good
// and is kept out of the only rack with room, which units with slack leave to urgent jobs.
func TestLongRunningTaskIsRestartedInHeadroom(t *testing.T) {
	const racks, perRack = 6, 4
	w := simulation.NewCluster(racks, perRack)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	step := longRunningStep((racks - 1) * perRack)
	step.GPUs, step.EstimateMillis = 8, (15 * time.Minute).Milliseconds()
	queue := batch
	queue.Priority = 1
	w.Submit(spec(1, step), queue)
	w.Run(15 * time.Second)
	require.Len(t, workersOf(w, jobID(1)), step.Count)
	loseForGood(w, workersOf(w, jobID(1))[0])
	w.Run(restartBound)
	require.Len(t, workersOf(w, jobID(1)), step.Count)
	requireInvariants(t, w)
}

// restartBound is the time from the loss of a worker for good to the next start of its long-running tasks: 6 s
// after their last run, and idleWaitBound.
const restartBound = 6*time.Second + idleWaitBound

// loseForGood crashes a worker that does not come back. Another instance answers at its address.
func loseForGood(w *simulation.Cluster, worker *simulation.Worker) {
	worker.Crash()
	worker.Replaced = true
	w.RemoveWorkerRow(worker)
}

// TestLongRunningTaskIsRestartedInAnotherRack guards against a long-running task that loses its worker for good
// and waits for a place in the rack of its data, which other long-running tasks fill.
func TestLongRunningTaskIsRestartedInAnotherRack(t *testing.T) {
	const perRack = 8
	w := simulation.NewCluster(2, perRack)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	near := longRunningStep(perRack)
	near.GPUs, near.PreferredRack, near.EstimateMillis = 8, "r-0", time.Minute.Milliseconds()
	w.Submit(spec(1, near), batch)
	w.Run(3 * time.Second)
	other := longRunningStep(perRack / 2)
	other.GPUs, other.PreferredRack = 8, "r-1"
	w.Submit(spec(2, other), batch)
	w.Run(3 * time.Second)
	require.Len(t, workersOf(w, jobID(1)), perRack)
	loseForGood(w, workersOf(w, jobID(1))[0])
	w.Run(restartBound)
	require.Len(t, workersOf(w, jobID(1)), perRack)
	requireInvariants(t, w)
}

// restartAfterShutdown returns how long a long-running task of the only worker with a label is down after that
// worker has shut down as planned, while another one with the label is idle. With crashBefore, the worker has
// crashed under the task and come back under its identifier some seconds before.
func restartAfterShutdown(t *testing.T, crashBefore bool) time.Duration {
	t.Helper()
	w := simulation.NewCluster(2, 4)
	w.Bounds.MaxLease = 10 * time.Second
	w.Work = runForDays
	w.AcquirePool()
	worker := addLabeledWorker(w, "labeled", "r-0")
	w.Run(time.Second)
	step := smallLongRunningStep(1)
	step.RequiredLabel = specialLabel
	w.Submit(spec(1, step), batch)
	w.Run(time.Second)
	if crashBefore {
		worker.Restart(2*time.Second, 0)
		w.Run(4 * time.Second)
		worker = workerOfTask(w, taskOf(1, 0, 0))
	}
	require.Equal(t, 1, worker.RunsOf(jobID(1)))
	addLabeledWorker(w, "other", "r-1")
	beginDrain(w, worker)
	w.Run(drainTime + shutdownDelay)
	worker.Crash()
	worker.Unreachable = true
	w.RemoveWorkerRow(worker)
	shutdownAt := w.Clock.Now()
	for len(workersOf(w, jobID(1))) == 0 && w.Clock.Now().Sub(shutdownAt) < time.Minute {
		w.Run(10 * time.Millisecond)
	}
	requireInvariants(t, w)
	return w.Clock.Now().Sub(shutdownAt)
}

// TestLongRunningTaskIsRestartedAfterShutdown guards against a long-running task that stays down after its
// worker has left as planned.
func TestLongRunningTaskIsRestartedAfterShutdown(t *testing.T) {
	require.LessOrEqual(t, restartAfterShutdown(t, false), restartBound)
}

// TestLongRunningTaskIsRestartedAfterShutdownOfReturnedWorker is like TestLongRunningTaskIsRestartedAfterShutdown,
// for a worker that had come back after a crash some seconds before.
func TestLongRunningTaskIsRestartedAfterShutdownOfReturnedWorker(t *testing.T) {
	require.LessOrEqual(t, restartAfterShutdown(t, true), restartBound)
}
