package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestStalledRunsAreRestarted guards against a stalled run that blocks its job for good.
func TestStalledRunsAreRestarted(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.Workers[0].Stalled = true
	w.Submit(spec(1, singleTaskStep(12), gangStep(2)), batch)
	w.AcquirePool()
	w.Run(25 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Positive(t, w.Checker.Metrics["stops/stands still"])
}

// TestNoStarvationWithFreeResources guards against starvation of jobs while most of the pool
// is kept free for urgent jobs that do not come.
func TestNoStarvationWithFreeResources(t *testing.T) {
	w := simulation.NewCluster(3, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	long := singleTaskStep(32)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	w.AcquirePool()
	w.Run(time.Second)
	deferrable := singleTaskStep(1)
	deferrable.EstimateMillis = 30000
	w.Submit(spec(2, deferrable), batch)
	local := singleTaskStep(1)
	local.EstimateMillis = 30000
	local.PreferredRack = "r-0"
	w.Submit(spec(3, local), batch)
	w.Run(2700 * time.Millisecond)
	for _, n := range []int{2, 3} {
		require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(n)}), "job %d", n)
	}
}

// TestOnTimeUnitsBeforeLateOnes checks that a job that has missed its objective does not
// make the jobs behind it miss theirs.
func TestOnTimeUnitsBeforeLateOnes(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	wholeWorker := func() taskgraph.Step {
		step := singleTaskStep(1)
		step.GPUs, step.EstimateMillis = 8, 5000
		return step
	}
	tight := catalog.Queue{Name: "tight", Priority: 1, MaxAttempts: 3, Stretch: 1}
	roomy := catalog.Queue{Name: "roomy", Priority: 1, MaxAttempts: 3, Stretch: 3}
	w.Submit(spec(1, wholeWorker()), roomy)
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(2, wholeWorker()), tight)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(3, wholeWorker()), roomy)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
	require.NotEqual(t, taskgraph.Completed, w.StoredState(jobID(2)))
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

// TestGangsLearnToAvoidSlowWorkers checks that the progress of a gang's members identifies a
// slow worker, which later gangs use only if no other worker is free.
func TestGangsLearnToAvoidSlowWorkers(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	slow := w.Workers[1]
	slow.SlowdownFactor = 1.3
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, gangStep(4)), batch)
	w.Run(8 * time.Second)
	for n := 2; n < 6; n++ {
		w.Submit(spec(n, gangStep(3)), batch)
		w.Run(time.Second)
		require.Zero(t, slow.Runs(), "job %d", n)
		w.Run(6 * time.Second)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)))
	}
	w.Submit(spec(6, gangStep(4)), batch)
	w.Run(time.Second)
	require.Equal(t, 1, slow.Runs(), "the slow worker is used if no other is free")
	requireInvariants(t, w)
}

// TestSameRackGangWaitsForLocality checks that a gang that takes three times as long across
// racks waits up to twice its estimate for one rack, and not at all if it fits on no rack.
func TestSameRackGangWaitsForLocality(t *testing.T) {
	w := simulation.NewCluster(2, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 1500 * time.Millisecond }
	sameRackGang := func(count int) taskgraph.Step {
		step := gangStep(count)
		step.SameRack = true
		return step
	}
	// Each rack has one free worker for a second and a half.
	w.Submit(spec(1, gangStep(1)), urgent)
	w.AcquirePool()
	w.Run(300 * time.Millisecond)
	w.Submit(spec(2, sameRackGang(2)), urgent)
	w.Run(300 * time.Millisecond)
	w.Submit(spec(3, sameRackGang(2)), urgent)
	w.Run(900 * time.Millisecond)
	require.Zero(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(3)}), "the gang waits for one rack")
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
	w.Submit(spec(4, sameRackGang(3)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(4)}), "the gang fits on no rack")
	requireInvariants(t, w)
}
