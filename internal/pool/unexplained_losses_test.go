package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestLossesWithoutEvidenceDoNotPreventPreemption guards against an urgent job that waits for an
// empty worker after three starts that never arrived on workers that failed. Such losses are no
// evidence that its task crashes workers, so the job preempts others like any urgent job.
func TestLossesWithoutEvidenceDoNotPreventPreemption(t *testing.T) {
	const failing = 3
	w := simulation.NewCluster(1, failing+1)
	w.Catalog.Tenants = []catalog.Tenant{{Name: "tenant", Guaranteed: simulation.WorkerCapacity}}
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(1) {
			return time.Second
		}
		return time.Minute
	}
	w.AcquirePool()
	w.Run(time.Second)
	last := w.Workers[failing]
	last.Unhealthy = true
	for _, worker := range w.Workers[:failing] {
		worker.OrderOutcome = func() simulation.Outcome {
			worker.Crash()
			return simulation.Dropped
		}
	}
	w.Submit(spec(1, gangStep(1)), urgent)
	for tries := 0; tries < 6000 && w.Checker.Metrics["attempts/lost"] < failing; tries++ {
		w.Run(10 * time.Millisecond)
		if w.Checker.Metrics["attempts/lost"] == failing-1 && last.Unhealthy {
			last.Unhealthy = false
			w.Submit(spec(2, singleTaskStep(8)), batch)
			w.Run(time.Second)
		}
	}
	w.Run(w.Bounds.GuaranteedStartTimeout)
	require.True(t, w.Checker.JobDone(jobID(1)))
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
