package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// These tests guard against orders to a former incarnation of a worker that the next one carries out.

// lateAcknowledgement makes a worker carry out a poll late that acknowledges its first ended run. The
// worker has restarted by then, and the report of the next incarnation's first ended run was lost. The
// worker is down for downTime.
func lateAcknowledgement(disabled pool.DisabledSafeguards, downTime time.Duration) *simulation.Cluster {
	w, _ := newLateStartCluster(disabled, 1, 2*time.Second)
	first := w.Workers[0]
	w.OrderDelay = simulation.FixedDelay(longestOrderDelay)
	late := false
	first.PollOutcome = func(order fleet.Poll) simulation.Outcome {
		if order.AcknowledgedEnd > 0 && !late {
			late = true
			return simulation.AppliedLate
		}
		return simulation.Acknowledged
	}
	w.Submit(spec(1, singleTaskStep(1)), batch)
	for !late {
		w.Run(10 * time.Millisecond)
	}
	lateAt := w.Clock.Now().Add(longestOrderDelay)
	w.Run(2 * time.Second)
	first.Restart(downTime, 0)
	w.Run(lateAt.Add(-2500 * time.Millisecond).Sub(w.Clock.Now()))
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Run(2 * time.Second)
	next := w.Workers[1]
	next.DropPollReply = func() bool { return true }
	w.Run(time.Second)
	next.DropPollReply = nil
	w.Run(20 * time.Second)
	return w
}

// TestLateAcknowledgementOfAFormerIncarnation: a late poll acknowledged an end that the owner had not seen,
// and the task was started again.
func TestLateAcknowledgementOfAFormerIncarnation(t *testing.T) {
	for name, downTime := range map[string]time.Duration{"short restart": 50 * time.Millisecond, "worker forgotten meanwhile": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			simulate := func(disabled pool.DisabledSafeguards) *simulation.Cluster {
				return lateAcknowledgement(disabled, downTime)
			}
			requireInvariantsNeed(t, simulate, pool.DisabledSafeguards{RestartFence: true})
			w := simulate(pool.DisabledSafeguards{})
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			require.Equal(t, 1, w.Checker.Starts(taskOf(2, 0, 0)))
		})
	}
}

// TestRaisedTokenStaysBelowTheNextOwners: an owner whose worker has seen a raised token must not end for
// refusals of its own earlier orders, and the next owner's orders must not be refused.
func TestRaisedTokenStaysBelowTheNextOwners(t *testing.T) {
	w, owner := newLateStartCluster(pool.DisabledSafeguards{}, 2, 500*time.Millisecond)
	for n := range 5 {
		w.Submit(spec(n, singleTaskStep(2)), batch)
		w.Run(300 * time.Millisecond)
		busyWorker(w).Restart(50*time.Millisecond, 0)
		w.Run(2 * time.Second)
	}
	require.Empty(t, owner.Ended)
	raised := w.Workers[len(w.Workers)-1].Token()
	require.Greater(t, raised, owner.Token())
	next := w.AcquirePool()
	require.Greater(t, next.Token(), raised)
	w.Submit(spec(5, singleTaskStep(10)), batch)
	w.Run(10 * time.Second)
	require.Empty(t, next.Ended)
	requireInvariants(t, w)
	for n := range 6 {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
	}
}

// TestReplacedOwnerDoesNotRaiseItsToken: an owner that has been replaced must not get a token above that of
// its successor.
func TestReplacedOwnerDoesNotRaiseItsToken(t *testing.T) {
	w, owner := newLateStartCluster(pool.DisabledSafeguards{}, 1, 500*time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(time.Second)
	next := w.AcquirePool()
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(10 * time.Second)
	require.NotEmpty(t, owner.Ended)
	require.Empty(t, next.Ended)
	requireInvariants(t, w)
}

// TestTokenIsRaisedOnceTheStoreAnswers: a worker that restarts while the store does not answer gets work
// once it does.
func TestTokenIsRaisedOnceTheStoreAnswers(t *testing.T) {
	w, _ := newLateStartCluster(pool.DisabledSafeguards{}, 1, 500*time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(300 * time.Millisecond)
	lost := 3
	w.Store.WriteOutcome = func() simulation.Outcome {
		if lost--; lost >= 0 {
			return simulation.Dropped
		}
		return simulation.Acknowledged
	}
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestWorkersTakeWorkIfTheStoreRejectsFences: a store that takes no further tables must not keep restarted
// workers from work.
func TestWorkersTakeWorkIfTheStoreRejectsFences(t *testing.T) {
	w, _ := newLateStartCluster(pool.DisabledSafeguards{}, 1, 500*time.Millisecond)
	w.Checker.RejectionsExpected = true
	w.Store.RejectTable = pool.FenceTable
	w.Submit(spec(1, singleTaskStep(1)), batch)
	w.Run(300 * time.Millisecond)
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Positive(t, w.Checker.Metrics["refusals/fence_row_rejected"])
}
