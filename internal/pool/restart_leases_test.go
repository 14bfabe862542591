package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// newLongLeaseCluster returns a cluster of two workers. The second refuses starts, and the first has
// restarted with a clock that is far ahead.
func newLongLeaseCluster() (w *simulation.Cluster, former, other *simulation.Worker) {
	w = simulation.NewCluster(1, 2)
	w.Bounds.MaxLease = 10 * time.Second
	w.Work = func(taskgraph.TaskName) time.Duration { return 20 * time.Second }
	other = w.Workers[1]
	w.Workers[0].Restart(time.Millisecond, farAheadClock)
	w.Run(2 * time.Millisecond)
	return w, w.Workers[2], other
}

// TestLateOrderExtendsLeaseAfterRestart: a start whose deadline counts on the clock of the former
// incarnation is carried out seconds after the next incarnation's first report. It extends the lease
// of all runs there beyond what the owner waits for.
func TestLateOrderExtendsLeaseAfterRestart(t *testing.T) {
	w, former, other := newLongLeaseCluster()
	w.LateOrdersReachRestartedWorkers, w.OrderDelay = true, simulation.FixedDelay(3*time.Second)
	w.AcquirePool()
	w.Run(time.Second)
	other.Unhealthy = true
	former.OrderOutcome = func() simulation.Outcome { return simulation.AppliedLate }
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(100 * time.Millisecond)
	former.Restart(50*time.Millisecond, 0)
	w.Run(51 * time.Millisecond)
	next := w.Workers[3]
	next.OrderOutcome = nil
	w.Run(500 * time.Millisecond)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(2600 * time.Millisecond)
	require.Positive(t, next.RunsOf(jobID(2)))
	next.Partitioned, other.Unhealthy = true, false
	w.Run(60 * time.Second)
	requireInvariants(t, w)
}

// TestLeaseAfterRestartIsWaitedOutAfterTakeover: a start that was sent before a restart grants the
// longest lease, as in TestLeaseAfterRestartIsWaitedOut, and another owner follows.
func TestLeaseAfterRestartIsWaitedOutAfterTakeover(t *testing.T) {
	w, former, other := newLongLeaseCluster()
	owner := w.AcquirePool()
	w.Run(time.Second)
	other.Unhealthy, w.Store.FeedsUnresponsive = true, true
	former.Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	for w.Checker.DecisionCounts["worker restarted"] == 0 {
		w.Run(time.Millisecond / 2)
	}
	next := w.Workers[3]
	w.Run(200 * time.Millisecond)
	require.Positive(t, next.RunsOf(jobID(1)))
	owner.Process.Kill()
	w.Store.FeedsUnresponsive = false
	w.AcquirePool()
	w.Run(300 * time.Millisecond)
	next.Partitioned, other.Unhealthy = true, false
	w.Run(60 * time.Second)
	requireInvariants(t, w)
}
