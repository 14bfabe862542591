package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// loseTwiceAmongOthers loses two workers that ran one task shortly after its start, while other
// workers are lost at a steady rate. It returns the task's history.
func loseTwiceAmongOthers(tracker *LossTracker) *History {
	task := newHistory()
	for second := range 20 {
		loseWorker(tracker, float64(second), earlyAge)
		if second == 9 || second == 13 {
			loseWorker(tracker, float64(second)+0.5, earlyAge, task)
		}
	}
	return task
}

// TestPriorFollowsShareOfPoisonTasks guards against poison tasks that each crash one more worker
// than necessary, in a pool where many tasks are poison.
func TestPriorFollowsShareOfPoisonTasks(t *testing.T) {
	rare, frequent := newTestTracker(24), newTestTracker(24)
	frequent.RecordStarts(500)
	for range 20 {
		frequent.RecordPoison()
	}
	require.Equal(t, Suspected, loseTwiceAmongOthers(rare).Verdict())
	require.Equal(t, PoisonByOdds, loseTwiceAmongOthers(frequent).Verdict())
}

// TestPriorIsBounded guards against verdicts that amplify each other without limit.
func TestPriorIsBounded(t *testing.T) {
	tracker := newTestTracker(12)
	for range 10 * priorWeight {
		tracker.RecordStarts(1)
		tracker.RecordPoison()
	}
	require.InEpsilon(t, maxPriorOdds, tracker.prior.odds(), 1e-9)
	require.LessOrEqual(t, tracker.prior.started, float64(maxRecentTasks))
}

// TestPriorForgetsPoisonTasks checks that the estimate returns to priorOdds when no further task is
// found to be poison.
func TestPriorForgetsPoisonTasks(t *testing.T) {
	tracker := newTestTracker(12)
	tracker.RecordStarts(500)
	for range 20 {
		tracker.RecordPoison()
	}
	require.Greater(t, tracker.prior.odds(), 10*priorOdds)
	for range 50 {
		tracker.RecordStarts(priorWeight)
	}
	require.Less(t, tracker.prior.odds(), 2*priorOdds)
}
