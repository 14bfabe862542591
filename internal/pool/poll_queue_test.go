package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestFirstContactsAreBounded guards against a new owner that contacts too many workers at once and
// considers them unresponsive. Workers with runs come first.
func TestFirstContactsAreBounded(t *testing.T) {
	const maxContacts = 128
	w := simulation.NewCluster(30, 10)
	w.Work = func(taskgraph.TaskName) time.Duration { return 20 * time.Second }
	last := w.Workers[len(w.Workers)-1]
	for _, worker := range w.Workers {
		worker.Draining = worker != last
		w.PutWorkerRow(worker)
	}
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	first := w.AcquirePool()
	w.Run(time.Second)
	require.Equal(t, 1, last.Runs())
	first.Process.Kill()
	for _, worker := range w.Workers {
		worker.Draining, worker.Partitioned = false, worker != last
		w.PutWorkerRow(worker)
	}
	before := w.Checker.Metrics["worker_orders/hold"]
	w.AcquirePool()
	w.Run(100 * time.Millisecond)
	require.LessOrEqual(t, w.Checker.Metrics["worker_orders/hold"]-before, maxContacts+2)
	require.Contains(t, w.Checker.DecisionLog[len(w.Checker.DecisionLog)-1], "pool state loaded", "no worker counts as unresponsive yet")
	for _, worker := range w.Workers {
		worker.Partitioned = false
	}
	w.Submit(spec(2, singleTaskStep(100)), batch)
	w.Run(10 * time.Second)
	running := 0
	for _, worker := range w.Workers {
		running += worker.RunsOf(jobID(2))
	}
	require.Equal(t, 100, running)
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
