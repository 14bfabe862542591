package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// overtakenReport plays a task whose start is carried out after a poll that was sent later. The answer
// to the poll, which does not list the run, arrives after the run was confirmed: by the answer to the
// start, which takes startAnswerDelay, or by another report.
func overtakenReport(startAnswerDelay time.Duration) *simulation.Cluster {
	const (
		submittedAt = 1240 * time.Millisecond
		// The end of the first run answers a waiting poll, which then lists the new run.
		firstEnd          = 1400 * time.Millisecond
		startRequestDelay = 100 * time.Millisecond
		pollAnswerDelay   = 300 * time.Millisecond
	)
	w := simulation.NewCluster(1, 1)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(2) {
			return firstEnd
		}
		return 100 * time.Second
	}
	w.MessageDelay = func(message simulation.Message) time.Duration {
		switch {
		case w.Clock.Now().Sub(w.StartedAt()) < submittedAt:
			return 0
		case message.Kind == simulation.StartMessage && message.Answer:
			return startAnswerDelay
		case message.Kind == simulation.StartMessage:
			return startRequestDelay
		case message.Kind == simulation.PollMessage && message.Answer && message.Wait == 0:
			return pollAnswerDelay
		}
		return 0
	}
	slow := singleTaskStep(1)
	slow.EstimateMillis = 100_000
	w.AcquirePool()
	w.Submit(spec(1, slow), batch)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(submittedAt)
	w.Submit(spec(3, slow), batch)
	w.Run(2 * time.Second)
	return w
}

// TestReportOlderThanRunDoesNotEndIt guards against a task that runs twice at once: a report that was
// written before the start was carried out is read after the run was confirmed.
func TestReportOlderThanRunDoesNotEndIt(t *testing.T) {
	cases := map[string]time.Duration{"confirmed by a report": 500 * time.Millisecond, "confirmed by the answer to the start": 0}
	for name, startAnswerDelay := range cases {
		t.Run(name, func(t *testing.T) {
			w := overtakenReport(startAnswerDelay)
			requireInvariants(t, w)
			require.Equal(t, 1, w.Checker.Starts(taskOf(3, 0, 0)))
			require.Zero(t, w.Checker.DecisionCounts["run missing from reports"])
		})
	}
}

// TestOvertakenReportStopsNothing guards against a stop of a run that has ended, and against room kept
// for it: a report that lists the run is read after one that lists its end.
func TestOvertakenReportStopsNothing(t *testing.T) {
	w := overtakenReport(0)
	require.Positive(t, w.Checker.Metrics["refusals/worker_report_overtaken"])
	require.Zero(t, w.Checker.DecisionCounts["stopping unexpected run"])
}

// TestUnlistedRunIsStoppedBeforeItsTaskStartsAgain guards against a task that runs twice at once when
// a run is missing from a single report for whatever reason.
func TestUnlistedRunIsStoppedBeforeItsTaskStartsAgain(t *testing.T) {
	requireInvariantsNeed(t, func(disabled pool.DisabledSafeguards) *simulation.Cluster {
		const omittedAt = 3900 * time.Millisecond
		w := simulation.NewCluster(1, 2)
		w.DisabledSafeguards = disabled
		w.Work = func(taskgraph.TaskName) time.Duration { return 8 * time.Second }
		slow := singleTaskStep(2)
		slow.EstimateMillis = 100_000
		w.Submit(spec(1, slow), batch)
		for _, worker := range w.Workers {
			worker.OmitRun = func(name taskgraph.TaskName) bool {
				age := w.Clock.Now().Sub(w.StartedAt())
				return name.Index == 0 && age > omittedAt && age < omittedAt+simulation.StopTime
			}
		}
		w.AcquirePool()
		w.Run(30 * time.Second)
		require.Positive(t, w.Checker.DecisionCounts["run missing from reports"])
		return w
	}, pool.DisabledSafeguards{UnlistedRunStop: true})
}

// TestRunConfirmedByAReportIsNotStoppedForALostStartAnswer guards against a stop of a run that a
// report lists, sent because no copy of its start got an answer.
func TestRunConfirmedByAReportIsNotStoppedForALostStartAnswer(t *testing.T) {
	const (
		submittedAt = 800 * time.Millisecond
		// The end of the first run answers a waiting poll after the start was sent again.
		firstEnd  = 1900 * time.Millisecond
		neverSeen = 5 * time.Second
	)
	w := simulation.NewCluster(1, 1)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(1) {
			return firstEnd
		}
		return 6 * time.Second
	}
	w.MessageDelay = func(message simulation.Message) time.Duration {
		if message.Kind == simulation.StartMessage && message.Answer && w.Clock.Now().Sub(w.StartedAt()) > submittedAt {
			return neverSeen
		}
		return 0
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(submittedAt)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(2, 0, 0)))
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}
