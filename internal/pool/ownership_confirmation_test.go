package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestConfirmationReadAfterTakeoverExtendsNoLease: a peer confirms an owner that is frozen, another
// node acquires the pool, and the owner handles the confirmation when it resumes. Only the former
// owner reaches the worker.
func TestConfirmationReadAfterTakeoverExtendsNoLease(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 60 * time.Second }
	former := w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(time.Second)
	w.Store.Unavailable = true
	w.Run(600 * time.Millisecond)
	former.Process.Freeze(w.Clock.Now().Add(4 * time.Second))
	w.Run(300 * time.Millisecond)
	former.PartitionedFromStore = true
	w.Store.Unavailable = false
	next := w.AcquirePool()
	for _, worker := range w.Workers {
		next.PartitionedFrom[worker.ID] = worker.Runs() > 0
	}
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 2, w.Checker.Starts(taskOf(1, 0, 0)), "the next owner starts the task once the lease is over")
}
