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

// loseFirst returns fates of which the first one is given and all others are answered.
func loseFirst(fate simulation.Fate) func() simulation.Fate {
	orders := 0
	return func() simulation.Fate {
		if orders++; orders == 1 {
			return fate
		}
		return simulation.Answered
	}
}

// Symptom: of 104 urgent jobs that ended late on a day on which one order in twenty was
// left unanswered, 22 had lost nothing but the answer to a start.
// Sequence: a start gets no answer; it is sent again after 0.4 s; the gang's others wait.
// Cause: a second start waited for the first one's time to run out, though workers answer
// within some 4 ms and start a run once, however often they are told.
// Settled by: the jobs' lines: placed, a start failed with no_answer 0.38 s later, ended
// 0.2 to 1.1 s late.

func TestUnansweredStartIsSentAgainSoon(t *testing.T) {
	for name, fate := range map[string]simulation.Fate{"never done": simulation.NeverDone, "done late": simulation.DoneLate, "done": simulation.AnswerLost} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewWorld(1, 2)
			w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
			w.Workers[0].LoseOrder = loseFirst(fate)
			w.Own()
			w.Run(100 * time.Millisecond)
			w.Submit(spec(1, gang(2)), urgent)
			w.Run(200 * time.Millisecond)
			require.Equal(t, 2, w.Workers[0].Runs()+w.Workers[1].Runs())
			w.Run(2 * time.Second)
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			w.Run(5 * time.Second)
			requireKept(t, w)
		})
	}
}

// TestUnansweredStopIsSentAgainSoon: an urgent gang waited 0.55 s longer for the room of
// what it pushed out.
func TestUnansweredStopIsSentAgainSoon(t *testing.T) {
	w := simulation.NewWorld(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	w.Own()
	w.Submit(spec(1, single(8)), batch)
	w.Run(500 * time.Millisecond)
	w.Workers[0].LoseOrder = loseFirst(simulation.NeverDone)
	w.Submit(spec(2, gang(1)), urgent)
	w.Run(simulation.StopTime + 250*time.Millisecond)
	require.Equal(t, 1, w.Workers[0].RunsOf(jobID(2)))
	w.Run(20 * time.Second)
	requireKept(t, w)
}

// Symptom: a task was started on a second worker while its first run was still ending.
// Sequence: a stop is carried out and its answer is lost; within the time of the stop the
// worker answers a hold, since another run ends there, and lists the stopped run no longer.
// Cause: a run that the worker did not list counted as gone unless the stop's answer had
// been heard.
// Settled by: random faults, seed 596: stopped at 2.286 s, placed anew at 2.296 s, the
// first run over at 2.587 s.

func TestStopWithoutAnswerIsWaitedOut(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		switch name.Job {
		case jobID(2):
			return 1100 * time.Millisecond
		case jobID(3):
			// Its end brings the hold that is under way at the stop.
			return 700 * time.Millisecond
		}
		return 6 * time.Second
	}
	long := single(2)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	w.Submit(spec(2, single(1)), batch)
	w.Submit(spec(3, single(1)), batch)
	w.Own()
	w.Run(time.Second)
	leaving := workersOf(w, jobID(2))[0]
	require.Equal(t, 2, leaving.RunsOf(jobID(1)), "all on one worker")
	leaving.LoseOrder = func() simulation.Fate { return simulation.AnswerLost }
	leaving.Draining, leaving.RemainingMillis = true, 3000
	w.PutWorkerRow(leaving)
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// Symptom: under an owner at the limit of its processor tasks that had ended well were
// started again.
// Sequence: a start gets no answer and is still under way; the stop that bars it gets none
// either; two accounts of the worker, a second apart, do not list the run; the task is
// placed elsewhere, and the first start is carried out.
// Cause: the wait for a stop without an answer was also applied to runs whose start was
// never confirmed. Those are gone only once a stop is answered, which bars them.
// Settled by: 24 such starts on a day with 3,000 workers, each run 1 on another worker.

func TestUnconfirmedStartIsBarredBeforeItsTaskRunsElsewhere(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.OrderDelay = 2600 * time.Millisecond
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	begun := w.Clock.Now()
	orders := 0
	for _, worker := range w.Workers {
		worker.LoseOrder = func() simulation.Fate {
			orders++
			switch {
			case orders == 1:
				return simulation.DoneLate
			case w.Clock.Now().Sub(begun) < 4500*time.Millisecond && worker.Runs() == 0 && orders < 40:
				return simulation.NeverDone
			}
			return simulation.Answered
		}
	}
	w.Workers[1].LoseOrder = nil
	w.Own()
	w.Run(500 * time.Millisecond)
	w.Submit(spec(1, single(1)), batch)
	w.Run(15 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// Symptom: an urgent gang was not served with most of the pool free.
// Sequence: it was placed 0.3 s after one of its workers had gone dark. That start got no answer, nor
// did two more tries in the next second; then nothing happened for 3.4 s, until it was certain that none
// of them was carried out, and the seven other members were stopped.
// Cause: each try gave the worker 3 s more to carry the start out.
// Settled by: lines "start failed" at 5.0, 5.5 and 5.9 s, "worker replaced" at 8.8 s.

// TestGangLeavesADarkWorkerSoon: it ends in time though one of its starts gets no answer.
func TestGangLeavesADarkWorkerSoon(t *testing.T) {
	w := worldOfGangs(2, 4)
	w.Own()
	w.Run(time.Second)
	for _, worker := range w.Workers[:1] {
		worker.Cut = true
	}
	w.Submit(spec(1, gang(4)), urgent)
	w.Run(2*gangWork + 250*time.Millisecond)
	require.Equal(t, 2, w.Judge.Starts(taskOf(1, 0, 3)), "placed twice")
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	requireKept(t, w)
}
