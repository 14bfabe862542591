package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Guards against gangs being placed on one failed idle worker after another, each placement ending
// with a start error.

// TestGangsAvoidWorkersFailedWithOthers: a third of the workers fails, a few of them
// busy. Gangs submitted a while later are placed once.
func TestGangsAvoidWorkersFailedWithOthers(t *testing.T) {
	w := newGangCluster(3, 12)
	w.AcquirePool()
	w.Run(time.Second)
	for n := 1; n <= 6; n++ {
		w.Submit(spec(n, gangStep(2)), batch)
	}
	w.Run(500 * time.Millisecond)
	// Their rows have not expired yet.
	for i, worker := range w.Workers {
		if i%3 == 0 {
			worker.Crash()
		}
	}
	w.Run(3 * time.Second)
	for n := 11; n <= 16; n++ {
		w.Submit(spec(n, gangStep(2)), urgent)
	}
	w.Run(gangWork + 500*time.Millisecond)
	requireInvariants(t, w)
	for n := 11; n <= 16; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
		require.Equal(t, 1, w.Checker.Starts(taskOf(n, 0, 0)), "job %d", n)
	}
}
