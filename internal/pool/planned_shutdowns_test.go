package pool_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A worker that shuts down as planned takes the long-running tasks on it down. That says nothing about
// these tasks, however often it happens.

// drainTime is the time that a draining worker states, and shutdownDelay how much longer it stays.
const (
	drainTime     = 2 * time.Second
	shutdownDelay = time.Second
)

// workerEnd is a way in which a worker ends.
type workerEnd func(w *simulation.Cluster, worker *simulation.Worker)

// crashes ends a worker without notice. Another instance follows at its address.
func crashes(_ *simulation.Cluster, worker *simulation.Worker) { worker.CrashAndRestart() }

// leaves drains a worker, which then shuts down and removes its row.
func leaves(w *simulation.Cluster, worker *simulation.Worker) {
	beginDrain(w, worker)
	w.Run(drainTime + shutdownDelay)
	worker.CrashAndRestart()
	w.RemoveWorkerRow(worker)
}

// leavesAndReturns drains a worker, which then starts again under its identifier.
func leavesAndReturns(w *simulation.Cluster, worker *simulation.Worker) {
	beginDrain(w, worker)
	w.Run(drainTime + shutdownDelay)
	worker.Restart(500*time.Millisecond, 0)
}

// leavesAfterTakeover drains a worker. Another owner takes the pool over before the worker shuts down.
func leavesAfterTakeover(w *simulation.Cluster, worker *simulation.Worker) {
	beginDrain(w, worker)
	w.Run(drainTime)
	w.AcquirePool()
	w.Run(shutdownDelay)
	worker.CrashAndRestart()
	w.RemoveWorkerRow(worker)
}

func beginDrain(w *simulation.Cluster, worker *simulation.Worker) {
	worker.Draining, worker.RemainingMillis = true, drainTime.Milliseconds()
	w.PutWorkerRow(worker)
}

// longRunningStep returns a step whose tasks run until their job is cancelled.
func longRunningStep(count int) taskgraph.Step {
	step := singleTaskStep(count)
	step.LongRunning = true
	return step
}

// longRunningGang returns a gang that runs until its job is cancelled.
func longRunningGang(count int) taskgraph.Step {
	step := longRunningStep(count)
	step.Gang, step.MaxPerWorker = true, 1
	return step
}

// runForDays is the duration of the work of long-running tasks.
func runForDays(taskgraph.TaskName) time.Duration { return 48 * time.Hour }

// endWorkersOf ends the worker of a task in each of several ways, each time after the task has run for a
// while.
func endWorkersOf(t *testing.T, w *simulation.Cluster, task taskgraph.TaskName, runsFor time.Duration, ends []workerEnd) {
	t.Helper()
	for number, end := range ends {
		for tries := 0; tries < 2000 && workerOfTask(w, task) == nil; tries++ {
			w.Run(10 * time.Millisecond)
		}
		require.NotNil(t, workerOfTask(w, task), "before end %d the job is %s", number, w.StoredState(task.Job))
		w.Run(runsFor)
		end(w, workerOfTask(w, task))
	}
	w.Run(20 * time.Second)
}

// workerOfTask returns a worker that runs a task, or nil.
func workerOfTask(w *simulation.Cluster, task taskgraph.TaskName) *simulation.Worker {
	for _, worker := range w.Workers {
		if worker.RunsOfTask(task) {
			return worker
		}
	}
	return nil
}

// TestPlannedShutdownsDoNotFailLongRunningJobs guards against a job that is shown as failed after one
// crash of a worker and four planned shutdowns of workers (review case 5).
func TestPlannedShutdownsDoNotFailLongRunningJobs(t *testing.T) {
	series := map[string][]workerEnd{
		"crash, then drains":         {crashes, leaves, leaves, leaves, leaves, leaves, leaves},
		"drains, crash, drains":      {leaves, leaves, crashes, leaves, leaves, leaves, leaves},
		"crash, drains and restarts": {crashes, leavesAndReturns, leavesAndReturns, leavesAndReturns, leavesAndReturns, leavesAndReturns},
		"crash, drains, takeovers":   {crashes, leavesAfterTakeover, leavesAfterTakeover, leavesAfterTakeover, leavesAfterTakeover, leavesAfterTakeover},
	}
	for name, step := range map[string]taskgraph.Step{"task": longRunningStep(1), "gang": longRunningGang(3)} {
		for order, ends := range series {
			t.Run(fmt.Sprint(name, ", ", order), func(t *testing.T) {
				w := simulation.NewCluster(2, 4)
				w.Work = runForDays
				w.AcquirePool()
				w.Run(time.Second)
				w.Submit(spec(1, step), batch)
				endWorkersOf(t, w, taskOf(1, 0, 0), time.Second, ends)
				requireInvariants(t, w)
				require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
				require.NotEmpty(t, workersOf(w, jobID(1)))
			})
		}
	}
}

// TestCrashWhileDrainingCounts guards against a crash that is taken for a planned shutdown because the
// worker was draining: it still had time left by its own statement.
func TestCrashWhileDrainingCounts(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = runForDays
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, longRunningStep(1)), batch)
	w.Run(time.Second)
	worker := workersOf(w, jobID(1))[0]
	worker.Draining, worker.RemainingMillis = true, 8000
	w.PutWorkerRow(worker)
	w.Run(time.Second)
	worker.CrashAndRestart()
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	records := storedLosses(t, w, jobID(1))
	require.Len(t, records, 1)
	require.True(t, records[0].Unexplained && records[0].Unplanned)
}

// TestShutdownsCountedByEarlierVersionsAreForgotten guards against a job that fails after an upgrade:
// earlier versions have counted planned shutdowns in its row.
func TestShutdownsCountedByEarlierVersionsAreForgotten(t *testing.T) {
	w := simulation.NewCluster(2, 4)
	w.Work = runForDays
	earlier := w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, longRunningStep(1)), batch)
	endWorkersOf(t, w, taskOf(1, 0, 0), time.Second, []workerEnd{crashes})
	earlier.Process.Kill()
	w.Run(time.Second)
	addLosses(t, w, jobID(1), `{"w":"left-1","r":1,"u":true},{"w":"left-2","r":1,"u":true},{"w":"left-3","r":1,"u":true}`)
	w.AcquirePool()
	endWorkersOf(t, w, taskOf(1, 0, 0), 20*time.Second, []workerEnd{crashes})
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
}

// progressRows returns the stored progress rows of a job.
func progressRows(w *simulation.Cluster, job string) []rows.Row {
	var found []rows.Row
	for _, part := range w.Store.ListPartitions(pool.ProgressTable) {
		found = append(found, w.Store.List(pool.ProgressTable, part, job).Rows...)
	}
	return found
}

// storedLosses returns the records of lost workers in a job's newest progress row.
func storedLosses(t *testing.T, w *simulation.Cluster, job string) []poison.Record {
	t.Helper()
	var newest pool.Progress
	var losses []poison.Record
	for _, row := range progressRows(w, job) {
		record, err := pool.DecodeProgress(&row)
		require.NoError(t, err)
		if newest.State != "" && !record.NewerThan(&newest) {
			continue
		}
		newest, losses = record, nil
		for i := range record.Steps {
			for _, unit := range record.Steps[i].Units {
				for _, member := range unit.Losses {
					losses = append(losses, member.Records...)
				}
			}
		}
	}
	return losses
}

// addLosses adds records of lost workers to the rows of a job that has some already.
func addLosses(t *testing.T, w *simulation.Cluster, job, records string) {
	t.Helper()
	added := 0
	for _, row := range progressRows(w, job) {
		first := []byte(`"l":[{"w":`)
		changed := bytes.Replace(row.Value, first, []byte(`"l":[`+records+`,{"w":`), 1)
		if bytes.Equal(changed, row.Value) {
			continue
		}
		require.True(t, json.Valid(changed), string(changed))
		w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: row.Key, Value: changed}}})
		added++
	}
	require.Positive(t, added, "the rows hold no losses")
}
