package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// These tests guard against an owner that skips or acknowledges the ended runs of a restarted
// worker by the numbers of runs from before the restart.

// restartDuration is how long a restarting worker is down.
const restartDuration = 500 * time.Millisecond

// clocksAfterRestart holds the clock of a worker right after its restart.
var clocksAfterRestart = map[string]int64{"clock from zero": 0, "clock far ahead": 7_000_000}

// restartWithEndedRuns lets the only worker of a pool report eight ended runs, and restarts the
// worker while it runs eight other tasks. The simulation then continues long enough for these tasks
// to run again.
func restartWithEndedRuns(clockMillis int64, queue catalog.Queue, afterwards func(*simulation.Worker)) *simulation.Cluster {
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(3 * time.Second)
	w.Submit(spec(2, singleTaskStep(8)), queue)
	w.Run(time.Second)
	w.Workers[0].Restart(restartDuration, clockMillis)
	w.Run(restartDuration + time.Millisecond)
	afterwards(w.Workers[1])
	w.Run(40 * time.Second)
	return w
}

func TestEndsOfRestartedWorkerAreProcessed(t *testing.T) {
	for name, clockMillis := range clocksAfterRestart {
		t.Run(name, func(t *testing.T) {
			w := restartWithEndedRuns(clockMillis, batch, func(*simulation.Worker) {})
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			for index := range 8 {
				require.LessOrEqual(t, w.Checker.Starts(taskOf(2, 0, index)), 2, "one start before and one after the restart")
			}
		})
	}
}

func TestFailuresOnARestartedWorkerAreCounted(t *testing.T) {
	for name, clockMillis := range clocksAfterRestart {
		t.Run(name, func(t *testing.T) {
			queue := batch
			queue.MaxAttempts = 1
			w := restartWithEndedRuns(clockMillis, queue, func(next *simulation.Worker) { next.Failing = true })
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Failed, w.StoredState(jobID(2)))
		})
	}
}
