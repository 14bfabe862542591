package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// requireRunsSurviveInvalidRow starts tasks on the only worker, then makes the worker's row
// invalid. The tasks must complete, and nothing may start on the worker until the row is valid
// again.
func requireRunsSurviveInvalidRow(t *testing.T, w *simulation.Cluster, invalidate func()) {
	t.Helper()
	w.Submit(spec(1, singleTaskStep(4)), batch)
	w.Run(time.Second)
	invalidate()
	w.Run(500 * time.Millisecond)
	w.Submit(spec(2, singleTaskStep(2)), batch)
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
	require.Zero(t, w.Checker.JobStarts(jobID(2)), "nothing starts while the worker row is invalid")
	w.PutWorkerRow(w.Workers[0])
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

// TestRunsSurviveInvalidWorkerRow: a worker's row is temporarily invalid while tasks run that
// outlast their first lease.
func TestRunsSurviveInvalidWorkerRow(t *testing.T) {
	for name, value := range map[string]string{"no JSON document": "{", "null": "null", "another service": `{"ID":"w-0-0","Pool":"other","Address":"w-0-0"}`} {
		t.Run(name, func(t *testing.T) {
			w, _ := newClusterWithOneWorker(pool.DisabledSafeguards{})
			w.Work = func(taskgraph.TaskName) time.Duration { return 9 * time.Second }
			requireRunsSurviveInvalidRow(t, w, func() { w.PutInvalidRow(w.Workers[0].ID, []byte(value)) })
		})
	}
}

// TestNextOwnerFindsRunsDespiteInvalidWorkerRow: the owner is killed while a worker's row is
// invalid. The next owner must contact the worker at the address in the progress rows.
func TestNextOwnerFindsRunsDespiteInvalidWorkerRow(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 9 * time.Second }
	owner := w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(4)), batch)
	w.Run(time.Second)
	w.PutInvalidRow(w.Workers[0].ID, []byte("null"))
	w.Run(500 * time.Millisecond)
	owner.Process.Kill()
	w.Run(time.Second)
	w.AcquirePool()
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
}

// TestInvalidWorkerRowsAreLoggedOnce: thousands of invalid worker rows must produce one log line
// and not affect the use of valid workers.
func TestInvalidWorkerRowsAreLoggedOnce(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	for n := range 3000 {
		w.PutInvalidRow(fmt.Sprintf("foreign-%d", n), []byte("{}"))
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(16)), batch)
	w.Run(3 * time.Second)
	for n := range 3000 {
		w.PutInvalidRow(fmt.Sprintf("foreign-%d", n), []byte("[]"))
	}
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.DecisionCounts["invalid worker rows"])
	require.Equal(t, 3000, w.Checker.Metrics["foreign_rows"])
}
