package pool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

var (
	urgent = catalog.Queue{Name: "urgent", Priority: 0, MaxAttempts: 3, Stretch: 1.5, TargetMillis: 250}
	batch  = catalog.Queue{Name: "batch", Priority: 2, MaxAttempts: 3, Stretch: 3, TargetMillis: 3000}
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// single is a step of equal tasks with one accelerator each.
func single(count int) taskgraph.Step {
	return taskgraph.Step{Count: count, Amount: taskgraph.Amount{CPU: 4000, MemoryMB: 20000, GPUs: 1}, EstimateMillis: 1000}
}

// gang is a step whose tasks take whole workers together.
func gang(count int) taskgraph.Step {
	step := single(count)
	step.GPUs = 8
	step.Gang = true
	return step
}

func spec(n int, steps ...taskgraph.Step) taskgraph.Spec {
	return taskgraph.Spec{ID: jobID(n), Payload: "payload", Steps: steps}
}

func requireKept(t *testing.T, w *simulation.World) {
	t.Helper()
	if len(w.Judge.Broken) > 0 {
		t.Log(strings.Join(w.Judge.Trace, "\n"))
	}
	require.Empty(t, w.Judge.Broken)
}

func TestGraphOfStepsRunsInOrder(t *testing.T) {
	w := simulation.NewWorld(2, 4)
	second := single(3)
	second.After = []int{0}
	third := gang(2)
	third.After = []int{0, 1}
	w.Submit(spec(1, single(5), second, third), batch)
	w.Own()
	w.Run(5 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestWorkerReplacedDuringPlacement: the owner ended with a nil pointer when a
// worker's instance was replaced between the write of a placement and its start.
func TestWorkerReplacedDuringPlacement(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	first := spec(1, single(1))
	w.Submit(first, batch)
	w.Own()
	w.Run(500 * time.Millisecond)
	w.Store.Latency = 400 * time.Millisecond
	w.Submit(spec(2, single(16)), batch)
	w.Run(600 * time.Millisecond)
	for _, worker := range w.Workers {
		if worker.ID == "w-0-0" {
			worker.Crash()
			worker.Replaced = true
		}
	}
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
}

func TestTakeoverAfterKill(t *testing.T) {
	w := simulation.NewWorld(2, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 3 * time.Second }
	w.Submit(spec(1, single(4), gang(3)), batch)
	first := w.Own()
	w.Run(time.Second)
	first.Process.Kill()
	w.Run(time.Second)
	w.Own()
	w.Run(6 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	name := taskgraph.TaskName{Job: jobID(1)}
	require.Equal(t, 1, w.Judge.Starts(name), "what runs goes on under the next owner")
}

func TestFrozenOwnerStartsNothingAfterTakeover(t *testing.T) {
	w := simulation.NewWorld(1, 4)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	first := w.Own()
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, single(8)), batch)
	w.Run(15 * time.Millisecond)
	first.Process.Freeze(w.Clock.Now().Add(4 * time.Second))
	w.Run(time.Second)
	second := w.Own()
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.NotEmpty(t, first.Ended)
	require.Empty(t, second.Ended)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestLateStartIsBarred(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	late := 0
	w.Workers[0].LoseOrder = func() simulation.Fate {
		late++
		if late <= 3 {
			return simulation.DoneLate
		}
		return simulation.Answered
	}
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	w.Submit(spec(1, single(20)), batch)
	w.Own()
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestCutWorkerIsWaitedOut(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 5 * time.Second }
	w.Submit(spec(1, single(24)), batch)
	first := w.Own()
	w.Run(time.Second)
	w.Workers[0].Cut = true
	first.Process.Kill()
	w.Own()
	w.Run(30 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestStoreAwayLongerThanAnyLease(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 15 * time.Second }
	w.Submit(spec(1, single(8)), batch)
	w.Own()
	w.Run(time.Second)
	w.Store.AwayAll = true
	w.Run(12 * time.Second)
	w.Store.AwayAll = false
	w.Run(6 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}), "leases are extended without the store")
}

func TestProgressGoesIntoAnotherPart(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	w.Own()
	w.Run(time.Second)
	w.Store.Away[pool.ProgressParts(simulation.PoolName)[0]] = true
	w.Submit(spec(1, single(8)), batch)
	w.Run(3 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestLostStoreAnswersSettle(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		w := simulation.NewWorld(2, 4)
		w.Store.Lose = func() simulation.Fate {
			if random.Float64() < 0.35 {
				return simulation.Fate(1 + random.IntN(3))
			}
			return simulation.Answered
		}
		for n := range 5 {
			w.Submit(spec(n, single(6), gang(2)), batch)
		}
		first := w.Own()
		w.Run(2 * time.Second)
		first.Process.Kill()
		w.Own()
		w.Run(60 * time.Second)
		requireKept(t, w)
		for n := range 5 {
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "seed %d", seed)
		}
	}
}

func TestUrgentGangStopsOthers(t *testing.T) {
	w := simulation.NewWorld(1, 4)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(9) {
			return time.Second
		}
		return 20 * time.Second
	}
	long := single(32)
	long.EstimateMillis = 20000
	w.Submit(spec(1, long), batch)
	w.Own()
	w.Run(2 * time.Second)
	wide := gang(3)
	wide.SameRack = true
	w.Submit(spec(9, wide), urgent)
	w.Run(2500 * time.Millisecond)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(9)))
	require.Positive(t, w.Judge.Counts["stops/preempted"])
	require.Zero(t, w.Judge.Counts["start_failures/no_room"])
}

func TestFailuresEndTheJobAtItsLimit(t *testing.T) {
	w := simulation.NewWorld(1, 6)
	for _, worker := range w.Workers {
		worker.Failing = true
	}
	w.Submit(spec(1, single(1)), batch)
	w.Own()
	w.Run(30 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
	require.Equal(t, batch.MaxAttempts, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}))
}

func TestOneFailingWorkerDoesNotEndJobs(t *testing.T) {
	w := simulation.NewWorld(1, 6)
	w.Workers[0].Failing = true
	for n := range 10 {
		w.Submit(spec(n, single(4)), batch)
	}
	w.Own()
	w.Run(20 * time.Second)
	requireKept(t, w)
	for n := range 10 {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)))
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Work = func(taskgraph.TaskName) time.Duration { return 30 * time.Second }
	w.Submit(spec(1, single(24)), batch)
	w.Own()
	w.Run(time.Second)
	w.Cancel(jobID(1))
	w.Run(2 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
	for _, worker := range w.Workers {
		require.Zero(t, worker.Runs())
	}
}

func TestDrainingWorkerGetsNothingAndIsEmptied(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	long := single(4)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	w.Own()
	w.Run(time.Second)
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 2000
	w.PutWorkerRow(leaving)
	w.Run(2 * time.Second)
	require.Zero(t, leaving.Runs())
	leaving.Crash()
	w.RemoveWorkerRow(leaving)
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

func TestTimedJobRunsAtItsTimes(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	timed := spec(1, single(1))
	timed.Repetitions, timed.IntervalMillis = 3, 2000
	timed.FirstRunMillis = w.Clock.Now().Add(time.Second).UnixMilli()
	w.Submit(timed, batch)
	w.Own()
	w.Run(900 * time.Millisecond)
	require.Zero(t, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}))
	w.Run(4500 * time.Millisecond)
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1), Time: 2}))
	w.Run(3 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestRandomFaults drives owners through kills, freezes, lost orders, lost writes
// and crashing workers and asks that every job ends with all promises kept.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w, jobs := randomFaults(seed, pool.Without{})
			requireKept(t, w)
			for n := range jobs {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
			}
		})
	}
}

// TestJudgeCatchesMissingMechanisms takes one mechanism out at a time: among the
// seeds that hold with all of them at least one must break.
func TestJudgeCatchesMissingMechanisms(t *testing.T) {
	cases := map[string]pool.Without{
		"lease wait":     {LeaseWait: true},
		"end rows":       {EndRows: true},
		"head condition": {HeadCondition: true},
	}
	for name, without := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(randomSeeds) {
				if w, _ := randomFaults(seed, without); len(w.Judge.Broken) > 0 {
					t.Logf("seed %d: %s", seed, w.Judge.Broken[0])
					return
				}
			}
			require.Fail(t, "no seed breaks without it")
		})
	}
}

// stopUnderWay kills an owner just after it ordered a stop and lets another take over.
func stopUnderWay(without pool.Without) *simulation.World {
	w := simulation.NewWorld(1, 3)
	w.Without = without
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	long := single(4)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	first := w.Own()
	w.Run(time.Second)
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 2000
	w.PutWorkerRow(leaving)
	w.Run(15 * time.Millisecond)
	first.Process.Kill()
	w.Own()
	w.Run(15 * time.Second)
	return w
}

// TestStopUnderWayAtTakeover: a new owner took a stopping run for one that never
// came (seeds 12, 22 and 24 of the random faults found it).
func TestStopUnderWayAtTakeover(t *testing.T) {
	w := stopUnderWay(pool.Without{})
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.NotEmpty(t, stopUnderWay(pool.Without{StopWait: true}).Judge.Broken)
}

// randomSeeds is how many seeds of random faults are played.
const randomSeeds = 60

// randomFaults plays a world with faults by seed and returns it, settled, with the
// number of its jobs.
func randomFaults(seed uint64, without pool.Without) (*simulation.World, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := simulation.NewWorld(2, 5)
	w.Without = without
	w.Work = func(taskgraph.TaskName) time.Duration { return time.Duration(500+random.IntN(3000)) * time.Millisecond }
	fate := func(probability float64) func() simulation.Fate {
		return func() simulation.Fate {
			if random.Float64() < probability {
				return simulation.Fate(1 + random.IntN(3))
			}
			return simulation.Answered
		}
	}
	w.Store.Lose = fate(0.05)
	for _, worker := range w.Workers {
		worker.LoseOrder = fate(0.05)
	}
	owner := w.Own()
	jobs := 0
	for range 40 {
		for range random.IntN(3) {
			queue := batch
			if random.IntN(3) == 0 {
				queue = urgent
			}
			queue.MaxAttempts = 10
			w.Submit(spec(jobs, single(1+random.IntN(6)), gang(1+random.IntN(3))), queue)
			jobs++
		}
		switch random.IntN(8) {
		case 0:
			owner.Process.Kill()
			w.Run(time.Duration(random.IntN(1500)) * time.Millisecond)
			owner = w.Own()
		case 1:
			owner.Process.Freeze(w.Clock.Now().Add(time.Duration(random.IntN(5000)) * time.Millisecond))
			w.Run(time.Duration(random.IntN(1000)) * time.Millisecond)
			owner = w.Own()
		case 2:
			cut := w.Workers[random.IntN(len(w.Workers))]
			cut.Cut = !cut.Cut
		case 3:
			w.Store.AwayAll = !w.Store.AwayAll
		case 4:
			part := pool.ProgressParts(simulation.PoolName)[random.IntN(3)]
			w.Store.Away[part] = !w.Store.Away[part]
		}
		if owner.Ended != "" {
			owner = w.Own()
		}
		w.Run(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	w.Store.AwayAll = false
	clear(w.Store.Away)
	w.Store.Lose = nil
	for _, worker := range w.Workers {
		worker.Cut, worker.LoseOrder = false, nil
	}
	w.Own()
	w.Run(120 * time.Second)
	return w, jobs
}

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

// TestLastingTasksAreStartedAgain: they end only by a cancellation.
func TestLastingTasksAreStartedAgain(t *testing.T) {
	w := simulation.NewWorld(1, 3)
	lasting := single(3)
	lasting.LongRunning, lasting.AllowedMisses = true, 1
	w.Submit(spec(1, lasting), batch)
	w.Own()
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
	require.Greater(t, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}), 2)
	w.Cancel(jobID(1))
	w.Run(3 * time.Second)
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
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

// TestRefusedRetryDoesNotHideALateStart: a start got no answer, the next try was refused,
// and the task was started elsewhere while the first start was still to be carried out.
func TestRefusedRetryDoesNotHideALateStart(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.OrderDelay = 1500 * time.Millisecond
	w.Work = func(taskgraph.TaskName) time.Duration { return 4 * time.Second }
	orders := 0
	for _, worker := range w.Workers {
		worker.LoseOrder = func() simulation.Fate {
			if orders++; orders == 1 {
				worker.Unwell = true
				w.Clock.After(1200*time.Millisecond, func() { worker.Unwell = false })
				return simulation.DoneLate
			}
			return simulation.Answered
		}
	}
	w.Submit(spec(1, single(1)), batch)
	w.Own()
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestUnreachableWorkerIsLeftAtOnce: starts on a worker that refused connections were
// sent again without a pause for 1.2 s, thousands of times.
func TestUnreachableWorkerIsLeftAtOnce(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Own()
	w.Run(time.Second)
	w.Workers[0].Unreachable = true
	w.Submit(spec(1, single(12)), batch)
	w.Run(200 * time.Millisecond)
	require.Equal(t, 8, w.Workers[1].Runs())
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestRowsThatLapsedWithTheStoreAwayAreWaitedFor: workers' rows run out while the store
// is away and are written again soon after it is back; jobs that came then waited.
func TestRowsThatLapsedWithTheStoreAwayAreWaitedFor(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Own()
	w.Run(time.Second)
	w.Store.AwayAll = true
	w.Run(4 * time.Second)
	for _, worker := range w.Workers {
		w.RemoveWorkerRow(worker)
	}
	w.Store.AwayAll = false
	w.Run(1500 * time.Millisecond)
	w.Submit(spec(1, single(1)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 1, w.Workers[0].Runs()+w.Workers[1].Runs(), "started on a worker whose row is not back yet")
	w.PutWorkerRow(w.Workers[0])
	w.Run(2 * time.Second)
	w.Submit(spec(2, single(12)), batch)
	w.Run(300 * time.Millisecond)
	require.Equal(t, 8, w.Workers[0].Runs())
	require.LessOrEqual(t, w.Workers[1].Runs(), 1, "a row that stays away is that of a worker that is gone")
	w.Run(10 * time.Second)
	requireKept(t, w)
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
