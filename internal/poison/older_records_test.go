package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecordOfOlderVersionIsInconclusive guards against a healthy task that is rejected because an
// older version weighed its first loss by too low a rate. The next owner knows neither the losses
// before it nor the age of the run that is lost next (upgrade soak seed 930004).
func TestRecordOfOlderVersionIsInconclusive(t *testing.T) {
	former, task := newTestTracker(12), newHistory()
	loseWorker(former, 6, 300*time.Millisecond, task)
	records := task.Records()
	// Older versions don't record which losses are conclusive.
	records[0].Conclusive = false

	next := newTestTracker(12)
	next.WatchFrom(at(8))
	restored := NewGroup().NewHistory(records)
	next.Restore(restored)
	loseWorkerWithSuspects(next, 10, []Suspect{{History: restored, Age: 2 * time.Second, AgeEstimated: true}})
	require.Greater(t, restored.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, restored.Verdict())
	loseWorker(next, 14, 300*time.Millisecond, restored)
	require.Equal(t, PoisonByOdds, restored.Verdict(), "a run alone of known age is sufficient")
}
