package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDroppedLossesShortenWatch guards against an export that drops losses and still claims that all
// losses of the last 10 s are known.
func TestDroppedLossesShortenWatch(t *testing.T) {
	const losses, until = 250, 5.0
	former := newTestTracker(3000)
	former.WatchFrom(at(-60))
	for n := range losses {
		loseWorker(former, until*float64(n)/losses, 2*time.Second, newHistory())
	}
	document, err := former.Export(at(until))
	require.NoError(t, err)
	kept, err := decodeKept(document)
	require.NoError(t, err)
	require.Len(t, kept.Losses, maxKeptLosses)
	require.Equal(t, kept.Losses[0].AgeMillis, kept.WatchedMillis)

	next := newTestTracker(3000)
	next.WatchFrom(at(until))
	require.NoError(t, next.Import(document, at(until), 0))
	next.ContinueWatch()
	loseWorker(next, until+1, 2*time.Second, newHistory())
	require.True(t, next.losses[len(next.losses)-1].surroundingsUnknown)
}

// TestEveryExportCanBeImported guards against an owner whose document the next owner refuses.
func TestEveryExportCanBeImported(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker := newTestTracker(1 + random.IntN(100))
		now := playRandomly(tracker, random)
		document, err := tracker.Export(now)
		require.NoError(t, err, "seed %d", seed)
		if document == nil {
			continue
		}
		next := newTestTracker(12)
		require.NoError(t, next.Import(document, now, 0), "seed %d: %s", seed, document)
		require.InDelta(t, tracker.prior.poison*next.prior.started, next.prior.poison*tracker.prior.started, 0.1, "seed %d: the share is kept", seed)
		require.False(t, tracker.MateriallyChanged(document, document, 0), "seed %d", seed)
	}
}

// playRandomly calls random methods of a tracker and returns the time after the last one.
func playRandomly(tracker *LossTracker, random *rand.Rand) time.Time {
	elapsed, worker := 0.0, ""
	for range random.IntN(300) {
		elapsed += random.ExpFloat64() / 10
		switch random.IntN(8) {
		case 0:
			tracker.RecordStarts(random.IntN(30_000))
		case 1:
			for range random.IntN(100) {
				tracker.RecordPoison()
			}
		case 2:
			tracker.WatchFrom(at(elapsed + 5*random.NormFloat64()))
		case 3:
			tracker.WithdrawLoss(worker)
		default:
			worker = loseWorker(tracker, elapsed, time.Duration(random.Int64N(int64(5*time.Second))), newHistory())
		}
	}
	return at(elapsed + 20*random.Float64())
}

// TestKeptLossIsAttributedOnce: a history with several losses is a suspect of each of them once.
func TestKeptLossIsAttributedOnce(t *testing.T) {
	former, task := newTestTracker(12), newHistory()
	loseWorker(former, 0, earlyAge, task)
	loseWorker(former, 3, earlyAge, task)
	document, err := former.Export(at(4))
	require.NoError(t, err)
	next := newTestTracker(12)
	next.Restore(NewGroup().NewHistory(task.Records()))
	require.NoError(t, next.Import(document, at(5), time.Second))
	for _, loss := range next.losses {
		require.Len(t, loss.earlierSuspects, 1)
	}
}

// TestLossesAtEndOfWindowAreNoChange guards against writes because of losses that both documents
// hold and that are about to be forgotten.
func TestLossesAtEndOfWindowAreNoChange(t *testing.T) {
	tracker := newTestTracker(12)
	loseWorker(tracker, 0, earlyAge, newHistory())
	for _, c := range []struct{ written, current float64 }{{5, 29.85}, {5, 29.9}, {5, 29.95}, {28, 29.99}, {29.95, 29.96}, {5, 30.05}} {
		before, err := tracker.Export(at(c.written))
		require.NoError(t, err)
		after, err := tracker.Export(at(c.current))
		require.NoError(t, err)
		elapsed := at(c.current).Sub(at(c.written))
		if after == nil {
			after = []byte(`{}`)
		}
		require.False(t, tracker.MateriallyChanged(before, after, elapsed), "%v", c)
	}
}

// TestOwnObservationKeepsAttribution guards against an owner that, once it observes a kept loss
// itself, takes the loss for a chance loss in the evidence about the task that caused it.
func TestOwnObservationKeepsAttribution(t *testing.T) {
	for name, observe := range map[string]struct{ before, after bool }{"not observed": {}, "after the import": {after: true}, "before the import": {before: true}} {
		t.Run(name, func(t *testing.T) {
			former, task := newTestTracker(12), newHistory()
			worker := loseWorker(former, 0, earlyAge, task)
			document, err := former.Export(at(1))
			require.NoError(t, err)
			next := newTestTracker(12)
			restored := NewGroup().NewHistory(task.Records())
			next.Restore(restored)
			if observe.before {
				next.RecordLoss(Loss{Worker: worker, At: at(0.1)})
			}
			require.NoError(t, next.Import(document, at(2), time.Second))
			if observe.after {
				next.RecordLoss(Loss{Worker: worker, At: at(0.1)})
			}
			require.Len(t, restored.group.losses, 1)
			loseWorker(next, 4, earlyAge, restored)
			t.Logf("odds %.0f", restored.Odds())
			require.Equal(t, PoisonByOdds, restored.Verdict())
			require.Greater(t, restored.Odds(), 20_000.0)
			require.True(t, next.WithdrawLoss(worker))
			require.Equal(t, 1, restored.LossCount(), "a withdrawn loss leaves the history")
			require.Len(t, restored.group.losses, 1)
		})
	}
}
