package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestFailingWorkersUseUpNoGangAttempts guards against gangs that lose all attempts to workers that
// fail all new runs while their older runs still make progress.
func TestFailingWorkersUseUpNoGangAttempts(t *testing.T) {
	w := simulation.NewCluster(4, 10)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(0) {
			return 20 * time.Second
		}
		return 2 * time.Second
	}
	long := singleTaskStep(80)
	long.EstimateMillis = 20000
	w.Submit(spec(0, long), batch)
	w.AcquirePool()
	w.Run(time.Second)
	for i, worker := range w.Workers {
		worker.Failing = i%8 == 0
	}
	const gangs = 30
	gangStep := singleTaskStep(6)
	gangStep.Gang, gangStep.CPU, gangStep.GPUs, gangStep.MaxPerWorker = true, 24000, 2, 1
	for n := 1; n <= gangs; n++ {
		w.Submit(spec(n, gangStep), urgent)
		w.Run(300 * time.Millisecond)
	}
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	for n := 1; n <= gangs; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "gang %d", n)
	}
}

// TestHealthyWorkersAreUsedAgain checks that a worker that failed a run gets gangs again once
// another run has made progress on the worker.
func TestHealthyWorkersAreUsedAgain(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.Workers[0].Failing = true
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.AcquirePool()
	w.Run(500 * time.Millisecond)
	w.Workers[0].Failing = false
	w.Submit(spec(2, singleTaskStep(12)), batch)
	w.Run(3 * time.Second)
	w.Submit(spec(3, gangStep(2)), urgent)
	w.Run(1500 * time.Millisecond)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
}

// TestSameRackGangDespiteFailedWorker guards against a same-rack gang that is spread over several
// racks, and so slowed down, because one worker of each rack failed once.
func TestSameRackGangDespiteFailedWorker(t *testing.T) {
	w := simulation.NewCluster(2, 3)
	for i, worker := range w.Workers {
		worker.Failing = i%3 == 0
	}
	spread := singleTaskStep(6)
	spread.MaxPerWorker = 1
	w.Work = func(taskgraph.TaskName) time.Duration { return 350 * time.Millisecond }
	w.Submit(spec(1, spread), batch)
	w.AcquirePool()
	w.Run(time.Second)
	w.Work = func(taskgraph.TaskName) time.Duration { return time.Second }
	for _, worker := range w.Workers {
		worker.Failing = false
	}
	sameRackGang := gangStep(3)
	sameRackGang.SameRack = true
	w.Submit(spec(2, sameRackGang), urgent)
	w.Run(300 * time.Millisecond)
	racks := map[string]int{}
	for _, worker := range w.Workers {
		racks[worker.Rack()] += worker.RunsOf(jobID(2))
	}
	require.Len(t, racks, 2)
	for rack, runs := range racks {
		require.Contains(t, []int{0, 3}, runs, rack)
	}
	w.Run(10 * time.Second)
	requireInvariants(t, w)
}
