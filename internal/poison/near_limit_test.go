package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestInconclusiveLossesNearLimitAreInsufficient guards against a healthy task that is rejected after
// four losses that prove little: of unknown age, beside others, or without a confirmed run. Four
// losses raise the odds tenfold in a pool that loses many workers by chance.
func TestInconclusiveLossesNearLimitAreInsufficient(t *testing.T) {
	tracker, task := newTestTracker(12), newHistory()
	for number := range 8 {
		loseWorker(tracker, 1.25*float64(number), 2*time.Second, newHistory())
	}
	task.AddUnexplained("unconfirmed")
	loseWorkerWithSuspects(tracker, 3, []Suspect{{History: task, Age: 2 * time.Second, AgeEstimated: true}})
	loseWorker(tracker, 5, 190*time.Millisecond, task, newHistory())
	loseWorker(tracker, 7, 190*time.Millisecond, task, newHistory())
	require.Equal(t, maxLosses-1, task.LossCount())
	require.Greater(t, task.Odds(), nearLimitRatio*tracker.prior.odds())
	require.Equal(t, Suspected, task.Verdict())
	loseWorker(tracker, 12, 190*time.Millisecond, task)
	require.Equal(t, PoisonByLimit, task.Verdict())
}

// TestConclusiveLossNearLimitIsSufficient checks that a task which crashes its workers late, in a pool
// that loses many workers, is rejected in time although one of its losses was not detected.
func TestConclusiveLossNearLimitIsSufficient(t *testing.T) {
	tracker, task := newTestTracker(12), newHistory()
	for number := range 16 {
		loseWorker(tracker, float64(number)/2, 334*time.Millisecond, newHistory())
	}
	for _, when := range []float64{1, 3, 5, 7} {
		require.False(t, task.Verdict().Poison())
		loseWorker(tracker, when, 334*time.Millisecond, task)
	}
	require.Less(t, task.Odds(), float64(poisonOdds))
	require.Equal(t, PoisonByLimit, task.Verdict())
}
