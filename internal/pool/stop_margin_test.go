package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestStopOnASlowClockIsWaitedOut guards against a task that runs twice at once: a stop takes the time
// that the platform allows by a worker's clock, which may be slow, and a report is read just before.
func TestStopOnASlowClockIsWaitedOut(t *testing.T) {
	const slowClock = 1.02
	w := simulation.NewCluster(1, 2)
	w.Bounds.StopTimeout = 900 * time.Millisecond
	w.StopTime = time.Duration(slowClock * float64(w.Bounds.StopTimeout))
	w.Work = func(taskgraph.TaskName) time.Duration { return 20 * time.Second }
	owner := w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(time.Second)
	leaving := busyWorker(w)
	leaving.Draining, leaving.RemainingMillis = true, 3000
	w.PutWorkerRow(leaving)
	for range 1000 {
		owner.PollNow(leaving.ID)
		w.Run(time.Millisecond)
	}
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
