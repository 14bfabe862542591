package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestRefusedRetryDoesNotHideALateStart: after an unanswered start, a refused retry must not let
// the task start elsewhere while the first start may still be carried out.
func TestRefusedRetryDoesNotHideALateStart(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.OrderDelay = simulation.FixedDelay(1500 * time.Millisecond)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	orders := 0
	for _, worker := range w.Workers {
		worker.OrderOutcome = func() simulation.Outcome {
			if orders++; orders == 1 {
				worker.Unhealthy = true
				w.Clock.After(1200*time.Millisecond, func() { worker.Unhealthy = false })
				return simulation.AppliedLate
			}
			return simulation.Acknowledged
		}
	}
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.AcquirePool()
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestUnreachableWorkerIsLeftAtOnce guards against immediate retries of starts on a worker that
// refuses connections.
func TestUnreachableWorkerIsLeftAtOnce(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Run(time.Second)
	w.Workers[0].Unreachable = true
	w.Submit(spec(1, singleTaskStep(12)), batch)
	w.Run(200 * time.Millisecond)
	require.Equal(t, 8, w.Workers[1].Runs())
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestRowsExpiredDuringStoreOutageAreWaitedFor: worker rows expire during a store outage and are
// rewritten soon after it. Jobs submitted in between must not wait.
func TestRowsExpiredDuringStoreOutageAreWaitedFor(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Run(time.Second)
	w.Store.Unavailable = true
	w.Run(4 * time.Second)
	for _, worker := range w.Workers {
		w.RemoveWorkerRow(worker)
	}
	w.Store.Unavailable = false
	w.Run(1500 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 1, w.Workers[0].Runs()+w.Workers[1].Runs(), "started on a worker whose row is not back yet")
	w.PutWorkerRow(w.Workers[0])
	w.Run(2 * time.Second)
	w.Submit(spec(2, singleTaskStep(12)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 8, w.Workers[0].Runs())
	require.LessOrEqual(t, w.Workers[1].Runs(), 1, "a worker whose row does not come back is gone")
	w.Run(10 * time.Second)
	requireInvariants(t, w)
}

// TestEndsAreRecordedSoonDespiteLostReplies: an end whose report was lost is recorded soon, with a
// shorter poll.
func TestEndsAreRecordedSoonDespiteLostReplies(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	begun := w.Clock.Now()
	w.Workers[0].DropPollReply = func() bool {
		at := w.Clock.Now().Sub(begun)
		first := at > 1900*time.Millisecond && at < 2200*time.Millisecond
		second := at > 5900*time.Millisecond && at < 6100*time.Millisecond
		return first || second
	}
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.AcquirePool()
	w.Run(7500 * time.Millisecond)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// failFirstCommand returns a function that gives the first command this outcome and answers all
// other commands.
func failFirstCommand(outcome simulation.Outcome) func() simulation.Outcome {
	orders := 0
	return func() simulation.Outcome {
		if orders++; orders == 1 {
			return outcome
		}
		return simulation.Acknowledged
	}
}

// Guards against waiting for the deadline of an unanswered start before sending it again, while the
// rest of the gang waits.

func TestUnansweredStartIsSentAgainSoon(t *testing.T) {
	for name, outcome := range map[string]simulation.Outcome{"never carried out": simulation.Dropped, "carried out late": simulation.AppliedLate, "done": simulation.AppliedUnacknowledged} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewCluster(1, 2)
			w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
			w.Workers[0].OrderOutcome = failFirstCommand(outcome)
			w.AcquirePool()
			w.Run(100 * time.Millisecond)
			w.Submit(spec(1, gangStep(2)), urgent)
			w.Run(200 * time.Millisecond)
			require.Equal(t, 2, w.Workers[0].Runs()+w.Workers[1].Runs())
			w.Run(2 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			w.Run(5 * time.Second)
			requireInvariants(t, w)
		})
	}
}

// TestUnansweredStopIsSentAgainSoon guards against an urgent gang that waits too long for the
// capacity of preempted tasks after a stop is lost.
func TestUnansweredStopIsSentAgainSoon(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(500 * time.Millisecond)
	w.Workers[0].OrderOutcome = failFirstCommand(simulation.Dropped)
	w.Submit(spec(2, gangStep(1)), urgent)
	w.Run(simulation.StopTime + 250*time.Millisecond)
	require.Equal(t, 1, w.Workers[0].RunsOf(jobID(2)))
	w.Run(20 * time.Second)
	requireInvariants(t, w)
}

// Guards against starting a task elsewhere while its first run is still stopping: the reply to the
// stop is lost, and a poll no longer lists the run.

func TestStopWithoutAnswerIsWaitedOut(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		switch name.Job {
		case jobID(2):
			return 1100 * time.Millisecond
		case jobID(3):
			// The end of the run answers the poll that is in flight at the time of the stop.
			return 700 * time.Millisecond
		}
		return 6 * time.Second
	}
	long := singleTaskStep(2)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Submit(spec(3, singleTaskStep(1)), batch)
	w.AcquirePool()
	w.Run(time.Second)
	leaving := workersOf(w, jobID(2))[0]
	require.Equal(t, 2, leaving.RunsOf(jobID(1)), "all tasks run on one worker")
	leaving.OrderOutcome = func() simulation.Outcome { return simulation.AppliedUnacknowledged }
	leaving.Draining, leaving.RemainingMillis = true, 3000
	w.PutWorkerRow(leaving)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// Guards against starting a task elsewhere while an unanswered start is in flight. The stop that
// blocks the start is unanswered too, and reports do not list the run.

func TestUnconfirmedStartIsBlockedBeforeItsTaskRunsElsewhere(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.OrderDelay = simulation.FixedDelay(2600 * time.Millisecond)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	begun := w.Clock.Now()
	orders := 0
	for _, worker := range w.Workers {
		worker.OrderOutcome = func() simulation.Outcome {
			orders++
			switch {
			case orders == 1:
				return simulation.AppliedLate
			case w.Clock.Now().Sub(begun) < 4500*time.Millisecond && worker.Runs() == 0 && orders < 40:
				return simulation.Dropped
			}
			return simulation.Acknowledged
		}
	}
	w.Workers[1].OrderOutcome = nil
	w.AcquirePool()
	w.Run(500 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(15 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// Guards against each retry of a start extending the time in which the worker may carry it out,
// during which the whole gang waits.

// TestGangLeavesUnresponsiveWorkerSoon: a gang ends in time although one of its starts gets no
// reply.
func TestGangLeavesUnresponsiveWorkerSoon(t *testing.T) {
	w := newGangCluster(2, 4)
	w.AcquirePool()
	w.Run(time.Second)
	for _, worker := range w.Workers[:1] {
		worker.Partitioned = true
	}
	w.Submit(spec(1, gangStep(4)), urgent)
	w.Run(2*gangWork + 250*time.Millisecond)
	require.Equal(t, 2, w.Checker.Starts(taskOf(1, 0, 3)), "placed twice")
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	requireInvariants(t, w)
}
