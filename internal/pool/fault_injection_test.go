package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestRandomFaults injects kills and freezes of owners, lost orders and writes, network
// partitions and store outages. All invariants must hold and all jobs must complete.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w, jobs := randomFaults(seed, pool.DisabledSafeguards{})
			requireInvariants(t, w)
			for n := range jobs {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
			}
		})
	}
}

// TestCheckerDetectsDisabledSafeguards disables one safeguard at a time: at least one of the seeds
// that pass with all of them must then violate an invariant.
func TestCheckerDetectsDisabledSafeguards(t *testing.T) {
	cases := map[string]pool.DisabledSafeguards{
		"lease wait":     {LeaseExpiryWait: true},
		"end rows":       {PersistEndsBeforeAcknowledging: true},
		"head condition": {HeadCondition: true},
	}
	for name, without := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(faultSeeds) {
				if w, _ := randomFaults(seed, without); len(w.Judge.Broken) > 0 {
					t.Logf("seed %d: %s", seed, w.Judge.Broken[0])
					return
				}
			}
			require.Fail(t, "no seed violates an invariant without the safeguard")
		})
	}
}

// takeoverDuringStop kills an owner just after it ordered a stop, and starts another.
func takeoverDuringStop(without pool.DisabledSafeguards) *simulation.World {
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

// TestTakeoverDuringStop: a new owner must not take a run that is being stopped for one that
// was never started.
func TestTakeoverDuringStop(t *testing.T) {
	requireInvariantsNeed(t, takeoverDuringStop, pool.DisabledSafeguards{StopConfirmation: true})
}

// changeWorkerSpeed stalls, resumes or changes the speed of a random worker, or does nothing.
func changeWorkerSpeed(w *simulation.World, random *rand.Rand) {
	worker := w.Workers[random.IntN(len(w.Workers))]
	switch random.IntN(8) {
	case 0:
		worker.Standing = !worker.Standing
	case 1:
		worker.Slowness = 7
	case 2:
		worker.Slowness = 1
	}
}

// faultSeeds is the number of seeds for the random fault tests.
const faultSeeds = 100

// randomFaults simulates random faults drawn from the seed, clears them and lets the jobs finish.
// It returns the simulation and its number of jobs.
func randomFaults(seed uint64, without pool.DisabledSafeguards) (*simulation.World, int) {
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
	// Worker speeds and evacuations have generators of their own, so that they do not change the
	// other faults of a seed.
	paces := rand.New(rand.NewPCG(seed, 2))
	zones := rand.New(rand.NewPCG(seed, 8))
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
			part := pool.ProgressPartitions(simulation.PoolName)[random.IntN(3)]
			w.Store.Away[part] = !w.Store.Away[part]
		case 5:
			part := pool.ProgressPartitions(simulation.PoolName)[random.IntN(3)]
			w.Store.Silent[part] = !w.Store.Silent[part]
		case 6:
			owner.Process.Post(owner.Release)
			w.Run(time.Duration(random.IntN(300)) * time.Millisecond)
			owner = w.Own()
		}
		changeWorkerSpeed(w, paces)
		changeEvacuationsAtRandom(w, zones)
		if owner.Ended != "" {
			owner = w.Own()
		}
		w.Run(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	w.Store.AwayAll = false
	clear(w.Store.Away)
	clear(w.Store.Silent)
	endAllEvacuations(w)
	w.Store.Lose = nil
	for _, worker := range w.Workers {
		worker.Cut, worker.LoseOrder = false, nil
		worker.Standing, worker.Slowness = false, 1
	}
	w.Own()
	w.Run(120 * time.Second)
	return w, jobs
}
