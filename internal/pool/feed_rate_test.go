package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// heartbeat is the period in which workers write their rows.
const heartbeat = 1500 * time.Millisecond

// writeHeartbeats lets every worker write its row once per period, spread evenly over it.
func writeHeartbeats(w *simulation.Cluster, period time.Duration) {
	for i, worker := range w.Workers {
		var write func()
		write = func() {
			if !worker.Crashed {
				w.PutWorkerRow(worker)
				w.Clock.After(period, write)
			}
		}
		w.Clock.After(period*time.Duration(i)/time.Duration(len(w.Workers)), write)
	}
}

// TestHeartbeatsAreReadTogether guards against one store call for each heartbeat of a worker.
func TestHeartbeatsAreReadTogether(t *testing.T) {
	w := simulation.NewCluster(10, 8)
	writeHeartbeats(w, heartbeat)
	w.AcquirePool()
	w.Run(2 * time.Second)
	before := w.Store.Feeds[w.WorkerTable]
	w.Run(10 * time.Second)
	perSecond := float64(w.Store.Feeds[w.WorkerTable]-before) / 10
	require.LessOrEqual(t, perSecond, 6.0)
	require.GreaterOrEqual(t, perSecond, 3.0)
}

func drainFirstWorker(w *simulation.Cluster) *simulation.Worker {
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 5000
	w.PutWorkerRow(leaving)
	return leaving
}

// TestDrainsAreKnownSoonAmidHeartbeats checks that the owner notices a drain promptly amid frequent
// heartbeats.
func TestDrainsAreKnownSoonAmidHeartbeats(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	writeHeartbeats(w, 300*time.Millisecond)
	w.AcquirePool()
	w.Run(2 * time.Second)
	leaving := drainFirstWorker(w)
	w.Run(300 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(6)), urgent)
	w.Run(200 * time.Millisecond)
	require.Zero(t, leaving.RunsOf(jobID(1)))
	w.Run(10 * time.Second)
	requireInvariants(t, w)
}

// TestWorkerFeedOfLargePoolKeepsUp checks that the owner's worker list stays up to date when many
// workers write their rows often. 4,500 workers write 3,000 rows per second, more than responses of
// 500 rows bring with a delay after each.
func TestWorkerFeedOfLargePoolKeepsUp(t *testing.T) {
	w := simulation.NewCluster(45, 100)
	w.Checker.Quiet = true
	writeHeartbeats(w, heartbeat)
	w.AcquirePool()
	w.Run(8 * time.Second)
	drainFirstWorker(w)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 1, w.Checker.DecisionCounts["worker draining"])
}
