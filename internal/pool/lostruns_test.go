package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A task that crashes each worker that starts it must be detected. A crashed worker lists no failed
// run, so failed runs alone do not show it.

// crashAfterStart lets a task crash its worker shortly after its start.
var crashAfterStart = simulation.Crash{After: 10 * time.Millisecond}

func taskOf(job, step, index int) taskgraph.TaskName {
	return taskgraph.TaskName{Job: jobID(job), Step: step, Index: index}
}

// requireJobFailed requires that a job failed after its task crashed at least two and at most
// maxCrashes workers.
func requireJobFailed(t *testing.T, w *simulation.Cluster, crashing taskgraph.TaskName, maxCrashes int) {
	t.Helper()
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(crashing.Job))
	require.LessOrEqual(t, w.Checker.Crashes(crashing), maxCrashes)
	require.GreaterOrEqual(t, w.Checker.Crashes(crashing), 2)
}

// TestJobOfCrashingTaskFails checks that a job with a crashing task fails. Without owner faults,
// the other tasks complete.
func TestJobOfCrashingTaskFails(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	crashing := taskOf(2, 0, 0)
	w.Crashing[crashing] = crashAfterStart
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(30)), batch)
	w.Run(time.Second)
	w.Submit(spec(2, singleTaskStep(1)), urgent)
	w.Run(60 * time.Second)
	requireJobFailed(t, w, crashing, 2)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestCrashHistorySurvivesTakeover: the recorded crashes of a task survive takeovers, whether the
// owner is killed before or after it notices a crash.
func TestCrashHistorySurvivesTakeover(t *testing.T) {
	for name, killAfter := range map[string]time.Duration{
		"just after the crash":   20 * time.Millisecond,
		"before the row is gone": 2 * time.Second,
		"before the restart":     3200 * time.Millisecond,
		"after the second start": 3500 * time.Millisecond,
	} {
		for _, inPlace := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", restart in place ", inPlace), func(t *testing.T) {
				w := simulation.NewCluster(2, 4)
				w.RestartWithSameID = inPlace
				requireCrashHistorySurvivesTakeover(t, w, killAfter)
			})
		}
	}
}

func requireCrashHistorySurvivesTakeover(t *testing.T, w *simulation.Cluster, killAfter time.Duration) {
	t.Helper()
	crashing := taskOf(1, 0, 0)
	w.Crashing[crashing] = crashAfterStart
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	for range 8 {
		w.Run(killAfter)
		owner.Process.Kill()
		w.Run(time.Second)
		owner = w.AcquirePool()
	}
	w.Run(60 * time.Second)
	requireJobFailed(t, w, crashing, 3)
}

// The loss of a worker must not count as a crash by a task whose start was refused or was sent
// after the worker had failed.

// replaceWorkersDuringFeedOutage replaces or fails all workers while the owner's feeds are
// unresponsive, then submits a job.
func replaceWorkersDuringFeedOutage(fail func(*simulation.Worker)) *simulation.Cluster {
	w := simulation.NewCluster(2, 4)
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.Store.FeedsUnresponsive = true
	for _, worker := range w.Workers {
		fail(worker)
	}
	w.Run(5 * time.Second)
	w.Submit(spec(1, singleTaskStep(3)), urgent)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	w.Run(8 * time.Second)
	w.Store.FeedsUnresponsive = false
	w.AddWorker("fresh", "r-9")
	w.Run(60 * time.Second)
	return w
}

// TestWorkersLostBeforeStartAreNoEvidence covers workers that were replaced and workers that
// do not respond.
func TestWorkersLostBeforeStartAreNoEvidence(t *testing.T) {
	for name, fail := range map[string]func(*simulation.Worker){
		"replaced": (*simulation.Worker).CrashAndRestart,
		"silent":   (*simulation.Worker).Crash,
	} {
		t.Run(name, func(t *testing.T) {
			w := replaceWorkersDuringFeedOutage(fail)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
		})
	}
}

// TestTaskThatCrashesBeforeItsStartIsAnswered: no start of the task is ever confirmed, so its job
// fails by the number of lost workers alone.
func TestTaskThatCrashesBeforeItsStartIsAnswered(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	crashing := taskOf(1, 0, 0)
	w.Crashing[crashing] = crashAfterStart
	for _, worker := range w.Workers {
		worker.OrderOutcome = func() simulation.Outcome { return simulation.AppliedUnacknowledged }
	}
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.Run(90 * time.Second)
	requireJobFailed(t, w, crashing, 5)
}

// TestWorkersThatLeaveAreNoEvidence: a draining worker may shut down earlier than announced, with
// runs that should have ended in time.
func TestWorkersThatLeaveAreNoEvidence(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 800 * time.Millisecond }
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	for range 4 {
		for tries := 0; tries < 200 && len(workersOf(w, jobID(1))) == 0; tries++ {
			w.Run(50 * time.Millisecond)
		}
		require.NotEmpty(t, workersOf(w, jobID(1)), "the job is %s", w.StoredState(jobID(1)))
		leaving := workersOf(w, jobID(1))[0]
		leaving.Draining, leaving.RemainingMillis = true, 5000
		w.PutWorkerRow(leaving)
		w.Run(100 * time.Millisecond)
		require.Equal(t, 1, leaving.RunsOf(jobID(1)), "the task may end on the draining worker")
		leaving.CrashAndRestart()
	}
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Zero(t, w.Checker.Metrics["given_up/crash_odds"])
}

// A poll in flight or a placement of an earlier owner does not prove that a run was on a lost
// worker.

// runUndeliveredStarts sends a job's first start to a worker that has a poll in flight, becomes
// unreachable and crashes. The next three placements are on workers that crash, and their owners
// are killed before sending the start.
func runUndeliveredStarts() *simulation.Cluster {
	const workers = 16
	w := simulation.NewCluster(1, workers)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	owner := w.AcquirePool()
	w.Submit(spec(9, singleTaskStep(8*workers-2)), batch)
	w.Run(time.Second)
	var freeWorker *simulation.Worker
	for _, worker := range w.Workers {
		if worker.Runs() < 8 {
			freeWorker = worker
		}
	}
	freeWorker.Partitioned = true
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.Run(300 * time.Millisecond)
	freeWorker.ReplaceWithoutReset()
	for range 3 {
		w.Store.Latency = 20 * time.Millisecond
		lost := w.Checker.Metrics["attempts/lost"]
		for w.Checker.Metrics["attempts/lost"] == lost {
			w.Run(time.Millisecond)
		}
		// The placement is stored 10 ms later, and the start would be sent 10 ms after that.
		w.Run(11 * time.Millisecond)
		owner.Process.Kill()
		w.Store.Latency = 0
		w.Workers[len(w.Workers)-1].CrashAndRestart()
		w.Run(time.Second)
		owner = w.AcquirePool()
	}
	w.Run(90 * time.Second)
	return w
}

func TestStartsThatNeverArriveAreNoEvidence(t *testing.T) {
	w := runUndeliveredStarts()
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)), "only the last start arrived")
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(9)))
}
