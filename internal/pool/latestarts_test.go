package pool_test

import (
	"testing"
	"time"

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
