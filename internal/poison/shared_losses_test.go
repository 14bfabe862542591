package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTrackerOfCrashingLoad returns a tracker of a load in which one in 80 started tasks was found to
// crash its workers.
func newTrackerOfCrashingLoad() *LossTracker {
	tracker := newTestTracker(12)
	tracker.prior = prior{started: 500, poison: 1500.0/80 - 1}
	return tracker
}

// TestTwoLossesBesideOthersAreInsufficient guards against a healthy task that is rejected after two
// losses, each beside another task that crashed the worker and is not yet found out (soak seed
// 920100). The next loss, alone on its worker, is sufficient.
func TestTwoLossesBesideOthersAreInsufficient(t *testing.T) {
	tracker, task := newTrackerOfCrashingLoad(), newHistory()
	loseWorker(tracker, 0, 24*time.Millisecond, task, newHistory())
	loseWorker(tracker, 18, 13*time.Millisecond, task, newHistory())
	require.Greater(t, task.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, task.Verdict())
	loseWorker(tracker, 24, 13*time.Millisecond, task)
	require.Equal(t, PoisonByOdds, task.Verdict())
}

// TestNeighborsOfOtherAgesLeaveNoDoubt checks that a neighbor stands in the way of a verdict only as
// far as it may have caused the loss, and that the next owner knows.
func TestNeighborsOfOtherAgesLeaveNoDoubt(t *testing.T) {
	for _, c := range []struct {
		neighborAge time.Duration
		verdict     Verdict
	}{{100 * time.Millisecond, Suspected}, {500 * time.Millisecond, Suspected}, {3 * time.Second, PoisonByOdds}} {
		tracker, task := newTrackerOfCrashingLoad(), newHistory()
		loseWorkerWithSuspects(tracker, 0, []Suspect{{History: task, Age: earlyAge}, {History: newHistory(), Age: c.neighborAge}})
		next := newTestTracker(12)
		next.prior = tracker.prior
		restored := NewGroup().NewHistory(task.Records())
		next.Restore(restored)
		loseWorker(next, 18, earlyAge, restored, newHistory())
		require.Equal(t, c.verdict, restored.Verdict(), "age %v, odds %.1f", c.neighborAge, restored.Odds())
	}
}

// TestUnconfirmedNeighborsLeaveDoubt guards against a healthy task that seems to have been alone on a
// lost worker, because the task that crashed it did so before its start was answered.
func TestUnconfirmedNeighborsLeaveDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		neighbor *History
		verdict  Verdict
	}{"other task": {newHistory(), Suspected}, "none": {nil, PoisonByOdds}} {
		t.Run(name, func(t *testing.T) {
			tracker, task := newTrackerOfCrashingLoad(), newHistory()
			loss := Loss{Worker: "lost", At: at(0), Replaced: true, Suspects: []Suspect{{History: task, Age: earlyAge}}}
			if c.neighbor != nil {
				loss.Unconfirmed = []Suspect{{History: c.neighbor, Age: earlyAge}}
			}
			tracker.RecordLoss(loss)
			loseWorker(tracker, 18, earlyAge, task, newHistory())
			require.Greater(t, task.Odds(), float64(poisonOdds))
			require.Equal(t, c.verdict, task.Verdict(), "odds %.0f", task.Odds())
		})
	}
}
