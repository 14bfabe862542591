package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// These tests guard against urgent gangs that miss their objective, or are restarted repeatedly, in
// a pool whose workers ordinarily differ in speed.

// mixedSpeedWork is the duration of the work in these tests on a worker of speed 1.
const mixedSpeedWork = 4 * time.Second

// newMixedSpeedCluster returns a simulation whose workers alternate between three speeds in each
// rack.
func newMixedSpeedCluster(racks, workers int) *simulation.Cluster {
	w := simulation.NewCluster(racks, workers)
	w.Work = func(taskgraph.TaskName) time.Duration { return mixedSpeedWork }
	queue := urgent
	queue.Pool = simulation.PoolName
	w.Catalog.Queues = []catalog.Queue{queue}
	for i, worker := range w.Workers {
		worker.SlowdownFactor = []float64{1 / 0.6, 1, 1 / 1.6}[i%3]
	}
	return w
}

func withMixedSpeedEstimate(step taskgraph.Step) taskgraph.Step {
	step.EstimateMillis = mixedSpeedWork.Milliseconds()
	return step
}

// runsOnSlow returns the number of a job's runs on slow workers.
func runsOnSlow(w *simulation.Cluster, job int) int {
	count := 0
	for _, worker := range w.Workers {
		if worker.SlowdownFactor > 1 {
			count += worker.RunsOf(jobID(job))
		}
	}
	return count
}

// TestOrdinarySpeedDifferencesCauseNoRestart checks that a gang is not restarted if the restart
// takes longer than waiting for its slow member.
func TestOrdinarySpeedDifferencesCauseNoRestart(t *testing.T) {
	w := newMixedSpeedCluster(1, 12)
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, withMixedSpeedEstimate(gangStep(6))), urgent)
	w.Run(12 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Zero(t, w.Checker.Metrics["stops/slow member"])
}

// TestSpeedsFromRunningGang checks that speeds are learned from a gang before it ends.
func TestSpeedsFromRunningGang(t *testing.T) {
	w := newMixedSpeedCluster(2, 9)
	w.AcquirePool()
	w.Run(time.Second)
	step := withMixedSpeedEstimate(gangStep(18))
	step.GPUs, step.MaxPerWorker = 4, 1
	w.Submit(spec(1, step), batch)
	w.Run(1500 * time.Millisecond)
	smallGang := withMixedSpeedEstimate(gangStep(4))
	smallGang.GPUs = 4
	w.Submit(spec(2, smallGang), urgent)
	w.Run(200 * time.Millisecond)
	require.Equal(t, 4, w.Checker.Starts(taskOf(2, 0, 0))+w.Checker.Starts(taskOf(2, 0, 1))+w.Checker.Starts(taskOf(2, 0, 2))+w.Checker.Starts(taskOf(2, 0, 3)))
	require.Zero(t, runsOnSlow(w, 2))
	requireInvariants(t, w)
}

// TestSpeedsFromSingleTasks checks that an urgent gang avoids workers on which single tasks were
// slow.
func TestSpeedsFromSingleTasks(t *testing.T) {
	w := newMixedSpeedCluster(2, 9)
	w.AcquirePool()
	w.Run(time.Second)
	for n := 1; n <= 2; n++ {
		w.Submit(spec(n, withMixedSpeedEstimate(singleTaskStep(72))), batch)
		w.Run(16 * time.Second)
	}
	w.Submit(spec(3, withMixedSpeedEstimate(gangStep(4))), urgent)
	w.Run(time.Second)
	require.Zero(t, runsOnSlow(w, 3))
	requireInvariants(t, w)
}

// TestUrgentGangPreemptsOnFasterWorkers checks that an urgent gang preempts units on faster workers
// if the gang would miss its objective on the free, slow workers.
func TestUrgentGangPreemptsOnFasterWorkers(t *testing.T) {
	w := newMixedSpeedCluster(1, 9)
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, withMixedSpeedEstimate(gangStep(9))), batch)
	w.Run(10 * time.Second)
	// The batch gang takes all workers that are not slow, since gangs avoid slow ones.
	w.Submit(spec(2, withMixedSpeedEstimate(gangStep(6))), batch)
	w.Run(500 * time.Millisecond)
	require.Zero(t, runsOnSlow(w, 2))
	w.Submit(spec(3, withMixedSpeedEstimate(gangStep(3))), urgent)
	w.Run(time.Second)
	require.Zero(t, runsOnSlow(w, 3))
	w.Run(5250 * time.Millisecond)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)), "the urgent gang completes in time")
}

// TestDeferrableTasksExploreIdleWorkers checks that deferrable tasks run on idle workers of unknown
// speed once speeds are known to differ much.
func TestDeferrableTasksExploreIdleWorkers(t *testing.T) {
	explored := func(off mechanism.Disabled) int {
		w := newMixedSpeedCluster(4, 9)
		w.DisabledMechanisms = off
		w.AcquirePool()
		w.Run(time.Second)
		w.Submit(spec(1, withMixedSpeedEstimate(gangStep(9))), batch)
		w.Run(8 * time.Second)
		w.Submit(spec(2, withMixedSpeedEstimate(singleTaskStep(27))), batch)
		w.Run(time.Second)
		requireInvariants(t, w)
		workers := 0
		for _, worker := range w.Workers {
			if worker.RunsOf(jobID(2)) > 0 {
				workers++
			}
		}
		return workers
	}
	require.Equal(t, 27, explored(nil))
	require.Less(t, explored(mechanism.Disabled{mechanism.LearnedSpeeds: true}), 9)
}
