package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestStandingRunsAreMoved: a task on a worker that makes no progress held its job
// up until the day's end.
func TestStandingRunsAreMoved(t *testing.T) {
	w := simulation.NewWorld(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.Workers[0].Standing = true
	w.Submit(spec(1, single(12), gang(2)), batch)
	w.Own()
	w.Run(25 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Positive(t, w.Judge.Counts["stops/stands still"])
}

// TestNothingWaitsLongBesideFreeRoom: a job without any run was held back for urgent
// ones that did not come, with most of the room free (hunt: LOST).
func TestNothingWaitsLongBesideFreeRoom(t *testing.T) {
	w := simulation.NewWorld(3, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	long := single(32)
	long.EstimateMillis = 30000
	w.Submit(spec(1, long), batch)
	w.Own()
	w.Run(time.Second)
	patient := single(1)
	patient.EstimateMillis = 30000
	w.Submit(spec(2, patient), batch)
	near := single(1)
	near.EstimateMillis = 30000
	near.PreferredRack = "r-0"
	w.Submit(spec(3, near), batch)
	w.Run(2700 * time.Millisecond)
	for _, n := range []int{2, 3} {
		require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(n)}), "job %d", n)
	}
}

// TestLateUnitsMakeWayForTimelyOnes: with everything in the order of acceptance, one
// job that was late made all that came after it late too.
func TestLateUnitsMakeWayForTimelyOnes(t *testing.T) {
	w := simulation.NewWorld(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	whole := func() taskgraph.Step {
		step := single(1)
		step.GPUs, step.EstimateMillis = 8, 5000
		return step
	}
	tight := catalog.Queue{Name: "tight", Priority: 1, MaxAttempts: 3, Stretch: 1}
	roomy := catalog.Queue{Name: "roomy", Priority: 1, MaxAttempts: 3, Stretch: 3}
	w.Submit(spec(1, whole()), roomy)
	w.Own()
	w.Run(time.Second)
	w.Submit(spec(2, whole()), tight)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(3, whole()), roomy)
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
	require.NotEqual(t, taskgraph.Completed, w.StoredState(jobID(2)))
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

// TestGangsLearnToAvoidSlowWorkers: the progress of a gang's members tells which worker
// is slow, and later gangs leave it alone while there is other room.
func TestGangsLearnToAvoidSlowWorkers(t *testing.T) {
	w := simulation.NewWorld(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	slow := w.Workers[1]
	slow.Slowness = 1.3
	w.Own()
	w.Run(time.Second)
	w.Submit(spec(1, gang(4)), batch)
	w.Run(8 * time.Second)
	for n := 2; n < 6; n++ {
		w.Submit(spec(n, gang(3)), batch)
		w.Run(time.Second)
		require.Zero(t, slow.Runs(), "job %d", n)
		w.Run(6 * time.Second)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)))
	}
	w.Submit(spec(6, gang(4)), batch)
	w.Run(time.Second)
	require.Equal(t, 1, slow.Runs(), "where nothing else is left it is used")
	requireKept(t, w)
}

// TestGangsOnOneRackWaitAsLongAsItPays: elsewhere such a gang takes three times as long,
// so it waits up to twice its estimate for its rack; one that no rack holds does not wait.
func TestGangsOnOneRackWaitAsLongAsItPays(t *testing.T) {
	w := simulation.NewWorld(2, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 1500 * time.Millisecond }
	tied := func(count int) taskgraph.Step {
		step := gang(count)
		step.SameRack = true
		return step
	}
	// Each rack is left with one free worker for a second and a half.
	w.Submit(spec(1, gang(1)), urgent)
	w.Own()
	w.Run(300 * time.Millisecond)
	w.Submit(spec(2, tied(2)), urgent)
	w.Run(300 * time.Millisecond)
	w.Submit(spec(3, tied(2)), urgent)
	w.Run(900 * time.Millisecond)
	require.Zero(t, w.Judge.Starts(taskgraph.TaskName{Job: jobID(3)}), "waits for its rack")
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
	w.Submit(spec(4, tied(3)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(4)}), "no rack holds it")
	requireKept(t, w)
}
