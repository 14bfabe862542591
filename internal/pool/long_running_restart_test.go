package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A long-running task whose run has ended must start again soon wherever there is ample capacity for it,
// however full the pool is otherwise. It gains nothing by waiting for a better place.

// TestLongRunningTaskIsRestartedBesideWaitingGang guards against a gang that reserves all workers for the
// time at which long-running tasks would end by their estimates (review case 8).
func TestLongRunningTaskIsRestartedBesideWaitingGang(t *testing.T) {
	const workers = 8
	w := simulation.NewCluster(2, workers/2)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	lasting := longRunningStep(workers)
	lasting.Resources, lasting.MaxPerWorker, lasting.EstimateMillis = taskgraph.Resources{CPU: 16000, MemoryMB: 8192}, 1, time.Hour.Milliseconds()
	w.Submit(spec(1, lasting), batch)
	w.Run(3 * time.Second)
	long := singleTaskStep(workers - 1)
	long.Resources, long.EstimateMillis = taskgraph.Resources{CPU: 40000, MemoryMB: 8192}, time.Hour.Milliseconds()
	w.Submit(spec(2, long), batch)
	w.Run(3 * time.Second)
	gang := gangStep(workers)
	gang.Resources = taskgraph.Resources{CPU: 64000, MemoryMB: 8192}
	w.Submit(spec(3, gang), urgent)
	w.Run(3 * time.Second)
	for _, worker := range w.Workers {
		if worker.RunsOf(jobID(2)) == 0 {
			worker.FailRuns()
		}
	}
	w.Run(idleWaitBound)
	require.Len(t, workersOf(w, jobID(1)), workers)
	requireInvariants(t, w)
}
