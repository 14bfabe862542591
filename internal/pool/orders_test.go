package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestRefusedRetryDoesNotHideALateStart: a start got no answer, the next try was refused,
// and the task was started elsewhere while the first start was still to be carried out.
func TestRefusedRetryDoesNotHideALateStart(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.OrderDelay = 1500 * time.Millisecond
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	orders := 0
	for _, worker := range w.Workers {
		worker.LoseOrder = func() simulation.Fate {
			if orders++; orders == 1 {
				worker.Unwell = true
				w.Clock.After(1200*time.Millisecond, func() { worker.Unwell = false })
				return simulation.DoneLate
			}
			return simulation.Answered
		}
	}
	w.Submit(spec(1, single(1)), batch)
	w.Own()
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestUnreachableWorkerIsLeftAtOnce: starts on a worker that refused connections were
// sent again without a pause for 1.2 s, thousands of times.
func TestUnreachableWorkerIsLeftAtOnce(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Own()
	w.Run(time.Second)
	w.Workers[0].Unreachable = true
	w.Submit(spec(1, single(12)), batch)
	w.Run(200 * time.Millisecond)
	require.Equal(t, 8, w.Workers[1].Runs())
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestRowsThatLapsedWithTheStoreAwayAreWaitedFor: workers' rows run out while the store
// is away and are written again soon after it is back; jobs that came then waited.
func TestRowsThatLapsedWithTheStoreAwayAreWaitedFor(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Own()
	w.Run(time.Second)
	w.Store.AwayAll = true
	w.Run(4 * time.Second)
	for _, worker := range w.Workers {
		w.RemoveWorkerRow(worker)
	}
	w.Store.AwayAll = false
	w.Run(1500 * time.Millisecond)
	w.Submit(spec(1, single(1)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 1, w.Workers[0].Runs()+w.Workers[1].Runs(), "started on a worker whose row is not back yet")
	w.PutWorkerRow(w.Workers[0])
	w.Run(2 * time.Second)
	w.Submit(spec(2, single(12)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 8, w.Workers[0].Runs())
	require.LessOrEqual(t, w.Workers[1].Runs(), 1, "a row that stays away is that of a worker that is gone")
	w.Run(10 * time.Second)
	requireKept(t, w)
}

// TestEndsAreNotedSoonThoughAnswersAreLost: an end whose answer was lost was noted up to
// 2.8 s later, with the next hold (courier scale-2: answers of half of the workers lost).
func TestEndsAreNotedSoonThoughAnswersAreLost(t *testing.T) {
	w := simulation.NewWorld(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	begun := w.Clock.Now()
	w.Workers[0].LoseAnswer = func() bool {
		at := w.Clock.Now().Sub(begun)
		first := at > 1900*time.Millisecond && at < 2200*time.Millisecond
		second := at > 5900*time.Millisecond && at < 6100*time.Millisecond
		return first || second
	}
	w.Submit(spec(1, single(1)), urgent)
	w.Own()
	w.Run(7500 * time.Millisecond)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}
