package poison

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// aroundTakeover describes a task that loses a worker under each of two owners.
type aroundTakeover struct {
	// others are the times of losses of other workers under the first owner.
	others []float64
	// ages are the ages of the task's runs when their workers were lost.
	ages [2]time.Duration
	// kept is true if the second owner reads the first owner's losses.
	kept bool
	// known is true if the second owner read a row of the first owner, and calm if it takes it that
	// there were no losses before it.
	known, calm bool
}

const (
	firstLossAt  = 6.0
	takeoverAt   = 8.0
	secondLossAt = 10.5
)

// play returns the task's history under the second owner.
func (a aroundTakeover) play(t *testing.T) *History {
	former, task := newTestTracker(12), newHistory()
	former.WatchFrom(at(-60))
	for _, when := range a.others {
		loseWorker(former, when, 2*time.Second, newHistory())
	}
	loseWorker(former, firstLossAt, a.ages[0], task)
	document, err := former.Export(at(takeoverAt - 1))
	require.NoError(t, err)

	next := newTestTracker(12)
	next.WatchFrom(at(takeoverAt))
	restored := NewGroup().NewHistory(task.Records())
	next.Restore(restored)
	if a.kept {
		require.NoError(t, next.Import(document, at(takeoverAt), time.Second))
	}
	if a.known {
		next.ContinueWatch()
	}
	if a.calm {
		next.AssumeNoLossesBefore()
	}
	loseWorker(next, secondLossAt, a.ages[1], restored)
	return restored
}

// TestChanceLossesAroundTakeoverAreNotPoison guards against an owner that judges a loss as if no
// worker had been lost before it took over (soak seed 777047).
func TestChanceLossesAroundTakeoverAreNotPoison(t *testing.T) {
	likeAges := [2]time.Duration{1050 * time.Millisecond, 1010 * time.Millisecond}
	others := []float64{1.5, 2, 3, 4, 5, 6.5}
	cases := map[string]aroundTakeover{
		"losses kept":               {others: others, ages: likeAges, kept: true, known: true},
		"row of another owner only": {others: others, ages: likeAges, kept: true},
		"nothing kept":              {others: others, ages: likeAges},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history := c.play(t)
			require.False(t, history.Verdict().Poison(), "odds %.2f", history.Odds())
		})
	}
}

// TestUnknownLossesAreNotTakenForNone shows what the kept losses are needed for: an owner that takes
// it that there were no losses before it, although it does not know, rejects a healthy task.
func TestUnknownLossesAreNotTakenForNone(t *testing.T) {
	ages := [2]time.Duration{1050 * time.Millisecond, 1010 * time.Millisecond}
	history := aroundTakeover{others: []float64{2, 4}, ages: ages, calm: true}.play(t)
	require.Equal(t, PoisonByOdds, history.Verdict(), "odds %.2f", history.Odds())
	history = aroundTakeover{others: []float64{2, 4}, ages: ages, known: true, kept: true}.play(t)
	require.False(t, history.Verdict().Poison(), "odds %.2f", history.Odds())
}

// TestCrashesAroundTakeoverArePoison: a task that crashes its workers is found by two of them
// although a takeover lies between the two crashes.
func TestCrashesAroundTakeoverArePoison(t *testing.T) {
	ages := [2]time.Duration{earlyAge, earlyAge}
	cases := map[string]aroundTakeover{
		"calm, losses kept":   {ages: ages, kept: true, known: true},
		"calm, nothing kept":  {ages: ages},
		"another loss, kept":  {others: []float64{2}, ages: ages, kept: true, known: true},
		"second after, known": {ages: [2]time.Duration{time.Second, time.Second}, kept: true, known: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history := c.play(t)
			require.Equal(t, PoisonByOdds, history.Verdict(), "odds %.2f", history.Odds())
		})
	}
}

// TestNextOwnerWeighsLossAsFormerOwner: with the kept losses the second loss of a task weighs as it
// does for an owner that saw both.
func TestNextOwnerWeighsLossAsFormerOwner(t *testing.T) {
	for name, others := range map[string][]float64{"calm": nil, "some losses": {1.5, 3, 5, 6.5}, "two": {2, 5}, "burst": {5, 5.1, 5.2, 5.3, 5.4, 5.5, 5.6, 5.7, 5.8}} {
		t.Run(name, func(t *testing.T) {
			ages := [2]time.Duration{time.Second, time.Second}
			one, task := newTestTracker(12), newHistory()
			for _, when := range others {
				loseWorker(one, when, 2*time.Second, newHistory())
			}
			loseWorker(one, firstLossAt, ages[0], task)
			loseWorker(one, secondLossAt, ages[1], task)
			next := aroundTakeover{others: others, ages: ages, kept: true, known: true}.play(t)
			t.Logf("odds %.3g, after a takeover %.3g", task.Odds(), next.Odds())
			require.InEpsilon(t, task.Odds(), next.Odds(), 0.35)
		})
	}
}

// TestShortWatchIsContinued: what the former owner did not watch is not known to the next one.
func TestShortWatchIsContinued(t *testing.T) {
	former := newTestTracker(12)
	former.WatchFrom(at(0))
	document, err := former.Export(at(3))
	require.NoError(t, err)
	next := newTestTracker(12)
	next.WatchFrom(at(5))
	require.NoError(t, next.Import(document, at(5), 2*time.Second))
	loseWorker(next, 6, earlyAge, newHistory())
	require.True(t, next.losses[0].surroundingsUnknown)
	next.ContinueWatch()
	require.True(t, next.losses[0].surroundingsUnknown, "6 s of 10 are known")
	loseWorker(next, 10.5, earlyAge, newHistory())
	require.False(t, next.losses[1].surroundingsUnknown, "10.5 s are known")
}

func TestKeptLossIsWithdrawnAndReplaced(t *testing.T) {
	former, task := newTestTracker(12), newHistory()
	worker := loseWorker(former, 0, earlyAge, task)
	document, err := former.Export(at(1))
	require.NoError(t, err)

	next := newTestTracker(12)
	require.NoError(t, next.Import(document, at(2), time.Second))
	restored := NewGroup().NewHistory(task.Records())
	next.Restore(restored)
	require.Len(t, restored.group.losses, 1, "the kept loss belongs to the task")
	require.True(t, next.WithdrawLoss(worker))
	require.Empty(t, next.losses)
	require.Zero(t, restored.LossCount())
	require.Empty(t, restored.group.losses)

	require.NoError(t, next.Import(document, at(2), time.Second))
	require.NoError(t, next.Import(document, at(2), time.Second))
	require.Len(t, next.losses, 1, "a loss is taken over once")
	next.RecordLoss(Loss{Worker: worker, At: at(2.5)})
	require.Len(t, next.losses, 1, "the owner's own observation replaces the kept loss")
	require.Nil(t, next.losses[0].kept)
}

// TestKeptLossesSettle: kept losses are dropped once they are too old to matter.
func TestKeptLossesSettle(t *testing.T) {
	former, task := newTestTracker(12), newHistory()
	loseWorker(former, 0, earlyAge, task)
	document, err := former.Export(at(1))
	require.NoError(t, err)
	next := newTestTracker(12)
	restored := NewGroup().NewHistory(task.Records())
	next.Restore(restored)
	require.NoError(t, next.Import(document, at(2), time.Second))
	loseWorker(next, 40, earlyAge, newHistory())
	require.Len(t, next.losses, 1)
	require.Empty(t, restored.group.losses)
	require.Equal(t, 1, restored.LossCount(), "the history stays")

	late := newTestTracker(12)
	require.NoError(t, late.Import(document, at(60), 59*time.Second))
	require.Empty(t, late.losses)
}

func TestShareOfPoisonTasksIsKept(t *testing.T) {
	former := newTestTracker(12)
	former.RecordStarts(500)
	for range 10 {
		former.RecordPoison()
	}
	document, err := former.Export(at(0))
	require.NoError(t, err)
	next := newTestTracker(12)
	require.NoError(t, next.Import(document, at(1), time.Second))
	require.InDelta(t, former.prior.odds(), next.prior.odds(), 1e-6)
}

func TestNothingLearnedExportsNothing(t *testing.T) {
	document, err := newTestTracker(12).Export(at(0))
	require.NoError(t, err)
	require.Nil(t, document)
}

func TestDamagedLossesAreRefused(t *testing.T) {
	for name, document := range map[string]string{
		"no document":         ``,
		"other type":          `[]`,
		"no worker":           `{"losses":[{"age_ms":5,"chance":1}]}`,
		"negative age":        `{"losses":[{"worker":"w","age_ms":-5,"chance":1}]}`,
		"no probability":      `{"losses":[{"worker":"w","age_ms":5,"chance":1.5}]}`,
		"negative share":      `{"started":-1}`,
		"too many poison":     `{"started":1,"poison":1e9}`,
		"too many started":    `{"started":1e9}`,
		"truncated":           `{"losses":[{"worker":"w","age_ms":5`,
		"negative chance":     `{"losses":[{"worker":"w","age_ms":5,"chance":-0.1}]}`,
		"watched too long":    `{"watched_ms":10001}`,
		"huge age":            `{"losses":[{"worker":"w","age_ms":9223372036854775807,"chance":0.1}]}`,
		"losses out of range": `{"losses":[{"worker":"w","age_ms":1e30,"chance":0.1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(12)
			require.Error(t, tracker.Import(json.RawMessage(document), at(5), 0))
			require.Empty(t, tracker.losses)
			require.Zero(t, tracker.prior)
		})
	}
}

// TestMaterialChangesOfLosses: what is weighed differently is material, ages alone are not.
func TestMaterialChangesOfLosses(t *testing.T) {
	tracker := newTestTracker(12)
	export := func(when float64) json.RawMessage {
		document, err := tracker.Export(at(when))
		require.NoError(t, err)
		return document
	}
	const elapsed = 2 * time.Second
	empty := export(0)
	loseWorker(tracker, 0, 3*time.Second, newHistory())
	one := export(1)
	require.True(t, tracker.MateriallyChanged(empty, one, elapsed))
	require.False(t, tracker.MateriallyChanged(one, export(5), 4*time.Second), "only older")
	require.False(t, tracker.MateriallyChanged(one, export(45), 44*time.Second), "forgotten by age")
	worker := loseWorker(tracker, 6, 3*time.Second, newHistory())
	two := export(7)
	require.True(t, tracker.MateriallyChanged(one, two, elapsed))
	tracker.WithdrawLoss(worker)
	require.True(t, tracker.MateriallyChanged(two, export(8), elapsed), "a loss was withdrawn")
	require.True(t, tracker.MateriallyChanged(json.RawMessage(`{`), one, elapsed))
}
