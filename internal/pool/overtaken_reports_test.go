package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestReportOlderThanRunDoesNotEndIt guards against a task that runs twice at once: a report that was
// taken before the start was carried out is read after one that lists the run.
func TestReportOlderThanRunDoesNotEndIt(t *testing.T) {
	const (
		submittedAt = 1240 * time.Millisecond
		firstEnd    = 1400 * time.Millisecond
	)
	w := simulation.NewCluster(1, 1)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(2) {
			return firstEnd
		}
		return 100 * time.Second
	}
	w.MessageDelay = func(message simulation.Message) time.Duration {
		late := w.Clock.Now().Sub(w.StartedAt()) > submittedAt
		switch {
		case late && message.Kind == simulation.StartMessage && !message.Answer:
			return 100 * time.Millisecond
		case late && message.Kind == simulation.StartMessage:
			return 500 * time.Millisecond
		case late && message.Kind == simulation.PollMessage && message.Answer && message.Wait == 0:
			return 300 * time.Millisecond
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
			worker.OmitFromReport = func(name taskgraph.TaskName) bool {
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
