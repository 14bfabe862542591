package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// stopDeadline is the time after a cancellation within which all runs of the job must have ended.
const stopDeadline = 3400 * time.Millisecond

// TestLateStartOfACancelledJobIsStopped: a worker carries out a start seconds after it was sent,
// when its job has been cancelled.
func TestLateStartOfACancelledJobIsStopped(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 2900 * time.Millisecond} {
		w := simulation.NewCluster(1, 1)
		w.OrderDelay = simulation.FixedDelay(late)
		w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
		w.Workers[0].OrderOutcome = func() simulation.Outcome { return simulation.AppliedLate }
		w.AcquirePool()
		w.Run(time.Second)
		w.Submit(spec(1, singleTaskStep(1)), batch)
		w.Run(100 * time.Millisecond)
		w.Cancel(jobID(1))
		w.Run(stopDeadline)
		w.Workers[0].OrderOutcome = nil
		w.Run(time.Second)
		require.Zero(t, w.Workers[0].Runs(), late)
		requireInvariants(t, w)
	}
}

// removeRowOfBusyWorker starts a task on a worker whose row is then deleted without a drain, while
// the worker still serves. The owner is replaced, and the job is cancelled.
func removeRowOfBusyWorker(replace func(*simulation.Cluster, *simulation.Owner)) *simulation.Cluster {
	w, former := newClusterWithLongTask()
	w.RemoveWorkerRow(busyWorker(w))
	w.Run(500 * time.Millisecond)
	replace(w, former)
	return w
}

// TestTaskOfReplacedOwnerIsStopped: a new owner must be able to stop a task on a worker whose row
// is gone, rather than leave it running until its lease ends.
func TestTaskOfReplacedOwnerIsStopped(t *testing.T) {
	for name, replace := range map[string]func(*simulation.Cluster, *simulation.Owner){
		"killed": func(w *simulation.Cluster, owner *simulation.Owner) {
			owner.Process.Kill()
			w.Cancel(jobID(1))
			w.AcquirePool()
		},
		"pool released": func(w *simulation.Cluster, owner *simulation.Owner) {
			owner.Process.Post(owner.Release)
			w.Run(100 * time.Millisecond)
			w.Cancel(jobID(1))
			w.AcquirePool()
		},
		"cancelled before the feed delivered it": func(w *simulation.Cluster, owner *simulation.Owner) {
			w.Store.FeedsUnresponsive = true
			w.Cancel(jobID(1))
			w.Run(200 * time.Millisecond)
			owner.Process.Kill()
			w.Store.FeedsUnresponsive = false
			w.AcquirePool()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := removeRowOfBusyWorker(replace)
			w.Run(stopDeadline)
			for _, worker := range w.Workers {
				require.Zero(t, worker.Runs())
			}
			requireInvariants(t, w)
		})
	}
}

// TestRunOfAnEndedJobIsStoppedByTheNextOwner guards against a run that continues because its owner
// was killed after the owner stored a cancellation and before the stops arrived.
func TestRunOfAnEndedJobIsStoppedByTheNextOwner(t *testing.T) {
	for name, removeRow := range map[string]func(*simulation.Cluster, *simulation.Worker){
		"listed":  func(*simulation.Cluster, *simulation.Worker) {},
		"leaving": func(w *simulation.Cluster, worker *simulation.Worker) { w.RemoveWorkerRow(worker) },
	} {
		t.Run(name, func(t *testing.T) {
			w, former := newClusterWithLongTask()
			busy := busyWorker(w)
			busy.OrderOutcome = func() simulation.Outcome { return simulation.Dropped }
			w.Cancel(jobID(1))
			w.Run(100 * time.Millisecond)
			require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
			removeRow(w, busy)
			w.Run(100 * time.Millisecond)
			former.Process.Kill()
			busy.OrderOutcome = nil
			w.Run(500 * time.Millisecond)
			w.AcquirePool()
			w.Run(stopDeadline)
			require.Zero(t, busy.Runs())
			requireInvariants(t, w)
		})
	}
}
