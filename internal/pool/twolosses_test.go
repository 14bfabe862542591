package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A sound job was given up after two of twelve workers had started again, 0.4 s apart, both under one
// of its tasks: "job given up", reason crash_odds, losses 2, odds 576; "run lost" at the age of 2.2 s
// beside another task, and of 0.4 s alone. No other worker was lost around them, so that two losses
// stood out from the rate of chance losses, which leaves out those of the task itself.

// TestTwoLossesByChanceGiveNoJobUp: two losses at ages so far apart don't tell a task that crashes its
// workers from a sound one, and a third run does.
func TestTwoLossesByChanceGiveNoJobUp(t *testing.T) {
	w := simulation.NewWorld(3, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	w.Own()
	w.Run(time.Second)
	w.Submit(spec(1, single(2)), batch)
	w.Run(2150 * time.Millisecond)
	busyWorker(w).Restart(300*time.Millisecond, 0)
	for w.Judge.Starts(taskOf(1, 0, 0)) < 2 {
		w.Run(time.Millisecond)
	}
	w.Run(367 * time.Millisecond)
	for _, worker := range w.Living() {
		if worker.RunsOfTask(taskOf(1, 0, 0)) {
			worker.Restart(300*time.Millisecond, 0)
		}
	}
	w.Run(30 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
