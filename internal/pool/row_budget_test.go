package pool_test

import (
	"fmt"
	"testing"

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
