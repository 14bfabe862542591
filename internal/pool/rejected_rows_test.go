package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// smallRowLimit is a limit of the store that the rows of small jobs keep to.
	smallRowLimit = 2_000
	smallJobs     = 30
	wideJob       = 1000
)

// wideStep returns a step of single tasks that save checkpoints.
func wideStep(count int) taskgraph.Step {
	return taskgraph.Step{Count: count, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 3000, Checkpoints: true}
}

// playWideJob submits a wide job among small ones.
func playWideJob(prepare func(*simulation.Cluster), steps ...taskgraph.Step) *simulation.Cluster {
	w := simulation.NewCluster(6, 8)
	w.Checker.Quiet = true
	w.ReportCheckpoints = true
	w.Work = func(name taskgraph.TaskName) time.Duration {
		return time.Duration(500+name.Index*7%3000) * time.Millisecond
	}
	prepare(w)
	for number := range smallJobs {
		w.Clock.After(time.Duration(number)*200*time.Millisecond, func() {
			w.Submit(spec(number+1, taskgraph.Step{Count: 2, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 900}), batch)
		})
	}
	w.Clock.After(time.Second, func() { w.Submit(spec(wideJob, steps...), batch) })
	w.Run(60 * time.Second)
	return w
}

func requireSmallJobsCompleted(t *testing.T, w *simulation.Cluster) {
	t.Helper()
	for number := range smallJobs {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(number+1)), "small job %d", number+1)
	}
}

// ownAndReplace starts an owner and, if there are takeovers, replaces it each 3 s for 15 s.
func ownAndReplace(w *simulation.Cluster, takeovers bool) {
	owner := w.AcquirePool()
	for i := 1; takeovers && i <= 5; i++ {
		w.Clock.After(time.Duration(i)*3*time.Second, func() { owner = takeOver(w, owner) })
	}
}

// TestRejectedRowDoesNotStopPool guards against a pool that stops for good after the store has rejected one
// row: the same batch was sent again and again, and no row behind it was written.
func TestRejectedRowDoesNotStopPool(t *testing.T) {
	cases := map[string]struct {
		prepare func(*simulation.Cluster)
		// rejects is true if the store rejects the row, and not the owner.
		rejects bool
	}{
		"the owner does not know the limit": {func(*simulation.Cluster) {}, true},
		"the owner knows the limit":         {func(w *simulation.Cluster) { w.MaxRowBytes = smallRowLimit }, false},
		"slow store": {func(w *simulation.Cluster) {
			w.Store.TransactionTime = 40 * time.Millisecond
			w.Store.AnswerDelay = func(simulation.StoreCall) time.Duration { return 200 * time.Millisecond }
		}, true},
		"lost answers": {func(w *simulation.Cluster) {
			calls := 0
			w.Store.WriteOutcome = func() simulation.Outcome {
				calls++
				if calls%5 == 0 {
					return simulation.AppliedUnacknowledged
				}
				return simulation.Acknowledged
			}
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := playWideJob(func(w *simulation.Cluster) {
				w.Checker.RejectionsExpected = true
				w.Store.Limits.RowBytes = smallRowLimit
				c.prepare(w)
				ownAndReplace(w, false)
			}, wideStep(200))
			requireInvariants(t, w)
			requireSmallJobsCompleted(t, w)
			require.Equal(t, taskgraph.Failed, w.StoredState(jobID(wideJob)), "callers see the end")
			require.Positive(t, w.Checker.Metrics["refusals/progress_row_rejected"])
			if !c.rejects {
				require.Zero(t, w.Checker.Metrics["rejected_transactions"])
				return
			}
			require.Positive(t, w.Checker.Metrics["rejected_transactions"])
			require.Less(t, w.Checker.Metrics["rejected_transactions"], 200)
		})
	}
}

// TestRejectedHeadRowShrinks guards against a pool that stops for good after the store has rejected its head
// row, which is part of each transaction.
func TestRejectedHeadRowShrinks(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeover), func(t *testing.T) {
			w := playWideJob(func(w *simulation.Cluster) {
				w.Checker.RejectionsExpected = true
				stored := changingRoutes{storedModels: 300}
				replaceHeadRows(w, stored.storedHead())
				for i := range stored.storedModels {
					w.Catalog.Queues = append(w.Catalog.Queues, catalog.Queue{Name: storedName(i), Pool: simulation.PoolName})
				}
				if takeover {
					w.Store.Limits.RowBytes = smallRowLimit
				} else {
					w.Clock.After(time.Second, func() { w.Store.Limits.RowBytes = smallRowLimit })
				}
				ownAndReplace(w, takeover)
			}, wideStep(10))
			requireInvariants(t, w)
			requireSmallJobsCompleted(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(wideJob)))
			require.Positive(t, w.Checker.Metrics["refusals/head_row_rejected"])
		})
	}
}

// TestRejectionsNameTheRow: an operator finds the row at fault, its size and the limit in the log, and
// hears of a row near its limit before.
func TestRejectionsNameTheRow(t *testing.T) {
	w := playWideJob(func(w *simulation.Cluster) {
		w.Checker.Quiet, w.Checker.RejectionsExpected, w.MaxRowBytes = false, true, 6_000
		ownAndReplace(w, false)
	}, wideStep(250))
	log := strings.Join(w.Checker.DecisionLog, "\n")
	require.Contains(t, log, "row near its limit [pool "+simulation.PoolName+" job "+jobID(wideJob))
	require.Contains(t, log, "row set aside [pool "+simulation.PoolName+" job "+jobID(wideJob))
	require.Contains(t, log, "limit 6000")
}
