package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestGangWithStragglersIsRestarted guards against gangs that miss their objective because they
// wait for a straggler instead of being restarted on other workers.
func TestGangWithStragglersIsRestarted(t *testing.T) {
	w := newGangCluster(2, 4)
	for _, worker := range w.Workers[:2] {
		worker.SlowdownFactor = 7
	}
	w.AcquirePool()
	w.Submit(spec(1, gangStep(3)), urgent)
	w.Run(3*gangWork - time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestStragglerWorkerIsExcluded checks that the worker of a straggler gets no new work.
func TestStragglerWorkerIsExcluded(t *testing.T) {
	w := newGangCluster(2, 4)
	slow := w.Workers[0]
	slow.SlowdownFactor = 7
	w.AcquirePool()
	w.Submit(spec(1, gangStep(3)), urgent)
	w.Run(2 * time.Second)
	w.Submit(spec(2, singleTaskStep(4)), batch)
	w.Run(time.Second)
	require.Zero(t, slow.Runs())
	requireInvariants(t, w)
}

// TestGangNearItsEndIsNotRestarted checks that a gang is not restarted if the rest takes less time
// than a restart.
func TestGangNearItsEndIsNotRestarted(t *testing.T) {
	const work = 6 * time.Second
	w := newGangCluster(2, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return work }
	w.Workers[0].SlowdownFactor = 2
	w.AcquirePool()
	step := gangStep(3)
	step.EstimateMillis = work.Milliseconds()
	w.Submit(spec(1, step), batch)
	w.Run(3 * work)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}
