package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestWideJobsKeepToRowLimit guards against a progress row that outgrows the store's limit while
// many tasks of one job run (review case 2).
func TestWideJobsKeepToRowLimit(t *testing.T) {
	cases := map[string][]taskgraph.Step{
		"three steps at once":  {wideStep(470), wideStep(470), wideStep(470)},
		"one very wide step":   {wideStep(4000)},
		"gang of many":         {{Count: 1024, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 2000, Gang: true, Checkpoints: true}},
		"gang beside one step": {{Count: 800, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 2000, Gang: true}, wideStep(900)},
	}
	for name, steps := range cases {
		for _, takeovers := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeovers %v", name, takeovers), func(t *testing.T) {
				t.Parallel()
				w := playWideJob(func(w *simulation.Cluster) { ownAndReplace(w, takeovers) }, steps...)
				requireInvariants(t, w)
				requireSmallJobsCompleted(t, w)
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(wideJob)))
				t.Logf("largest rows in bytes: %v", w.Store.LargestRows)
				require.LessOrEqual(t, w.Store.LargestRows["progress"], w.Store.Limits.RowBytes)
			})
		}
	}
}

// TestWideJobsRunAgainAfterACrash guards against units that are never placed again, as the row's budget
// counted the room that they have already as taken by others (review case 9).
func TestWideJobsRunAgainAfterACrash(t *testing.T) {
	cases := map[string]taskgraph.Step{
		"gang of 1,024":            {Count: 1024, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 3000, Gang: true},
		"most single tasks in row": {Count: 760, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 3000},
	}
	for name, step := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := simulation.NewCluster(6, 8)
			w.Checker.Quiet = true
			w.Work = func(taskgraph.TaskName) time.Duration { return 3 * time.Second }
			w.AcquirePool()
			w.Run(time.Second)
			w.Submit(spec(1, step), batch)
			w.Run(1500 * time.Millisecond)
			if step.Gang {
				busyWorker(w).Restart(50*time.Millisecond, 0)
			} else {
				for _, worker := range w.RunningWorkers() {
					worker.Restart(50*time.Millisecond, 0)
				}
			}
			w.Run(60 * time.Second)
			require.Greater(t, w.Checker.Starts(taskOf(1, 0, 0)), 1, "the task runs again")
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
		})
	}
}
