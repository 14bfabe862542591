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

// TestOnlyReportOlderThanRunDoesNotEndIt is TestReportOlderThanRunDoesNotEndIt where no other report is
// read between the confirmation of the run and the older report, so that only the order of requests
// tells that the report is older.
func TestOnlyReportOlderThanRunDoesNotEndIt(t *testing.T) {
	const submittedAt = 1240 * time.Millisecond
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 100 * time.Second }
	w.MessageDelay = lateReportsBetween(w, submittedAt, time.Hour)
	slow := singleTaskStep(1)
	slow.EstimateMillis = 100_000
	w.AcquirePool()
	w.Submit(spec(1, slow), batch)
	w.Run(submittedAt)
	w.Submit(spec(3, slow), batch)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(3, 0, 0)))
	require.Zero(t, w.Checker.DecisionCounts["run missing from reports"])
}

// lateReportsBetween delays reports more than starts between two times since the beginning of a simulation, so
// that reports from before a run are read after its start.
func lateReportsBetween(w *simulation.Cluster, from, until time.Duration) func(simulation.Message) time.Duration {
	return func(message simulation.Message) time.Duration {
		age := w.Clock.Now().Sub(w.StartedAt())
		switch {
		case age < from || age > until:
			return 0
		case message.Kind == simulation.StartMessage && !message.Answer:
			return 100 * time.Millisecond
		case message.Kind == simulation.PollMessage && message.Answer:
			return 300 * time.Millisecond
		}
		return 0
	}
}

// TestReportOfTheSameMillisecondDoesNotEndIt: a worker writes a report, carries out a start and writes
// another report within one millisecond of its clock. The later report, which lists the run, is read
// first, so the earlier one doesn't count as overtaken.
func TestReportOfTheSameMillisecondDoesNotEndIt(t *testing.T) {
	const (
		submittedAt = 1240 * time.Millisecond
		halfLatency = time.Millisecond
		reportAt    = 1400*time.Millisecond + 300*time.Microsecond
		startAt     = 1400*time.Millisecond + 600*time.Microsecond
		endAt       = 1400*time.Millisecond + 900*time.Microsecond
	)
	w := simulation.NewCluster(1, 1)
	until := func(sinceStart time.Duration) time.Duration {
		return w.StartedAt().Add(sinceStart).Sub(w.Clock.Now())
	}
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(2) {
			return until(endAt)
		}
		return 100 * time.Second
	}
	w.MessageDelay = func(message simulation.Message) time.Duration {
		switch {
		case w.Clock.Now().Sub(w.StartedAt()) < submittedAt:
			return 0
		case message.Kind == simulation.StartMessage && message.Answer:
			return 500 * time.Millisecond
		case message.Kind == simulation.StartMessage:
			return max(0, until(startAt)-halfLatency)
		case message.Kind == simulation.PollMessage && message.Wait == 0 && message.Answer:
			return 300 * time.Millisecond
		case message.Kind == simulation.PollMessage && message.Wait == 0:
			return max(0, until(reportAt)-halfLatency)
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
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(3, 0, 0)))
	require.Zero(t, w.Checker.DecisionCounts["run missing from reports"])
	require.Zero(t, w.Checker.Metrics["refusals/worker_report_overtaken"], "the play is of reports with equal clocks")
}

// TestReportOfNextIncarnationOlderThanRunDoesNotEndIt: a worker has restarted unnoticed. Its first report
// is written before a start is carried out and read after the answer to the start.
func TestReportOfNextIncarnationOlderThanRunDoesNotEndIt(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(1) {
			return 300 * time.Millisecond
		}
		return 5 * time.Second
	}
	delayed := false
	w.MessageDelay = func(message simulation.Message) time.Duration {
		switch {
		case !delayed:
			return 0
		case message.Kind == simulation.StartMessage && !message.Answer:
			return 150 * time.Millisecond
		case message.Kind == simulation.PollMessage && message.Answer:
			return 300 * time.Millisecond
		}
		return 0
	}
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.Store.FeedsUnresponsive = true
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	announce := func(job int) {
		w.Submit(spec(job, singleTaskStep(1)), batch)
		row := acceptedRow(w, jobID(job))
		owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	}
	announce(1)
	w.Run(200 * time.Millisecond)
	delayed = true
	announce(3)
	w.Run(800 * time.Millisecond)
	delayed, w.Store.FeedsUnresponsive = false, false
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.DecisionCounts["worker restarted"])
	require.Equal(t, 1, w.Checker.Starts(taskOf(3, 0, 0)))
}

// finishingRunOmitted plays a worker that leaves a run out of its reports shortly before the run's end
// is listed, as it does for runs that are being stopped. Another run ends in that time and so lets a
// waiting poll be answered.
func finishingRunOmitted(disabled pool.DisabledSafeguards) *simulation.Cluster {
	const otherEnd, finishing = 1900 * time.Millisecond, 2 * time.Second
	w := simulation.NewCluster(1, 1)
	w.DisabledSafeguards = disabled
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(2) {
			return otherEnd
		}
		return finishing
	}
	w.Workers[0].OmitRun = func(name taskgraph.TaskName) bool {
		age := w.Clock.Now().Sub(w.StartedAt())
		return name.Job == jobID(1) && age > otherEnd && age < otherEnd+45*time.Millisecond
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(20 * time.Second)
	return w
}

// TestFinishingRunIsNotPlacedAgain: a run that is missing from one report shortly before its end isn't
// placed again beside itself. Without both safeguards a second run starts on the same worker, and the
// first is never told to stop (docs/incidents/2026-12-04-two-runs-of-a-task-on-one-worker.md).
func TestFinishingRunIsNotPlacedAgain(t *testing.T) {
	w := finishingRunOmitted(pool.DisabledSafeguards{})
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))

	without := finishingRunOmitted(pool.DisabledSafeguards{ReportOrder: true, UnlistedRunStop: true})
	require.NotEmpty(t, without.Checker.Violations)
	require.Zero(t, without.Checker.DecisionCounts["stopping unexpected run"])
	require.Zero(t, without.Checker.DecisionCounts["stopped"])
}

// TestReportOlderThanRunDoesNotTellOfItsStop: a report that is older than a run is read while the run is
// being stopped and the stop has not arrived. The time of a stop must not count from that report, as the
// stop that is carried out later gets no answer.
func TestReportOlderThanRunDoesNotTellOfItsStop(t *testing.T) {
	const submittedAt = 1240 * time.Millisecond
	w := simulation.NewCluster(1, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 100 * time.Second }
	age := func() time.Duration { return w.Clock.Now().Sub(w.StartedAt()) }
	w.MessageDelay = lateReportsBetween(w, submittedAt, 1450*time.Millisecond)
	slow := singleTaskStep(1)
	slow.EstimateMillis = 100_000
	w.AcquirePool()
	w.Submit(spec(1, slow), batch)
	w.Run(submittedAt)
	on := busyWorker(w)
	w.Submit(spec(3, slow), batch)
	for age() < 1600*time.Millisecond && !on.RunsOfTask(taskOf(3, 0, 0)) {
		w.Run(time.Millisecond)
	}
	require.True(t, on.RunsOfTask(taskOf(3, 0, 0)))
	w.Run(3 * time.Millisecond)
	stops := 0
	on.OrderOutcome = func() simulation.Outcome {
		// The second copy of the start, and two copies of the stops of two runs.
		if stops++; stops <= 5 {
			return simulation.Dropped
		}
		return simulation.AppliedUnacknowledged
	}
	on.Draining, on.RemainingMillis = true, 9000
	w.PutWorkerRow(on)
	w.Run(20 * time.Second)
	requireInvariants(t, w)
}
