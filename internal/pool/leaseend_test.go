package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// longRun returns a world of two workers in which the first owner has started a job of one
// long task, and that owner.
func longRun() (*simulation.World, *simulation.Owner) {
	w := simulation.NewWorld(1, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	long := single(1)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	owner := w.Own()
	w.Run(5 * time.Second)
	return w, owner
}

// busyWorker names the worker that runs something.
func busyWorker(w *simulation.World) *simulation.Worker {
	for _, worker := range w.Workers {
		if worker.Runs() > 0 {
			return worker
		}
	}
	return nil
}

// TestLeaseWaitBeginsWithTheRows: an owner read the list of workers, then waited for 8 s for
// the rows of progress, while the one before it still ran tasks. A worker that did not answer
// at once then counted as silent since the list was read, so that its lease seemed to have run
// out, 2 ms after the rows were read, and its task was started again beside it ("lease ran
// out" in the same instant as "rows read").
func TestLeaseWaitBeginsWithTheRows(t *testing.T) {
	w, _ := longRun()
	for _, part := range pool.ProgressParts(simulation.PoolName) {
		w.Store.Silent[part] = true
	}
	w.Own()
	w.Run(8 * time.Second)
	lossy := true
	busyWorker(w).LoseAnswer = func() bool { return lossy }
	clear(w.Store.Silent)
	w.Run(3 * time.Second)
	lossy = false
	w.Run(45 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestDeposedOwnerDoesNotExtendLeases: a new owner waits until the leases on a worker that it
// cannot reach have surely run out. The former owner reached that worker still, did not know
// of its successor, and went on extending the lease, so that the task ran twice at once. A
// suspended owner does not even see that time has passed, if it lives by the steady clock.
func TestDeposedOwnerDoesNotExtendLeases(t *testing.T) {
	for name, lose := range map[string]func(*simulation.World, *simulation.Owner){
		"cut off": func(_ *simulation.World, owner *simulation.Owner) { owner.CutFromStore = true },
		"frozen": func(w *simulation.World, owner *simulation.Owner) {
			owner.CutFromStore = true
			owner.Process.Freeze(w.Clock.Now().Add(5 * time.Second))
		},
		"suspended": func(w *simulation.World, owner *simulation.Owner) {
			owner.CutFromStore = true
			owner.Process.Suspend(w.Clock.Now().Add(5 * time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, former := longRun()
			busy := busyWorker(w)
			lose(w, former)
			w.Run(500 * time.Millisecond)
			next := w.Own()
			next.CutFrom[busy.ID] = true
			w.Run(30 * time.Second)
			next.CutFrom[busy.ID] = false
			w.Run(40 * time.Second)
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
		})
	}
}

// TestStartIsNotSentLongAfterItsRow: an owner stood still between the write of a placement
// and its start, was replaced, and sent the start when it went on; the new owner had by then
// waited out the leases on a worker that it could not reach.
func TestStartIsNotSentLongAfterItsRow(t *testing.T) {
	for name, stop := range map[string]func(*simulation.World, *simulation.Owner, time.Duration){
		"frozen": func(w *simulation.World, owner *simulation.Owner, d time.Duration) {
			owner.Process.Freeze(w.Clock.Now().Add(d))
		},
		"suspended": func(w *simulation.World, owner *simulation.Owner, d time.Duration) {
			owner.Process.Suspend(w.Clock.Now().Add(d))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewWorld(1, 2)
			w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
			former := w.Own()
			w.Run(time.Second)
			w.Store.Latency = 40 * time.Millisecond
			long := single(1)
			long.EstimateMillis = 30000
			w.Submit(spec(1, long), batch)
			// The feed brings the job at once; the write is under way.
			w.Run(20 * time.Millisecond)
			stop(w, former, 6800*time.Millisecond)
			former.CutFromStore = true
			w.Run(200 * time.Millisecond)
			next := w.Own()
			next.CutFrom["w-0-0"], next.CutFrom["w-0-1"] = true, true
			w.Run(6400 * time.Millisecond)
			next.CutFrom["w-0-1"] = false
			w.Run(20 * time.Second)
			next.CutFrom["w-0-0"] = false
			w.Run(60 * time.Second)
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
		})
	}
}
