package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// heartbeat is how often workers of the platform write their rows.
const heartbeat = 1500 * time.Millisecond

// beat lets every worker write its row once per period, all spread over it, as heartbeats do.
func beat(w *simulation.World, period time.Duration) {
	for i, worker := range w.Workers {
		var write func()
		write = func() {
			if !worker.Dead {
				w.PutWorkerRow(worker)
				w.Clock.After(period, write)
			}
		}
		w.Clock.After(period*time.Duration(i)/time.Duration(len(w.Workers)), write)
	}
}

// TestHeartbeatsAreReadTogether: each heartbeat of a worker ended the feed of the workers' rows at
// once, which was asked for again: two thirds of an owner's calls to the store told nothing new.
func TestHeartbeatsAreReadTogether(t *testing.T) {
	w := simulation.NewWorld(10, 8)
	beat(w, heartbeat)
	w.Own()
	w.Run(2 * time.Second)
	before := w.Store.Feeds[w.WorkerTable]
	w.Run(10 * time.Second)
	perSecond := float64(w.Store.Feeds[w.WorkerTable]-before) / 10
	require.LessOrEqual(t, perSecond, 6.0)
	require.GreaterOrEqual(t, perSecond, 3.0)
}

// drainFirst lets the first worker drain, and returns it.
func drainFirst(w *simulation.World) *simulation.Worker {
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 5000
	w.PutWorkerRow(leaving)
	return leaving
}

// TestDrainsAreKnownSoonAmidHeartbeats: the least bound of the platform is 2 s.
func TestDrainsAreKnownSoonAmidHeartbeats(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	beat(w, 300*time.Millisecond)
	w.Own()
	w.Run(2 * time.Second)
	leaving := drainFirst(w)
	w.Run(300 * time.Millisecond)
	w.Submit(spec(1, single(6)), urgent)
	w.Run(200 * time.Millisecond)
	require.Zero(t, leaving.RunsOf(jobID(1)))
	w.Run(10 * time.Second)
	requireKept(t, w)
}

// TestFeedOfManyWorkersKeepsUp: 4,500 workers write 3,000 rows a second, more than answers of 500
// rows bring with a pause after each; what the owner knew of its workers grew older and older.
func TestFeedOfManyWorkersKeepsUp(t *testing.T) {
	w := simulation.NewWorld(45, 100)
	w.Judge.Quiet = true
	beat(w, heartbeat)
	w.Own()
	w.Run(8 * time.Second)
	drainFirst(w)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 1, w.Judge.Decisions["worker draining"])
}
