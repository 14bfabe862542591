package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestUnreadableHeadRowsAreReplaced guards against a pool without an owner: the fencing of a partition
// whose head row can't be decoded was retried without end, so that no accepted job ever ran.
func TestUnreadableHeadRowsAreReplaced(t *testing.T) {
	for name, value := range map[string]string{"no JSON": "?", "empty": "", "other types": `{"token":"seven"}`, "truncated": `{"token":7,"no`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := simulation.NewCluster(2, 4)
			owner := w.AcquirePool()
			w.Submit(spec(1, singleTaskStep(3)), batch)
			w.Run(500 * time.Millisecond)
			owner.Process.Kill()
			replaceHeadRows(w, value)
			w.AcquirePool()
			w.Submit(spec(2, singleTaskStep(3)), batch)
			w.Run(20 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			require.Positive(t, w.Checker.Metrics["refusals/head_row_invalid"])
		})
	}
}
