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

// farAheadClock is the clock of a restarted worker that is far ahead of the clock before the
// restart.
const farAheadClock = 7_000_000

// newClusterWithOneWorker returns a simulated cluster with a single worker, on which everything is
// placed, and its owner. Tasks take two seconds.
func newClusterWithOneWorker(disabled pool.DisabledSafeguards) (*simulation.Cluster, *simulation.Owner) {
	w := simulation.NewCluster(1, 1)
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	owner := w.AcquirePool()
	w.Run(100 * time.Millisecond)
	return w, owner
}

// restartWithUnwrittenEnds restarts a worker while a slow store is writing its ended runs. Starts
// sent before the restart reach the next incarnation, and their runs fail immediately. The numbers
// of these ended runs are lower than the numbers of the runs that ended before the restart. If
// holdsLost is true, replies to polls are lost for a while.
func restartWithUnwrittenEnds(disabled pool.DisabledSafeguards, holdsLost bool) *simulation.Cluster {
	w, _ := newClusterWithOneWorker(disabled)
	w.Submit(spec(1, singleTaskStep(4)), batch)
	w.Run(1990 * time.Millisecond)
	former := w.Workers[0]
	former.OrderOutcome = func() simulation.Outcome { return simulation.Dropped }
	once := batch
	once.MaxAttempts = 1
	for n := range 3 {
		w.Submit(spec(10+n, singleTaskStep(1)), once)
	}
	for w.Checker.DecisionCounts["run ended"] == 0 {
		w.Run(time.Millisecond)
	}
	w.Store.Latency, w.Store.FeedsUnresponsive = 200*time.Millisecond, true
	former.Restart(10*time.Millisecond, 0)
	w.Run(11 * time.Millisecond)
	next := w.Workers[1]
	next.Failing, next.OrderOutcome = true, nil
	next.DropPollReply = func() bool { return holdsLost }
	w.Run(2 * time.Second)
	holdsLost = false
	w.Run(4 * time.Second)
	w.Store.Latency, w.Store.FeedsUnresponsive = 0, false
	w.Run(20 * time.Second)
	return w
}

// TestEndAcknowledgementsDoNotCrossRestart guards against acknowledging ended runs of a restarted
// worker with the numbers of its former incarnation.
func TestEndAcknowledgementsDoNotCrossRestart(t *testing.T) {
	for name, c := range map[string]struct {
		holdsLost bool
		without   pool.DisabledSafeguards
	}{
		"restart known":   {without: pool.DisabledSafeguards{Incarnations: true}},
		"restart unknown": {holdsLost: true, without: pool.DisabledSafeguards{FreshReport: true}},
	} {
		t.Run(name, func(t *testing.T) {
			requireInvariants(t, restartWithUnwrittenEnds(pool.DisabledSafeguards{}, c.holdsLost))
			require.NotEmpty(t, restartWithUnwrittenEnds(c.without, c.holdsLost).Checker.Violations, "without the mechanism")
		})
	}
}

// TestLateStartIsBlockedAfterRestart: the first copy of a start arrives late and reaches
// the worker after a restart, although the second copy was answered before it. A stop or the fence of the
// next incarnation blocks it.
func TestLateStartIsBlockedAfterRestart(t *testing.T) {
	simulate := func(without pool.DisabledSafeguards) *simulation.Cluster {
		w := simulation.NewCluster(1, 2)
		w.DisabledSafeguards = without
		w.Work = func(taskgraph.TaskName) time.Duration { return 8 * time.Second }
		w.LateOrdersReachRestartedWorkers = true
		w.AcquirePool()
		w.Run(100 * time.Millisecond)
		for _, worker := range w.Workers {
			first := true
			worker.OrderOutcome = func() simulation.Outcome {
				if first {
					first = false
					return simulation.AppliedLate
				}
				return simulation.Acknowledged
			}
		}
		w.Submit(spec(1, singleTaskStep(1)), batch)
		// The deadline of the late start is ahead of the clock after the restart.
		w.Run(2500 * time.Millisecond)
		busyWorker(w).Restart(50*time.Millisecond, 0)
		w.Run(40 * time.Second)
		return w
	}
	requireInvariants(t, simulate(pool.DisabledSafeguards{UnansweredStarts: true}))
	requireInvariants(t, simulate(pool.DisabledSafeguards{RestartFence: true}))
	requireInvariantsNeed(t, simulate, pool.DisabledSafeguards{UnansweredStarts: true, RestartFence: true})
}

// leaseAfterRestart lets a start that was sent before a restart grant the longest lease, since its
// deadline is far ahead on the clock of the next incarnation. The worker becomes unreachable right
// after its first report.
func leaseAfterRestart(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w := simulation.NewCluster(1, 2)
	w.Bounds.MaxLease = 10 * time.Second
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 9 * time.Second }
	other := w.Workers[1]
	w.Workers[0].Restart(time.Millisecond, farAheadClock)
	w.Run(2 * time.Millisecond)
	owner := w.AcquirePool()
	w.Run(time.Second)
	other.Unhealthy, w.Store.FeedsUnresponsive = true, true
	w.Workers[2].Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, singleTaskStep(1)), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	for w.Checker.DecisionCounts["worker restarted"] == 0 {
		w.Run(time.Millisecond / 2)
	}
	next := w.Workers[3]
	next.Partitioned, other.Unhealthy, w.Store.FeedsUnresponsive = true, false, false
	w.Run(40 * time.Second)
	return w
}

func TestLeaseAfterRestartIsWaitedOut(t *testing.T) {
	requireInvariantsNeed(t, leaseAfterRestart, pool.DisabledSafeguards{RestartLease: true})
}

// TestRunAfterRestartSurvivesTakeover guards against losing a run after a takeover whose progress
// row names the incarnation before the one in which the run was started.
func TestRunAfterRestartSurvivesTakeover(t *testing.T) {
	w, owner := newClusterWithOneWorker(pool.DisabledSafeguards{})
	w.Store.FeedsUnresponsive = true
	w.Store.Latency = 400 * time.Millisecond
	w.Submit(spec(1, singleTaskStep(2)), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	// The owner verifies the announcement by a call to the store, and then writes the placement.
	w.Run(500 * time.Millisecond)
	require.Equal(t, 2, w.Checker.DecisionCounts["placed"])
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 2, w.Workers[1].Runs(), "started after the restart")
	owner.Process.Kill()
	w.Store.FeedsUnresponsive, w.Store.Latency = false, 0
	w.AcquirePool()
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
}

// TestRunLostInRestartIsPlacedAgain covers an owner that sees the restart, an owner that is killed
// before or after the restart, and a restart without an owner.
func TestRunLostInRestartIsPlacedAgain(t *testing.T) {
	cases := map[string]struct {
		killBefore, killAfter bool
		away                  time.Duration
	}{
		"owner stays":                {},
		"owner killed before":        {killBefore: true},
		"owner killed after":         {killAfter: true},
		"no owner for eight seconds": {killBefore: true, away: 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, owner := newClusterWithOneWorker(pool.DisabledSafeguards{})
			w.Submit(spec(1, singleTaskStep(4)), batch)
			w.Run(time.Second)
			if c.killBefore {
				owner.Process.Kill()
			}
			w.Workers[0].Restart(200*time.Millisecond, farAheadClock)
			w.Run(250*time.Millisecond + c.away)
			if c.killAfter {
				owner.Process.Kill()
			}
			if c.killBefore || c.killAfter {
				w.AcquirePool()
			}
			w.Run(20 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.LessOrEqual(t, w.Checker.Starts(taskOf(1, 0, 0)), 2)
		})
	}
}

// TestRestartIsKnownAtOnce: runs that ended with a restart are placed again without waiting for the
// lease.
func TestRestartIsKnownAtOnce(t *testing.T) {
	w, _ := newClusterWithOneWorker(pool.DisabledSafeguards{})
	w.Submit(spec(1, singleTaskStep(8)), batch)
	w.Run(time.Second)
	w.Workers[0].Restart(500*time.Millisecond, 0)
	w.Run(1000 * time.Millisecond)
	require.Equal(t, 8, w.Workers[1].Runs(), "0.5 s after the restart")
	require.Equal(t, 8, w.Checker.Metrics["attempts/lost"])
	requireInvariants(t, w)
}

// TestStaleRowOfFormerIncarnationIsIgnored: a row of the former incarnation arrives after a row of
// the next incarnation.
func TestStaleRowOfFormerIncarnationIsIgnored(t *testing.T) {
	w, _ := newClusterWithOneWorker(pool.DisabledSafeguards{})
	former := w.Workers[0]
	former.Restart(100*time.Millisecond, 0)
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(4)), batch)
	w.Run(500 * time.Millisecond)
	former.Draining = true
	w.PutWorkerRow(former)
	w.Run(500 * time.Millisecond)
	w.Submit(spec(2, singleTaskStep(2)), batch)
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)), "the stale row stopped nothing")
	require.NotZero(t, w.Checker.Metrics["refusals/worker_row_stale"])
}

// TestFalseRowOfLaterIncarnationStopsNothing: a row names an incarnation that does not exist. Runs
// continue, and nothing new is placed on the worker until a correct row is back.
func TestFalseRowOfLaterIncarnationStopsNothing(t *testing.T) {
	w, _ := newClusterWithOneWorker(pool.DisabledSafeguards{})
	requireRunsSurviveInvalidRow(t, w, func() {
		falseRow := *w.Workers[0]
		falseRow.StartMillis += 3_600_000
		w.PutWorkerRow(&falseRow)
	})
}

// TestWorkersWithoutStartTime covers platforms whose workers do not report a start time: an
// identifier stands for one incarnation.
func TestWorkersWithoutStartTime(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	for _, worker := range w.Workers {
		worker.Incarnation = fleet.Incarnation{ID: worker.ID}
		w.PutWorkerRow(worker)
	}
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(8), gangStep(2)), batch)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestRestartedWorkerMayChangeCapacity: a restarted worker has its own capacity, labels, zone and
// drain state, and tasks that need a label of the former incarnation are not placed there.
func TestRestartedWorkerMayChangeCapacity(t *testing.T) {
	w := simulation.NewCluster(2, 1)
	w.SkipCapacityCheck = true
	w.Catalog.Pools[0].EnforcesCapacity = false
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	former := w.Workers[0]
	former.Labels = []string{"special", former.Rack()}
	w.PutWorkerRow(former)
	w.AcquirePool()
	w.Run(time.Second)
	former.Draining, former.RemainingMillis = true, 8000
	w.PutWorkerRow(former)
	w.Run(200 * time.Millisecond)
	former.Restart(100*time.Millisecond, farAheadClock)
	w.Run(101 * time.Millisecond)
	next := w.Workers[2]
	require.Equal(t, former.ID, next.ID)
	next.Capacity.GPUs = 3
	next.Labels = []string{"a", "r-7"}
	w.PutWorkerRow(next)
	w.Run(5 * time.Second)
	w.Submit(spec(1, singleTaskStep(11)), batch)
	special := singleTaskStep(1)
	special.RequiredLabel = "special"
	w.Submit(spec(2, special), batch)
	w.Run(time.Second)
	require.Equal(t, 3, next.Runs(), "the restarted worker does not drain and has three accelerators")
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Zero(t, w.Checker.JobStarts(jobID(2)), "no worker has that label any more")
}

// TestRestartsDuringTakeovers: workers restart without an owner, twice in a row, during a store
// outage, and at many points of a takeover.
func TestRestartsDuringTakeovers(t *testing.T) {
	for _, ahead := range []int64{0, farAheadClock} {
		for offset := time.Duration(0); offset < 60*time.Millisecond; offset += 3 * time.Millisecond {
			w := simulation.NewCluster(1, 2)
			w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
			owner := w.AcquirePool()
			w.Submit(spec(1, singleTaskStep(6), gangStep(2)), batch)
			w.Run(time.Second + offset)
			owner.Process.Kill()
			w.Workers[0].Restart(20*time.Millisecond, ahead)
			w.Run(30 * time.Millisecond)
			w.Workers[2].Restart(20*time.Millisecond, 0)
			w.AcquirePool()
			w.Run(offset)
			w.Workers[1].RestartWithoutReset(15*time.Millisecond, ahead)
			w.Run(offset)
			w.Store.Unavailable = true
			w.Run(200 * time.Millisecond)
			w.Store.Unavailable = false
			w.Run(40 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)), "%v", offset)
		}
	}
}

// TestEachIncarnationLostCountsOnce: a task that crashes a worker which restarts under its
// identifier is detected as if each incarnation had an identifier of its own.
func TestEachIncarnationLostCountsOnce(t *testing.T) {
	w := simulation.NewCluster(1, 1)
	w.RestartWithSameID = true
	crashing := taskOf(1, 0, 0)
	w.Crashing[crashing] = crashAfterStart
	w.AcquirePool()
	w.Run(time.Second)
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.Run(30 * time.Second)
	requireJobFailed(t, w, crashing, 2)
}

// TestMachineStateSurvivesRestart: the exclusion of a worker that fails every task outlasts its
// restart.
func TestMachineStateSurvivesRestart(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.AcquirePool()
	w.Run(100 * time.Millisecond)
	failing := w.Workers[0]
	failing.Failing = true
	w.Workers[1].Unhealthy = true
	many := batch
	many.MaxAttempts = 50
	for n := 1; w.Checker.DecisionCounts["failing worker excluded"] == 0; n++ {
		w.Submit(spec(n, singleTaskStep(1)), many)
		w.Run(200 * time.Millisecond)
	}
	failing.Restart(50*time.Millisecond, farAheadClock)
	w.Run(60 * time.Millisecond)
	next := w.Workers[2]
	w.Submit(spec(90, singleTaskStep(1)), many)
	w.Run(time.Second)
	require.Zero(t, next.Runs(), "the penalty outlasts the restart")
	w.Workers[1].Unhealthy = false
	w.Run(60 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestClockSetBackBetweenRestarts guards against ignoring a restarted worker whose start time is
// before the start time of its former incarnation.
func TestClockSetBackBetweenRestarts(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "busy": true} {
		t.Run(name, func(t *testing.T) {
			w, _ := newClusterWithOneWorker(pool.DisabledSafeguards{})
			if busy {
				w.Submit(spec(1, singleTaskStep(2)), batch)
			}
			w.Run(time.Second)
			former := w.Workers[0]
			former.Restart(50*time.Millisecond, 0)
			w.Run(51 * time.Millisecond)
			next := w.Workers[1]
			next.StartMillis = former.StartMillis - 60_000
			w.PutWorkerRow(next)
			w.Run(time.Second)
			w.Submit(spec(2, singleTaskStep(2)), batch)
			for range 14 {
				// A heartbeat.
				w.PutWorkerRow(next)
				w.Run(1500 * time.Millisecond)
			}
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			if busy {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			}
		})
	}
}

// A reply to a start does not identify the incarnation. If the worker has restarted unnoticed
// before the reply, the next owner must not consider the run lost with the former incarnation.
// Otherwise the task runs twice.

// startAnsweredByUnknownIncarnation lets the next incarnation of a worker answer the starts of a gang.
// The clock of the former incarnation, of the given age, is ahead of the next one's. The run is being
// stopped when another owner takes over.
func startAnsweredByUnknownIncarnation(t *testing.T, formerAge time.Duration) *simulation.Cluster {
	w := newGangCluster(1, 2)
	w.StopTime, w.Bounds.StopTimeout = 1500*time.Millisecond, 2*time.Second
	answersLost := false
	w.Workers[0].DropPollReply = func() bool { return answersLost }
	owner := w.AcquirePool()
	w.Run(formerAge)
	w.Store.FeedsUnresponsive = true
	w.Workers[1].CrashAndRestart()
	w.Run(4 * time.Second)
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	answersLost = true
	step := gangStep(2)
	step.GPUs, step.CPU, step.MaxPerWorker = 4, 4000, 1
	w.Submit(spec(1, step), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	for range 200 {
		if w.Checker.DecisionCounts["stopped"] > 0 {
			break
		}
		w.Run(time.Millisecond)
	}
	require.Positive(t, w.Checker.DecisionCounts["stopped"])
	// The row with the confirmed starts is written, and the run is being stopped.
	w.Run(800 * time.Millisecond)
	w.Store.FeedsUnresponsive, answersLost = false, false
	w.AcquirePool()
	w.Run(20 * time.Second)
	return w
}

// TestStartAnsweredByUnknownIncarnation: the next owner looks for the run in the new incarnation,
// too.
func TestStartAnsweredByUnknownIncarnation(t *testing.T) {
	w := startAnsweredByUnknownIncarnation(t, 2*clockJumpThreshold)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestStartAnsweredByUnknownIncarnationWithNearClock is TestStartAnsweredByUnknownIncarnation with a
// former incarnation whose clock is less than the owner's threshold ahead of the next one's.
func TestStartAnsweredByUnknownIncarnationWithNearClock(t *testing.T) {
	w := startAnsweredByUnknownIncarnation(t, clockJumpThreshold/4)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// clockJumpThreshold is the least clock jump that the owner detects.
const clockJumpThreshold = 10 * time.Second
