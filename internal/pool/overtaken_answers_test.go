package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestOlderReportDoesNotReplaceCheckpoint guards against lost work: a report with an earlier
// checkpoint is read after one with a later checkpoint, and then the worker is lost.
func TestOlderReportDoesNotReplaceCheckpoint(t *testing.T) {
	const (
		olderReportAt = 3900 * time.Millisecond
		newerReportAt = 4200 * time.Millisecond
	)
	w := simulation.NewCluster(1, 2)
	w.ReportCheckpoints = true
	w.Work = func(taskgraph.TaskName) time.Duration { return 20 * time.Second }
	owner := w.AcquirePool()
	w.Run(time.Second)
	step := gangStep(1)
	step.Gang, step.Checkpoints, step.EstimateMillis = false, true, 20_000
	w.Submit(spec(1, step), batch)
	w.Run(olderReportAt)
	worker := workersOf(w, jobID(1))[0]
	w.MessageDelay = func(message simulation.Message) time.Duration {
		if message.Kind == simulation.PollMessage && message.Answer && message.Wait == 0 {
			return 600 * time.Millisecond
		}
		return 0
	}
	owner.PollNow(worker.ID)
	w.Run(newerReportAt - olderReportAt)
	w.MessageDelay = nil
	owner.PollNow(worker.ID)
	w.Run(500 * time.Millisecond)
	worker.CrashAndRestart()
	w.Run(5 * time.Second)
	require.Equal(t, 2, w.Checker.Starts(taskOf(1, 0, 0)))
	require.Equal(t, "4000", w.Checker.LatestCheckpoint(taskOf(1, 0, 0)))
}

// TestAnswerOlderThanRowRemovalIsNoPlannedShutdown guards against a task that crashes workers and is
// started forever: an answer that a worker gave before it crashed is read after the worker's row is
// gone. It does not show that the worker is shutting down as planned.
func TestAnswerOlderThanRowRemovalIsNoPlannedShutdown(t *testing.T) {
	const (
		crashAge = 400 * time.Millisecond
		// The row of a crashed worker is removed after 3 s, and its successor answers after 3.3 s.
		answerDelay = 3200 * time.Millisecond
	)
	w := simulation.NewCluster(1, 8)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.Crashing[taskOf(1, 0, 0)] = simulation.Crash{From: simulation.AtStart, After: crashAge}
	w.TimeoutDelay = func() time.Duration { return 4 * time.Second }
	w.MessageDelay = func(message simulation.Message) time.Duration {
		if message.Kind == simulation.PollMessage && message.Answer && message.Wait == 0 {
			return answerDelay
		}
		return 0
	}
	owner := w.AcquirePool()
	w.Run(6 * time.Second)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	for range 2000 {
		for _, worker := range w.RunningWorkers() {
			if worker.Runs() > 0 {
				owner.PollNow(worker.ID)
			}
		}
		w.Run(50 * time.Millisecond)
	}
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
}
