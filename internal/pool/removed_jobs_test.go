package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestListingOlderThanRemovalDoesNotRunJobAgain: a completed job's rows are listed, then removed, and
// the listing is read after the removal.
func TestListingOlderThanRemovalDoesNotRunJobAgain(t *testing.T) {
	const listedBefore = 2 * time.Second
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	row := acceptedRow(w, jobID(1))
	stored := func() int { return len(w.Store.List(pool.JobTable, row.Part, jobID(1)).Rows) }
	w.Run(w.Bounds.StatusRetention + time.Minute - listedBefore)
	require.Equal(t, 1, stored())
	w.Store.AnswerDelay = func(call simulation.StoreCall) time.Duration {
		if call.Kind == simulation.ScanCall && call.Table == pool.JobTable {
			return 3 * listedBefore
		}
		return 0
	}
	w.Store.ForgetHistory()
	w.Run(2 * listedBefore)
	require.Zero(t, stored(), "removed while the listing is on its way")
	w.Run(4 * listedBefore)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}
