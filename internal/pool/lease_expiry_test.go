package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// newClusterWithLongTask returns a simulated cluster of two workers and its first owner, which has
// started one long task.
func newClusterWithLongTask() (*simulation.Cluster, *simulation.Owner) {
	w := simulation.NewCluster(1, 2)
	return w, startLongTask(w)
}

// startLongTask starts a job of one long task under a first owner.
func startLongTask(w *simulation.Cluster) *simulation.Owner {
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	long := singleTaskStep(1)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	owner := w.AcquirePool()
	w.Run(5 * time.Second)
	return owner
}

// busyWorker returns the first worker that has a run, or nil.
func busyWorker(w *simulation.Cluster) *simulation.Worker {
	for _, worker := range w.Workers {
		if worker.Runs() > 0 {
			return worker
		}
	}
	return nil
}

// TestLeaseWaitBeginsWithTheRows guards against an owner that waits for leases from the time of the
// worker list. The former owner may have renewed them until the progress rows were read.
func TestLeaseWaitBeginsWithTheRows(t *testing.T) {
	w, _ := newClusterWithLongTask()
	busy := busyWorker(w)
	for _, part := range pool.ProgressPartitions(simulation.PoolName) {
		w.Store.UnresponsivePartitions[part] = true
	}
	w.AcquirePool()
	w.Run(8 * time.Second)
	lossy := true
	busy.DropPollReply = func() bool { return lossy }
	clear(w.Store.UnresponsivePartitions)
	w.Run(3 * time.Second)
	lossy = false
	w.Run(45 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// delaySuccessorRead replaces a busy owner by a new owner that loses its connection to the store
// for 8 s after it has read the worker list.
func delaySuccessorRead(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w, _ := newClusterWithLongTask()
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 200 * time.Millisecond }
	busy := busyWorker(w)
	next := w.AcquirePool()
	next.PartitionedFrom[busy.ID] = true
	w.Run(3 * time.Millisecond)
	next.PartitionedFromStore = true
	for n := 2; n < 22; n++ {
		w.Submit(spec(n, singleTaskStep(1)), batch)
		w.Run(400 * time.Millisecond)
	}
	next.PartitionedFromStore = false
	w.Run(3 * time.Second)
	next.PartitionedFrom[busy.ID] = false
	w.Run(45 * time.Second)
	return w
}

// TestLeaseWaitBehindABusyOwner is the same case with a former owner whose own writes confirm that
// it has not been replaced.
func TestLeaseWaitBehindABusyOwner(t *testing.T) {
	requireInvariantsNeed(t, delaySuccessorRead, pool.DisabledSafeguards{FormerOwnerLeaseWait: true})
}

// pauseFunc stops a process for a while in one of several ways.
type pauseFunc func(*simulation.Cluster, *simulation.Owner, time.Duration)

func freeze(w *simulation.Cluster, owner *simulation.Owner, d time.Duration) {
	owner.Process.Freeze(w.Clock.Now().Add(d))
}

func suspend(w *simulation.Cluster, owner *simulation.Owner, d time.Duration) {
	owner.Process.Suspend(w.Clock.Now().Add(d))
}

func noPause(*simulation.Cluster, *simulation.Owner, time.Duration) {}

// replacePartitionedOwner partitions the owner of a long run from the store, pauses the owner, and
// replaces it by a new owner that cannot reach the run's worker.
func replacePartitionedOwner(stop pauseFunc, disabled pool.DisabledSafeguards, steadyTime bool) *simulation.Cluster {
	w := simulation.NewCluster(1, 2)
	w.DisabledSafeguards, w.SuspendedClock = disabled, steadyTime
	former := startLongTask(w)
	busy := busyWorker(w)
	former.PartitionedFromStore = true
	stop(w, former, 5*time.Second)
	w.Run(500 * time.Millisecond)
	next := w.AcquirePool()
	next.PartitionedFrom[busy.ID] = true
	w.Run(30 * time.Second)
	next.PartitionedFrom[busy.ID] = false
	w.Run(40 * time.Second)
	return w
}

// TestReplacedOwnerDoesNotExtendLeases guards against a replaced owner that renews a lease while
// its successor waits for the lease to expire. The task would run twice.
func TestReplacedOwnerDoesNotExtendLeases(t *testing.T) {
	for name, stop := range map[string]pauseFunc{"cut off": noPause, "frozen": freeze, "suspended": suspend} {
		t.Run(name, func(t *testing.T) {
			requireInvariantsNeed(t, func(without pool.DisabledSafeguards) *simulation.Cluster {
				return replacePartitionedOwner(stop, without, false)
			}, pool.DisabledSafeguards{Confirmation: true})
		})
	}
	briefly := func(w *simulation.Cluster, owner *simulation.Owner, _ time.Duration) {
		suspend(w, owner, 2*time.Second)
	}
	requireInvariants(t, replacePartitionedOwner(briefly, pool.DisabledSafeguards{}, false))
	// On the steady clock a suspended owner does not notice the time that has passed.
	require.NotEmpty(t, replacePartitionedOwner(briefly, pool.DisabledSafeguards{}, true).Checker.Violations, "with the steady clock")
}

// pauseBeforeStart pauses an owner between the write of a placement and the start. It then replaces
// the owner by a new owner that cannot reach the worker.
func pauseBeforeStart(stop pauseFunc, disabled pool.DisabledSafeguards) *simulation.Cluster {
	w := simulation.NewCluster(1, 2)
	// With evacuations enabled, stale zone information would delay the start as well.
	w.Bounds.EvacuationTimeout = 0
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	former := w.AcquirePool()
	w.Run(time.Second)
	w.Store.Latency = 40 * time.Millisecond
	long := singleTaskStep(1)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	// The feed delivers the job at once; the write is in flight.
	w.Run(20 * time.Millisecond)
	stop(w, former, 6800*time.Millisecond)
	former.PartitionedFromStore = true
	w.Run(200 * time.Millisecond)
	next := w.AcquirePool()
	next.PartitionedFrom["w-0-0"], next.PartitionedFrom["w-0-1"] = true, true
	w.Run(6400 * time.Millisecond)
	next.PartitionedFrom["w-0-1"] = false
	w.Run(20 * time.Second)
	next.PartitionedFrom["w-0-0"] = false
	w.Run(60 * time.Second)
	return w
}

// TestStartIsNotSentLongAfterItsRow: an owner that was paused between the write of a placement and
// its start must not send the start after its successor has waited out the leases.
func TestStartIsNotSentLongAfterItsRow(t *testing.T) {
	for name, stop := range map[string]pauseFunc{"frozen": freeze, "suspended": suspend} {
		t.Run(name, func(t *testing.T) {
			requireInvariantsNeed(t, func(without pool.DisabledSafeguards) *simulation.Cluster {
				return pauseBeforeStart(stop, without)
			}, pool.DisabledSafeguards{Confirmation: true})
		})
	}
}

// TestLateRefusalUpdatesClockEstimate guards against an idle worker that refuses every start as
// late. The clock in its refusal must correct the owner's estimate.
func TestLateRefusalUpdatesClockEstimate(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.AcquirePool()
	w.Run(10 * time.Minute)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(100 * time.Millisecond)
	require.Equal(t, 1, w.Workers[0].Runs())
}
