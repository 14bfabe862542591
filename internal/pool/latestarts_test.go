package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// These tests guard against a start without a response that is carried out by the next incarnation
// of its worker, after the run is over.

// firstOrders returns the outcomes of a worker's first orders. All later orders are acknowledged.
func firstOrders(outcomes ...simulation.Outcome) func() simulation.Outcome {
	return func() simulation.Outcome {
		if len(outcomes) == 0 {
			return simulation.Acknowledged
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
}

// newLateStartCluster returns a simulated cluster in which late starts reach restarted workers, and
// its owner. The owner learns of restarts only from the workers.
func newLateStartCluster(disabled pool.DisabledSafeguards, workers int, work time.Duration) (*simulation.Cluster, *simulation.Owner) {
	w := simulation.NewCluster(1, workers)
	w.DisabledSafeguards = disabled
	w.LateOrdersReachRestartedWorkers = true
	w.Work = func(taskgraph.TaskName) time.Duration { return work }
	owner := w.AcquirePool()
	w.Run(100 * time.Millisecond)
	return w, owner
}

// lateStartAfterEnd delays the first copy of a start. The second copy is answered, its run ends, and
// the worker restarts before the first copy arrives.
func lateStartAfterEnd(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w, _ := newLateStartCluster(disabled, 1, 500*time.Millisecond)
	w.Workers[0].OrderOutcome = firstOrders(simulation.AppliedLate)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(1500 * time.Millisecond)
	w.Store.FeedsUnresponsive = true
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(20 * time.Second)
	return w
}

func TestLateStartIsBlockedAfterItsRunEnded(t *testing.T) {
	requireInvariantsNeed(t, lateStartAfterEnd, pool.DisabledSafeguards{UnansweredStarts: true})
}

// lateStartAfterTakeover is like lateStartAfterEnd, but the first owner is killed before it
// acknowledges the end, and the next owner cannot reach the restarted worker.
func lateStartAfterTakeover(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w, owner := newLateStartCluster(disabled, 1, 500*time.Millisecond)
	w.Workers[0].OrderOutcome = firstOrders(simulation.AppliedLate)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(450 * time.Millisecond)
	owner.Process.Kill()
	w.Run(150 * time.Millisecond)
	w.AcquirePool()
	w.Run(900 * time.Millisecond)
	w.Store.FeedsUnresponsive = true
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(51 * time.Millisecond)
	next := w.Workers[1]
	next.Partitioned = true
	w.Run(4 * time.Second)
	next.Partitioned = false
	w.Run(20 * time.Second)
	return w
}

func TestLateStartOfEarlierOwnerAfterItsRunEnded(t *testing.T) {
	requireInvariantsNeed(t, lateStartAfterTakeover, pool.DisabledSafeguards{UnansweredStarts: true})
}

// lateStartAfterMove delays a start that gets no response at all. The task is then placed on the
// other worker, and the first worker restarts before the start arrives.
func lateStartAfterMove(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w, _ := newLateStartCluster(disabled, 2, 8*time.Second)
	w.Workers[1].Unhealthy = true
	first := w.Workers[0]
	first.OrderOutcome = firstOrders(simulation.AppliedLate, simulation.Dropped, simulation.Dropped, simulation.Dropped)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	for w.Checker.Metrics["worker_orders/stop"] == 0 {
		w.Run(10 * time.Millisecond)
	}
	first.Unhealthy, w.Workers[1].Unhealthy = true, false
	for w.Workers[1].Runs() == 0 {
		w.Run(10 * time.Millisecond)
	}
	w.Store.FeedsUnresponsive = true
	first.Restart(50*time.Millisecond, 0)
	w.Run(40 * time.Second)
	return w
}

func TestLateStartIsBlockedAfterItsTaskMoved(t *testing.T) {
	requireInvariantsNeed(t, lateStartAfterMove, pool.DisabledSafeguards{UnansweredStarts: true})
}

// delayFirstOrder carries out the worker's first order after a delay, without an answer. It returns a
// function that restarts the worker so shortly before the order that no stop can reach the next
// incarnation in time.
func delayFirstOrder(c *simulation.Cluster, worker *simulation.Worker, delay time.Duration) (restartBeforeOrder func()) {
	const downTime, timeLeft = 50 * time.Millisecond, time.Millisecond
	var carriedOutAt time.Time
	c.OrderDelay = simulation.FixedDelay(delay)
	first := firstOrders(simulation.AppliedLate)
	worker.OrderOutcome = func() simulation.Outcome {
		if carriedOutAt.IsZero() {
			carriedOutAt = c.Clock.Now().Add(delay)
		}
		return first()
	}
	return func() {
		c.Run(carriedOutAt.Add(-downTime - timeLeft).Sub(c.Clock.Now()))
		worker.Restart(downTime, 0)
		c.Run(30 * time.Second)
	}
}

// TestEndIsNotAcknowledgedWhileItsStartMayBeLate guards against a run that starts again after its
// acknowledged end, as a copy of its start was late by as much as the platform allows (review case 12).
func TestEndIsNotAcknowledgedWhileItsStartMayBeLate(t *testing.T) {
	for delay := shortestOrderDelay; delay <= longestOrderDelay; delay += 500 * time.Millisecond {
		w, _ := newLateStartCluster(pool.DisabledSafeguards{}, 1, 500*time.Millisecond)
		restartBeforeOrder := delayFirstOrder(w, w.Workers[0], delay)
		w.Submit(spec(1, singleTaskStep(1)), batch)
		w.Run(time.Second)
		restartBeforeOrder()
		require.Empty(t, w.Checker.Violations, "late by %v", delay)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)), "late by %v", delay)
		require.Equal(t, 2, w.Checker.Starts(taskOf(1, 0, 0)), "the late start is carried out")
		require.Zero(t, w.Workers[1].Runs(), "late by %v", delay)
	}
}

// smallStep returns a step whose tasks need little of a worker.
func smallStep(count int) taskgraph.Step {
	return taskgraph.Step{Count: count, Resources: taskgraph.Resources{CPU: 100}, EstimateMillis: 100}
}

// TestEndsBesideAHeldOneAreSeen guards against an acknowledgement that is not held back as its worker's
// list of ended runs is full, and against ends beyond the list that the owner doesn't see.
func TestEndsBesideAHeldOneAreSeen(t *testing.T) {
	const jobs, tasks, interval = 12, 20, 500 * time.Millisecond
	w := simulation.NewCluster(1, 1)
	w.LateOrdersReachRestartedWorkers = true
	w.Bounds.MaxListedEnds = 60
	w.Work = func(taskgraph.TaskName) time.Duration { return 100 * time.Millisecond }
	w.AcquirePool()
	w.Run(100 * time.Millisecond)
	restartBeforeOrder := delayFirstOrder(w, w.Workers[0], longestOrderDelay)
	for n := range jobs {
		w.Submit(spec(n, smallStep(tasks)), batch)
		w.Run(interval)
	}
	restartBeforeOrder()
	requireInvariants(t, w)
	for n := range jobs {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
	}
}

// TestLateStartAfterTwoTakeovers guards against an owner that acknowledges the end of a run that it
// knows from rows only, while a copy of the start that its predecessor's predecessor sent may be late.
func TestLateStartAfterTwoTakeovers(t *testing.T) {
	w, owner := newLateStartCluster(pool.DisabledSafeguards{}, 1, 500*time.Millisecond)
	restartBeforeOrder := delayFirstOrder(w, w.Workers[0], longestOrderDelay)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(300 * time.Millisecond)
	for range 2 {
		owner.Process.Kill()
		owner = w.AcquirePool()
		w.Run(3 * time.Second)
	}
	restartBeforeOrder()
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// doneByLateStart delays the start of a run until the next incarnation of its worker, which the owner
// can't reach. The task waits meanwhile, since all workers refuse it.
func doneByLateStart() *simulation.Cluster {
	w, _ := newLateStartCluster(pool.DisabledSafeguards{}, 2, 500*time.Millisecond)
	w.OrderDelay = simulation.FixedDelay(longestOrderDelay)
	first := w.Workers[0]
	first.OrderOutcome = firstOrders(simulation.AppliedLate, simulation.Dropped, simulation.Dropped, simulation.Dropped)
	w.Workers[1].Unhealthy = true
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(2 * time.Second)
	first.Unhealthy = true
	// The deadline of the late start is ahead of the clock after the restart.
	w.Run(longestOrderDelay - 3*time.Second)
	first.Restart(50*time.Millisecond, 0)
	w.Run(50 * time.Millisecond)
	next := w.Workers[2]
	next.Partitioned = true
	w.Run(3 * time.Second)
	next.Partitioned = false
	w.Run(20 * time.Second)
	return w
}

// TestEndOfALateStartCompletesItsTask guards against a task that starts again after a run of it is done,
// as that run had been given up and was carried out late.
func TestEndOfALateStartCompletesItsTask(t *testing.T) {
	w := doneByLateStart()
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
}
