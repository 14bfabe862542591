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
	return w, startLongRun(w)
}

// startLongRun starts a job of one long task under a first owner.
func startLongRun(w *simulation.World) *simulation.Owner {
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	long := single(1)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	owner := w.Own()
	w.Run(5 * time.Second)
	return owner
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
	busy := busyWorker(w)
	for _, part := range pool.ProgressParts(simulation.PoolName) {
		w.Store.Silent[part] = true
	}
	w.Own()
	w.Run(8 * time.Second)
	lossy := true
	busy.LoseAnswer = func() bool { return lossy }
	clear(w.Store.Silent)
	w.Run(3 * time.Second)
	lossy = false
	w.Run(45 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// successorReadsLate lets an owner that is busy all the time be replaced by one that loses the
// store for 8 s after it has read the list of workers.
func successorReadsLate(without pool.Without) *simulation.World {
	w, _ := longRun()
	w.Without = without
	w.Work = func(taskgraph.TaskName) time.Duration { return 200 * time.Millisecond }
	busy := busyWorker(w)
	next := w.Own()
	next.CutFrom[busy.ID] = true
	w.Run(3 * time.Millisecond)
	next.CutFromStore = true
	for n := 2; n < 22; n++ {
		w.Submit(spec(n, single(1)), batch)
		w.Run(400 * time.Millisecond)
	}
	next.CutFromStore = false
	w.Run(3 * time.Second)
	next.CutFrom[busy.ID] = false
	w.Run(45 * time.Second)
	return w
}

// TestLeaseWaitBehindABusyOwner: as before, with a former owner whose writes tell it that it
// stands.
func TestLeaseWaitBehindABusyOwner(t *testing.T) {
	requireKeptOnlyWith(t, successorReadsLate, pool.Without{ClaimWait: true})
}

// pause stops a process for a while, in one of the ways in which that happens.
type pause func(*simulation.World, *simulation.Owner, time.Duration)

func freeze(w *simulation.World, owner *simulation.Owner, d time.Duration) {
	owner.Process.Freeze(w.Clock.Now().Add(d))
}

func suspend(w *simulation.World, owner *simulation.Owner, d time.Duration) {
	owner.Process.Suspend(w.Clock.Now().Add(d))
}

func goOn(*simulation.World, *simulation.Owner, time.Duration) {}

// deposedOwner lets an owner of a long run be cut off from the store, and paused, and then
// replaced by one that cannot reach the run's worker.
func deposedOwner(stop pause, without pool.Without, steadyTime bool) *simulation.World {
	w := simulation.NewWorld(1, 2)
	w.Without, w.SteadyTime = without, steadyTime
	former := startLongRun(w)
	busy := busyWorker(w)
	former.CutFromStore = true
	stop(w, former, 5*time.Second)
	w.Run(500 * time.Millisecond)
	next := w.Own()
	next.CutFrom[busy.ID] = true
	w.Run(30 * time.Second)
	next.CutFrom[busy.ID] = false
	w.Run(40 * time.Second)
	return w
}

// TestDeposedOwnerDoesNotExtendLeases: a new owner waits until the leases on a worker that it
// cannot reach have surely run out. The former owner reached that worker still, did not know
// of its successor, and went on extending the lease, so that the task ran twice at once. A
// suspended owner does not even see that time has passed, if it lives by the steady clock.
func TestDeposedOwnerDoesNotExtendLeases(t *testing.T) {
	for name, stop := range map[string]pause{"cut off": goOn, "frozen": freeze, "suspended": suspend} {
		t.Run(name, func(t *testing.T) {
			requireKeptOnlyWith(t, func(without pool.Without) *simulation.World {
				return deposedOwner(stop, without, false)
			}, pool.Without{Confirmation: true})
		})
	}
	briefly := func(w *simulation.World, owner *simulation.Owner, _ time.Duration) { suspend(w, owner, 2*time.Second) }
	requireKept(t, deposedOwner(briefly, pool.Without{}, false))
	require.NotEmpty(t, deposedOwner(briefly, pool.Without{}, true).Judge.Broken, "by the steady clock")
}

// startAfterPause lets an owner be paused between the write of a placement and its start, and
// be replaced by one that cannot reach the worker.
func startAfterPause(stop pause, without pool.Without) *simulation.World {
	w := simulation.NewWorld(1, 2)
	// Where zones can be evacuated, the age of what is known of them holds the start back too.
	w.Bounds.Evacuation = 0
	w.Without = without
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
	return w
}

// TestStartIsNotSentLongAfterItsRow: an owner stood still between the write of a placement
// and its start, was replaced, and sent the start when it went on; the new owner had by then
// waited out the leases on a worker that it could not reach.
func TestStartIsNotSentLongAfterItsRow(t *testing.T) {
	for name, stop := range map[string]pause{"frozen": freeze, "suspended": suspend} {
		t.Run(name, func(t *testing.T) {
			requireKeptOnlyWith(t, func(without pool.Without) *simulation.World {
				return startAfterPause(stop, without)
			}, pool.Without{Confirmation: true})
		})
	}
}

// TestIdleWorkersTellTheirClocks: the owner takes a worker's clock to run up to 2% slow, so
// that after minutes its first start is late by the worker's clock. It was so for ever then:
// the refusal's clock was not heard.
func TestIdleWorkersTellTheirClocks(t *testing.T) {
	w := simulation.NewWorld(1, 1)
	w.Own()
	w.Run(10 * time.Minute)
	w.Submit(spec(1, single(1)), batch)
	w.Run(100 * time.Millisecond)
	require.Equal(t, 1, w.Workers[0].Runs())
}
