package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestChangeDuringListingOfWorkersIsRead: a worker begins to drain after the owner's listing of the
// worker rows was read from the store and before the listing arrives.
func TestChangeDuringListingOfWorkersIsRead(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Run(time.Second)
	w.Store.AnswerDelay = func(call simulation.StoreCall) time.Duration {
		if call.Kind == simulation.ScanCall && call.Table == w.WorkerTable {
			return 2 * time.Second
		}
		return 0
	}
	w.Store.ForgetHistory()
	w.Run(1500 * time.Millisecond)
	draining := w.Workers[0]
	draining.Draining, draining.RemainingMillis = true, 60_000
	w.PutWorkerRow(draining)
	w.Run(3 * time.Second)
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(500 * time.Millisecond)
	require.Zero(t, draining.Runs())
	require.Equal(t, 8, w.Workers[1].Runs())
	requireInvariants(t, w)
}

// TestCancellationReadBeforeItsJob: the store delivers a cancellation ahead of the job's own row.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	key := pool.CancelledKey(pool.JobPartitions(simulation.PoolName, jobID(1))[0], jobID(1))
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: []byte("{}")}}})
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(3 * time.Second)
	requireInvariants(t, w)
	require.Zero(t, w.Checker.JobStarts(jobID(1)))
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
}
