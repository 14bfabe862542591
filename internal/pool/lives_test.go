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

// farAhead is where the clock of a next life stands that is far ahead of the former one's.
const farAhead = 7_000_000

// oneWorker returns a world with a single worker, so that everything is placed there, and its
// owner. Tasks take two seconds.
func oneWorker(without pool.Without) (*simulation.World, *simulation.Owner) {
	w := simulation.NewWorld(1, 1)
	w.Without = without
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	owner := w.Own()
	w.Run(100 * time.Millisecond)
	return w, owner
}

// numbersOfFormerLife lets ends be written by a slow store while their worker starts again. Starts
// that the former life left undone reach the next one, where they fail at once, with numbers below
// those of the former life's ends. Answers to holds are lost for a while if holdsLost is true.
func numbersOfFormerLife(without pool.Without, holdsLost bool) *simulation.World {
	w, _ := oneWorker(without)
	w.Submit(spec(1, single(4)), batch)
	w.Run(1990 * time.Millisecond)
	former := w.Workers[0]
	former.LoseOrder = func() simulation.Fate { return simulation.NeverDone }
	once := batch
	once.MaxAttempts = 1
	for n := range 3 {
		w.Submit(spec(10+n, single(1)), once)
	}
	for w.Judge.Decisions["run ended"] == 0 {
		w.Run(time.Millisecond)
	}
	w.Store.Latency, w.Store.FeedsSilent = 200*time.Millisecond, true
	former.Restart(10*time.Millisecond, 0)
	w.Run(11 * time.Millisecond)
	next := w.Workers[1]
	next.Failing, next.LoseOrder = true, nil
	next.LoseAnswer = func() bool { return holdsLost }
	w.Run(2 * time.Second)
	holdsLost = false
	w.Run(4 * time.Second)
	w.Store.Latency, w.Store.FeedsSilent = 0, false
	w.Run(20 * time.Second)
	return w
}

// TestNumbersOfAFormerLifeDoNotReachTheNext: neither when the next life's account comes before the
// ends are written, nor when no account comes at all.
func TestNumbersOfAFormerLifeDoNotReachTheNext(t *testing.T) {
	for name, c := range map[string]struct {
		holdsLost bool
		without   pool.Without
	}{
		"next life known":   {without: pool.Without{Lives: true}},
		"next life unknown": {holdsLost: true, without: pool.Without{FreshAccount: true}},
	} {
		t.Run(name, func(t *testing.T) {
			requireKept(t, numbersOfFormerLife(pool.Without{}, c.holdsLost))
			require.NotEmpty(t, numbersOfFormerLife(c.without, c.holdsLost).Judge.Broken, "without the mechanism")
		})
	}
}

// TestStartsForAFormerLifeAreBarredInTheNext: the second copy of a start was answered, and the
// first one is carried out late, by the next life of the worker.
func TestStartsForAFormerLifeAreBarredInTheNext(t *testing.T) {
	simulate := func(without pool.Without) *simulation.World {
		w := simulation.NewWorld(1, 2)
		w.Without = without
		w.Work = func(taskgraph.TaskName) time.Duration { return 8 * time.Second }
		w.LateOrdersOutliveWorkers = true
		w.Own()
		w.Run(100 * time.Millisecond)
		for _, worker := range w.Workers {
			first := true
			worker.LoseOrder = func() simulation.Fate {
				if first {
					first = false
					return simulation.DoneLate
				}
				return simulation.Answered
			}
		}
		w.Submit(spec(1, single(1)), batch)
		// The late start's deadline lies ahead of the next life's clock.
		w.Run(2500 * time.Millisecond)
		busyWorker(w).Restart(50*time.Millisecond, 0)
		w.Run(40 * time.Second)
		return w
	}
	requireKeptOnlyWith(t, simulate, pool.Without{OpenStarts: true})
}

// leaseInNextLife lets a start that was meant for a former life give a lease of the platform's
// longest, as its deadline lies far ahead on the next life's clock. The worker is cut off right
// after its first account.
func leaseInNextLife(without pool.Without) *simulation.World {
	w := simulation.NewWorld(1, 2)
	w.Bounds.MaxHold = 10 * time.Second
	w.Without = without
	w.Work = func(taskgraph.TaskName) time.Duration { return 9 * time.Second }
	other := w.Workers[1]
	w.Workers[0].Restart(time.Millisecond, farAhead)
	w.Run(2 * time.Millisecond)
	owner := w.Own()
	w.Run(time.Second)
	other.Unwell, w.Store.FeedsSilent = true, true
	w.Workers[2].Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	w.Submit(spec(1, single(1)), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	for w.Judge.Decisions["worker restarted"] == 0 {
		w.Run(time.Millisecond / 2)
	}
	next := w.Workers[3]
	next.Cut, other.Unwell, w.Store.FeedsSilent = true, false, false
	w.Run(40 * time.Second)
	return w
}

func TestLeasesInTheNextLifeAreCountedInFull(t *testing.T) {
	requireKeptOnlyWith(t, leaseInNextLife, pool.Without{NextLifeLease: true})
}

// TestRunInTheNextLifeGoesOnUnderTheNextOwner: the worker starts again while a placement there is
// written, the start goes to the next life, and the owner is killed. The row names the former life.
func TestRunInTheNextLifeGoesOnUnderTheNextOwner(t *testing.T) {
	w, owner := oneWorker(pool.Without{})
	w.Store.FeedsSilent = true
	w.Store.Latency = 400 * time.Millisecond
	w.Submit(spec(1, single(2)), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	w.Run(100 * time.Millisecond)
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 2, w.Workers[1].Runs(), "started in the next life")
	owner.Process.Kill()
	w.Store.FeedsSilent, w.Store.Latency = false, 0
	w.Own()
	w.Run(30 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Judge.Starts(taskOf(1, 0, 0)))
}

// TestRunThatEndedWithItsLifeIsPlacedAgain: by an owner that saw the restart, by one that was
// killed before it, and by one that was killed after it, with and without power lost by all nodes.
func TestRunThatEndedWithItsLifeIsPlacedAgain(t *testing.T) {
	cases := map[string]struct {
		killBefore, killAfter bool
		away                  time.Duration
	}{
		"owner stays":                   {},
		"owner killed before":           {killBefore: true},
		"owner killed after":            {killAfter: true},
		"no owner for seconds, restart": {killBefore: true, away: 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, owner := oneWorker(pool.Without{})
			w.Submit(spec(1, single(4)), batch)
			w.Run(time.Second)
			if c.killBefore {
				owner.Process.Kill()
			}
			w.Workers[0].Restart(200*time.Millisecond, farAhead)
			w.Run(250*time.Millisecond + c.away)
			if c.killAfter {
				owner.Process.Kill()
			}
			if c.killBefore || c.killAfter {
				w.Own()
			}
			w.Run(20 * time.Second)
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.LessOrEqual(t, w.Judge.Starts(taskOf(1, 0, 0)), 2)
		})
	}
}

// TestRestartIsKnownAtOnce: what ran in a life that surely ended needs no wait for a lease.
func TestRestartIsKnownAtOnce(t *testing.T) {
	w, _ := oneWorker(pool.Without{})
	w.Submit(spec(1, single(8)), batch)
	w.Run(time.Second)
	w.Workers[0].Restart(500*time.Millisecond, 0)
	w.Run(1000 * time.Millisecond)
	require.Equal(t, 8, w.Workers[1].Runs(), "0.5 s after the restart")
	require.Equal(t, 8, w.Judge.Counts["attempts/lost"])
	requireKept(t, w)
}

// TestStaleRowOfAFormerLifeChangesNothing: a row of the former life comes after one of the next.
func TestStaleRowOfAFormerLifeChangesNothing(t *testing.T) {
	w, _ := oneWorker(pool.Without{})
	former := w.Workers[0]
	former.Restart(100*time.Millisecond, 0)
	w.Run(time.Second)
	w.Submit(spec(1, single(4)), batch)
	w.Run(500 * time.Millisecond)
	former.Draining = true
	w.PutWorkerRow(former)
	w.Run(500 * time.Millisecond)
	w.Submit(spec(2, single(2)), batch)
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
	require.Equal(t, 1, w.Judge.Starts(taskOf(1, 0, 0)), "nothing was stopped for it")
	require.NotZero(t, w.Judge.Counts["refusals/worker_row_stale"])
}

// TestUntrueRowOfALaterLifeEndsNothing: a row names a life that there is not. What runs goes on;
// nothing new is placed there until a true row is back.
func TestUntrueRowOfALaterLifeEndsNothing(t *testing.T) {
	w, _ := oneWorker(pool.Without{})
	requireRunsGoOnAlone(t, w, func() {
		falseRow := *w.Workers[0]
		falseRow.Born += 3_600_000
		w.PutWorkerRow(&falseRow)
	})
}

// TestWorkersThatDoNotTellTheirBirth: on platforms whose workers do not, an identifier stands for
// one life.
func TestWorkersThatDoNotTellTheirBirth(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	for _, worker := range w.Workers {
		worker.Life = fleet.Life{ID: worker.ID}
		w.PutWorkerRow(worker)
	}
	w.Own()
	w.Submit(spec(1, single(8), gang(2)), batch)
	w.Run(10 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestNextLifeMayBeOfAnotherKind: its capacity, labels, zone and drain are its own, and work that
// asks for what only the former life had goes elsewhere.
func TestNextLifeMayBeOfAnotherKind(t *testing.T) {
	w := simulation.NewWorld(2, 1)
	w.Unguarded = true
	w.Catalog.Pools[0].EnforcesCapacity = false
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	former := w.Workers[0]
	former.Labels = []string{"special", former.Rack()}
	w.PutWorkerRow(former)
	w.Own()
	w.Run(time.Second)
	former.Draining, former.RemainingMillis = true, 8000
	w.PutWorkerRow(former)
	w.Run(200 * time.Millisecond)
	former.Restart(100*time.Millisecond, farAhead)
	w.Run(101 * time.Millisecond)
	next := w.Workers[2]
	require.Equal(t, former.ID, next.ID)
	next.Capacity.GPUs = 3
	next.Labels = []string{"a", "r-7"}
	w.PutWorkerRow(next)
	w.Run(5 * time.Second)
	w.Submit(spec(1, single(11)), batch)
	special := single(1)
	special.RequiredLabel = "special"
	w.Submit(spec(2, special), batch)
	w.Run(time.Second)
	require.Equal(t, 3, next.Runs(), "the next life does not drain and has three accelerators")
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Zero(t, w.Judge.JobStarts(jobID(2)), "nobody has that label any more")
}

// TestRestartsDuringTakeovers: workers start again while no owner lives, twice in a row, while the
// store is silent, and at each moment of a takeover.
func TestRestartsDuringTakeovers(t *testing.T) {
	for _, ahead := range []int64{0, farAhead} {
		for offset := time.Duration(0); offset < 60*time.Millisecond; offset += 3 * time.Millisecond {
			w := simulation.NewWorld(1, 2)
			w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
			owner := w.Own()
			w.Submit(spec(1, single(6), gang(2)), batch)
			w.Run(time.Second + offset)
			owner.Process.Kill()
			w.Workers[0].Restart(20*time.Millisecond, ahead)
			w.Run(30 * time.Millisecond)
			w.Workers[2].Restart(20*time.Millisecond, 0)
			w.Own()
			w.Run(offset)
			w.Workers[1].RestartUnseen(15*time.Millisecond, ahead)
			w.Run(offset)
			w.Store.AwayAll = true
			w.Run(200 * time.Millisecond)
			w.Store.AwayAll = false
			w.Run(40 * time.Second)
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)), "%v", offset)
		}
	}
}

// TestTwoLivesLostAreTwoLosses: a task that crashes its worker, which comes back under its
// identifier, is found out as if each life had a name of its own.
func TestTwoLivesLostAreTwoLosses(t *testing.T) {
	w := simulation.NewWorld(1, 1)
	w.RestartsInPlace = true
	crashing := taskOf(1, 0, 0)
	w.Crashing[crashing] = crashAtOnce
	w.Own()
	w.Run(time.Second)
	w.Submit(spec(1, single(1)), urgent)
	w.Run(30 * time.Second)
	requireGivenUp(t, w, crashing, 2)
}

// TestRecordOfAMachineGoesOn: a worker that fails whatever it starts, and starts again, is still left
// alone.
func TestRecordOfAMachineGoesOn(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Own()
	w.Run(100 * time.Millisecond)
	failing := w.Workers[0]
	failing.Failing = true
	w.Workers[1].Unwell = true
	many := batch
	many.MaxAttempts = 50
	for n := 1; w.Judge.Decisions["worker judged bad"] == 0; n++ {
		w.Submit(spec(n, single(1)), many)
		w.Run(200 * time.Millisecond)
	}
	failing.Restart(50*time.Millisecond, farAhead)
	w.Run(60 * time.Millisecond)
	next := w.Workers[2]
	w.Submit(spec(90, single(1)), many)
	w.Run(time.Second)
	require.Zero(t, next.Runs(), "the penalty outlasts the restart")
	w.Workers[1].Unwell = false
	w.Run(60 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestClockSetBackBetweenLives: the next life's birth is before the former one's. Both its row and its
// accounts seem to be out of date; it runs what is placed there all the same.
func TestClockSetBackBetweenLives(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "busy": true} {
		t.Run(name, func(t *testing.T) {
			w, _ := oneWorker(pool.Without{})
			if busy {
				w.Submit(spec(1, single(2)), batch)
			}
			w.Run(time.Second)
			former := w.Workers[0]
			former.Restart(50*time.Millisecond, 0)
			w.Run(51 * time.Millisecond)
			next := w.Workers[1]
			next.Born = former.Born - 60_000
			w.PutWorkerRow(next)
			w.Run(time.Second)
			w.Submit(spec(2, single(2)), batch)
			for range 14 {
				// A heartbeat.
				w.PutWorkerRow(next)
				w.Run(1500 * time.Millisecond)
			}
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			if busy {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			}
		})
	}
}

// Symptom: one of 4,000 plays of random faults ran a task twice at the same time.
// Sequence: a worker started again under its identifier and its owner did not know. It sent a start, which
// the next life answered; the row named the former life and the start as confirmed. The run was being
// stopped, so that no account named it, when the next owner read the row, found a later life, and took
// the run for lost with the former one.
// Cause: an answer to a start does not say which life it is of, and counted as one of the life that
// was known.
// Settled by: "worker clock jumped" 1 ms after the start, "run lost" with reason "worker restarted", and
// the end of the same run, as stopped, 0.25 s later.

// TestStartAnsweredByALifeThatNobodyKnew is looked for in that life by the next owner too.
func TestStartAnsweredByALifeThatNobodyKnew(t *testing.T) {
	w := worldOfGangs(1, 2)
	w.StopTime, w.Bounds.StopTimeout = 1500*time.Millisecond, 2*time.Second
	answersLost := false
	w.Workers[0].LoseAnswer = func() bool { return answersLost }
	owner := w.Own()
	// The former life's clock is far ahead of that of the next one.
	w.Run(2 * clockJumpSeen)
	w.Store.FeedsSilent = true
	w.Workers[1].CrashAndRestart()
	w.Run(4 * time.Second)
	w.Workers[0].Restart(50*time.Millisecond, 0)
	w.Run(100 * time.Millisecond)
	answersLost = true
	step := gang(2)
	step.GPUs, step.CPU, step.MaxPerWorker = 4, 4000, 1
	w.Submit(spec(1, step), batch)
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	for range 200 {
		if w.Judge.Decisions["stopped"] > 0 {
			break
		}
		w.Run(time.Millisecond)
	}
	require.Positive(t, w.Judge.Decisions["stopped"])
	// The row that tells of confirmed starts is written, and the run is being stopped.
	w.Run(800 * time.Millisecond)
	w.Store.FeedsSilent, answersLost = false, false
	w.Own()
	w.Run(20 * time.Second)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// clockJumpSeen is by how much a clock has to jump to be noticed.
const clockJumpSeen = 10 * time.Second
