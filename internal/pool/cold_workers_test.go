package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// makeCold makes a worker slow for a duration and marks it as cold in its row.
func makeCold(w *simulation.Cluster, worker *simulation.Worker, d time.Duration) {
	worker.SlowdownFactor, worker.ColdMillis = 4, d.Milliseconds()
	w.PutWorkerRow(worker)
	w.Clock.After(d, func() {
		worker.SlowdownFactor, worker.ColdMillis = 1, 0
		w.PutWorkerRow(worker)
	})
}

// TestGangsLeaveColdWorkersToSingleTasks checks that gangs avoid cold workers and that single tasks
// run on cold workers. A gang is as slow as its slowest member.
func TestGangsLeaveColdWorkersToSingleTasks(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.AcquirePool()
	w.Run(time.Second)
	makeCold(w, w.Workers[0], 6*time.Second)
	makeCold(w, w.Workers[1], 6*time.Second)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, gangStep(2)), urgent)
	w.Run(100 * time.Millisecond)
	require.Zero(t, w.Workers[0].RunsOf(jobID(1))+w.Workers[1].RunsOf(jobID(1)))
	w.Submit(spec(2, singleTaskStep(4)), urgent)
	w.Run(100 * time.Millisecond)
	require.Equal(t, 4, w.Workers[0].RunsOf(jobID(2))+w.Workers[1].RunsOf(jobID(2)), "single tasks run on cold workers")
	w.Run(20 * time.Second)
	requireInvariants(t, w)
}

// TestColdWorkersAreNotExcluded checks that a straggler's worker is excluded from new work unless
// it is cold.
func TestColdWorkersAreNotExcluded(t *testing.T) {
	for name, cold := range map[string]bool{"cold": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewCluster(1, 3)
			w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
			w.AcquirePool()
			w.Run(time.Second)
			first := w.Workers[0]
			first.SlowdownFactor = 8
			if cold {
				makeCold(w, first, 12*time.Second)
				first.SlowdownFactor = 8
			}
			w.Run(100 * time.Millisecond)
			step := gangStep(3)
			step.EstimateMillis = 4000
			w.Submit(spec(1, step), urgent)
			w.Run(6 * time.Second)
			require.Equal(t, !cold, w.Checker.DecisionCounts["worker excluded"] > 0)
		})
	}
}
