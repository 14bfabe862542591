package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceTellsWhatRatiosWereComputedFrom checks that an operator can tell a loss beside another
// suspect from a loss that only chance explains, and both from one that an earlier owner weighed.
func TestEvidenceTellsWhatRatiosWereComputedFrom(t *testing.T) {
	tracker, task, neighbor := newTestTracker(48), newHistory(), newHistory()
	loseWorker(tracker, 0, earlyAge, task, neighbor)
	alone := loseWorker(tracker, 4, time.Second, task)
	task.AddUnexplained("left")

	evidence := task.Evidence()
	require.Len(t, evidence, 3)
	require.Equal(t, 1, evidence[0].Others)
	require.Positive(t, evidence[0].OthersRate)
	require.InDelta(t, neighbor.Odds(), evidence[0].OthersOdds, 1e-9)
	require.Equal(t, alone, evidence[1].Worker)
	require.Equal(t, time.Second, evidence[1].Age)
	require.Zero(t, evidence[1].Others)
	require.InDelta(t, replacedLossRate, evidence[1].ChanceRate, 1e-6)
	require.True(t, evidence[1].Weighed)
	require.True(t, evidence[2].Unexplained)
	require.False(t, evidence[2].AgeKnown)

	restored := NewGroup().NewHistory(task.Records()).Evidence()
	require.InDelta(t, evidence[1].Ratio, restored[1].Ratio, 1e-9)
	require.False(t, restored[1].Weighed)
}
