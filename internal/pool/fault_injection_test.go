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

// TestRandomFaults injects kills and freezes of owners, lost commands and writes, network
// partitions and store outages. All invariants must hold and all jobs must complete.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w, jobs := randomFaults(seed, pool.DisabledSafeguards{}, fastStore)
			requireInvariants(t, w)
			for n := range jobs {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
			}
		})
	}
}

// TestRandomFaultsOfASlowStore adds slow phases to the faults, in which several batches are in flight.
func TestRandomFaultsOfASlowStore(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w, jobs := randomFaults(seed, pool.DisabledSafeguards{}, slowStore)
			requireInvariants(t, w)
			for n := range jobs {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
			}
		})
	}
}

// TestCheckerDetectsDisabledSafeguards disables one safeguard at a time. At least one seed that
// passes with all safeguards must then violate an invariant.
func TestCheckerDetectsDisabledSafeguards(t *testing.T) {
	cases := map[string]struct {
		disabled pool.DisabledSafeguards
		store    storeSpeed
	}{
		"lease wait":           {pool.DisabledSafeguards{LeaseExpiryWait: true}, fastStore},
		"end rows":             {pool.DisabledSafeguards{PersistEndsBeforeAcknowledging: true}, fastStore},
		"head condition":       {pool.DisabledSafeguards{HeadCondition: true}, fastStore},
		"end rows, slow":       {pool.DisabledSafeguards{PersistEndsBeforeAcknowledging: true}, slowStore},
		"head condition, slow": {pool.DisabledSafeguards{HeadCondition: true}, slowStore},
		"rows before starts":   {pool.DisabledSafeguards{RowsBeforeCallbacks: true}, slowStore},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(faultSeeds) {
				if w, _ := randomFaults(seed, c.disabled, c.store); len(w.Checker.Violations) > 0 {
					t.Logf("seed %d: %s", seed, w.Checker.Violations[0])
					return
				}
			}
			require.Fail(t, "no seed violates an invariant without the safeguard")
		})
	}
}

// takeoverDuringStop kills an owner just after the owner has sent a stop, and starts a new owner.
func takeoverDuringStop(disabled pool.DisabledSafeguards) *simulation.Cluster {
	w := simulation.NewCluster(1, 3)
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 6 * time.Second }
	long := singleTaskStep(4)
	long.EstimateMillis = 6000
	w.Submit(spec(1, long), batch)
	first := w.AcquirePool()
	w.Run(time.Second)
	leaving := w.Workers[0]
	leaving.Draining, leaving.RemainingMillis = true, 2000
	w.PutWorkerRow(leaving)
	w.Run(15 * time.Millisecond)
	first.Process.Kill()
	w.AcquirePool()
	w.Run(15 * time.Second)
	return w
}

// TestTakeoverDuringStop guards against a new owner that considers a run that is being stopped as
// never started.
func TestTakeoverDuringStop(t *testing.T) {
	requireInvariantsNeed(t, takeoverDuringStop, pool.DisabledSafeguards{StopConfirmation: true})
}

// changeWorkerSpeed stalls, resumes or changes the speed of a random worker, or does nothing.
func changeWorkerSpeed(w *simulation.Cluster, random *rand.Rand) {
	worker := w.Workers[random.IntN(len(w.Workers))]
	switch random.IntN(8) {
	case 0:
		worker.Stalled = !worker.Stalled
	case 1:
		worker.SlowdownFactor = 7
	case 2:
		worker.SlowdownFactor = 1
	}
}

// faultSeeds is the number of seeds for the random fault tests.
const faultSeeds = 100

// storeSpeed says whether the store has slow phases among the random faults.
type storeSpeed bool

const (
	fastStore storeSpeed = false
	slowStore storeSpeed = true
)

// changeStoreSpeed makes the store slow or fast at random.
func changeStoreSpeed(w *simulation.Cluster, random *rand.Rand) {
	switch random.IntN(4) {
	case 0:
		w.Store.Latency = time.Duration(150+random.IntN(300)) * time.Millisecond
		w.Store.TransactionTime = w.Store.Latency
	case 1:
		w.Store.Latency, w.Store.TransactionTime = usualLatency, 0
	}
}

// usualLatency is the latency of the simulated store outside of slow phases.
const usualLatency = 5 * time.Millisecond

// randomFaults simulates random faults drawn from the seed, clears them and lets the jobs finish.
// It returns the simulation and its number of jobs.
func randomFaults(seed uint64, disabled pool.DisabledSafeguards, store storeSpeed, options ...clusterOption) (*simulation.Cluster, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := simulation.NewCluster(2, 5)
	w.DisabledSafeguards = disabled
	for _, configure := range options {
		configure(w)
	}
	w.Work = func(taskgraph.TaskName) time.Duration { return time.Duration(500+random.IntN(3000)) * time.Millisecond }
	outcomeWith := func(probability float64) func() simulation.Outcome {
		return func() simulation.Outcome {
			if random.Float64() < probability {
				return simulation.Outcome(1 + random.IntN(3))
			}
			return simulation.Acknowledged
		}
	}
	w.Store.WriteOutcome = outcomeWith(0.05)
	w.Store.KnowledgeWriteOutcome = randomFateFrom(rand.New(rand.NewPCG(seed, 64)), 0.05)
	for _, worker := range w.Workers {
		worker.OrderOutcome = outcomeWith(0.05)
	}
	// Worker speeds, evacuations and the store's speed have their own random generators, so that they do not change
	// the other faults of a seed.
	speedRandom := rand.New(rand.NewPCG(seed, 2))
	evacuationRandom := rand.New(rand.NewPCG(seed, 8))
	storeRandom := rand.New(rand.NewPCG(seed, 12))
	owner := w.AcquirePool()
	jobs := 0
	for range 40 {
		for range random.IntN(3) {
			queue := batch
			if random.IntN(3) == 0 {
				queue = urgent
			}
			queue.MaxAttempts = 10
			w.Submit(spec(jobs, singleTaskStep(1+random.IntN(6)), gangStep(1+random.IntN(3))), queue)
			jobs++
		}
		switch random.IntN(8) {
		case 0:
			owner.Process.Kill()
			w.Run(time.Duration(random.IntN(1500)) * time.Millisecond)
			owner = w.AcquirePool()
		case 1:
			owner.Process.Freeze(w.Clock.Now().Add(time.Duration(random.IntN(5000)) * time.Millisecond))
			w.Run(time.Duration(random.IntN(1000)) * time.Millisecond)
			owner = w.AcquirePool()
		case 2:
			cut := w.Workers[random.IntN(len(w.Workers))]
			cut.Partitioned = !cut.Partitioned
		case 3:
			w.Store.Unavailable = !w.Store.Unavailable
		case 4:
			part := pool.ProgressPartitions(simulation.PoolName)[random.IntN(3)]
			w.Store.UnavailablePartitions[part] = !w.Store.UnavailablePartitions[part]
		case 5:
			part := pool.ProgressPartitions(simulation.PoolName)[random.IntN(3)]
			w.Store.UnresponsivePartitions[part] = !w.Store.UnresponsivePartitions[part]
		case 6:
			owner.Process.Post(owner.Release)
			w.Run(time.Duration(random.IntN(300)) * time.Millisecond)
			owner = w.AcquirePool()
		}
		changeWorkerSpeed(w, speedRandom)
		changeEvacuationsAtRandom(w, evacuationRandom)
		if store == slowStore {
			changeStoreSpeed(w, storeRandom)
		}
		if owner.Ended != "" {
			owner = w.AcquirePool()
		}
		w.Run(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	w.Store.Unavailable = false
	w.Store.Latency, w.Store.TransactionTime = usualLatency, 0
	clear(w.Store.UnavailablePartitions)
	clear(w.Store.UnresponsivePartitions)
	endAllEvacuations(w)
	w.Store.WriteOutcome, w.Store.KnowledgeWriteOutcome = nil, nil
	for _, worker := range w.Workers {
		worker.Partitioned, worker.OrderOutcome = false, nil
		worker.Stalled, worker.SlowdownFactor = false, 1
	}
	w.AcquirePool()
	w.Run(120 * time.Second)
	return w, jobs
}
