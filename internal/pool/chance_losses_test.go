package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestTwoChanceLossesDoNotFailJob guards against a healthy job that fails after two unrelated
// worker restarts. Both end runs of the same task, at very different ages of the runs.
func TestTwoChanceLossesDoNotFailJob(t *testing.T) {
	w := simulation.NewCluster(3, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(2)), batch)
	w.Run(2150 * time.Millisecond)
	busyWorker(w).Restart(300*time.Millisecond, 0)
	for w.Checker.Starts(taskOf(1, 0, 0)) < 2 {
		w.Run(time.Millisecond)
	}
	w.Run(367 * time.Millisecond)
	for _, worker := range w.RunningWorkers() {
		if worker.RunsOfTask(taskOf(1, 0, 0)) {
			worker.Restart(300*time.Millisecond, 0)
		}
	}
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestTwoChanceLossesAroundTakeoverDoNotFailJob guards against a healthy job that fails after two
// unrelated worker restarts, if the second one ends a run of an earlier owner. The age of that run
// must be known, since two losses at very different ages prove nothing.
func TestTwoChanceLossesAroundTakeoverDoNotFailJob(t *testing.T) {
	w := simulation.NewCluster(3, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(2900 * time.Millisecond)
	busyWorker(w).Restart(300*time.Millisecond, 0)
	for w.Checker.Starts(taskOf(1, 0, 0)) < 2 {
		w.Run(time.Millisecond)
	}
	// The confirmed start is written within 0.5 s.
	w.Run(520 * time.Millisecond)
	owner.Process.Kill()
	w.AcquirePool()
	w.Run(100 * time.Millisecond)
	busyWorker(w).Restart(300*time.Millisecond, 0)
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
