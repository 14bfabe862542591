package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// WorkerFaults is what befalls workers in a run beside the faults of its plan: tasks that
// crash them, crashes by chance after which another instance comes back at the same address,
// and capacities that change.
type WorkerFaults struct {
	// PoisonEvery is one in how many jobs of a caller has a task that crashes workers; 0 is
	// none. Crash is how it does so.
	PoisonEvery int              `json:"poison_every,omitempty"`
	Crash       simulation.Crash `json:"crash"`
	// Unguarded workers start whatever they are told.
	Unguarded  bool             `json:"unguarded,omitempty"`
	Crashes    []WorkerCrashAt  `json:"crashes,omitempty"`
	Capacities []CapacityChange `json:"capacities,omitempty"`
}

// WorkerCrashAt is a crash by chance.
type WorkerCrashAt struct {
	At time.Duration `json:"at"`
	// Target numbers a worker; it is taken modulo their count.
	Target int `json:"target"`
}

// CapacityChange changes a worker's accelerators while it runs.
type CapacityChange struct {
	At     time.Duration `json:"at"`
	Target int           `json:"target"`
	GPUs   int           `json:"gpus"`
	// RowAfter is how much later the worker's row tells of it.
	RowAfter time.Duration `json:"row_after"`
}

const (
	// workerFaultsEvery is one in how many seeds has them, and workerTroublesDrawn the draw
	// that gives a seed some: one that leaves the seeds of soak/regressions.txt without.
	workerFaultsEvery = 2
	workerFaultsDrawn = 1
	// A caller hands in some four jobs a second; at most one in mostPoison crashes workers.
	leastPoison    = 6
	mostPoison     = 16
	mostCrashes    = 4
	mostCapacities = 12
	longestCrash   = 600 * time.Millisecond
	// A worker writes its row each heartbeat.
	latestRow = 1500 * time.Millisecond
)

// NewWorkerFaults draws them: the same for the same seed and length, from numbers of their
// own, so that they overlap with the plan's faults.
func NewWorkerFaults(seed uint64, length time.Duration) WorkerFaults {
	random := rand.New(rand.NewPCG(seed, 5))
	if random.IntN(workerFaultsEvery) != workerFaultsDrawn {
		return WorkerFaults{}
	}
	drawn := WorkerFaults{
		PoisonEvery: leastPoison + random.IntN(mostPoison-leastPoison),
		Crash:       simulation.Crash{From: simulation.CrashPoint(random.IntN(2)), After: 10 * time.Millisecond},
		Unguarded:   random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		drawn.Crash.After = time.Duration(random.Int64N(int64(longestCrash)))
	}
	for range random.IntN(mostCrashes + 1) {
		drawn.Crashes = append(drawn.Crashes, WorkerCrashAt{
			At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		})
	}
	for range random.IntN(mostCapacities + 1) {
		drawn.Capacities = append(drawn.Capacities, CapacityChange{
			At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
			GPUs: random.IntN(simulation.WorkerCapacity.GPUs + 1), RowAfter: time.Duration(random.Int64N(int64(latestRow))),
		})
	}
	return drawn
}

// poisons reports whether a caller's job has a task that crashes workers. One that ends before
// it would crash its worker is none.
func (t *WorkerFaults) poisons(caller, serial int, spec *taskgraph.Spec) bool {
	return t.PoisonEvery > 0 && (serial+caller)%t.PoisonEvery == t.PoisonEvery-1 && t.Crash.After < spec.Steps[0].Estimate()
}

// applyWorkerFaults lets them happen in time. Capacities are whole again at the end of the
// run, so that all jobs can be done.
func (r *run) applyWorkerFaults(began time.Time, ends *sync.WaitGroup) {
	world := r.platform.World
	for _, crash := range r.workers.Crashes {
		r.scheduleLocked(began.Add(crash.At), ends, func() {
			if worker := world.Workers[crash.Target%len(world.Workers)]; !worker.Dead {
				worker.CrashAndRestart()
			}
		})
	}
	for _, change := range r.workers.Capacities {
		r.scheduleLocked(began.Add(change.At), ends, func() {
			worker := world.Workers[change.Target%len(world.Workers)]
			capacity := simulation.WorkerCapacity
			capacity.GPUs = change.GPUs
			worker.SetCapacity(capacity, change.RowAfter)
		})
	}
	r.scheduleLocked(began.Add(r.options.Length), ends, func() {
		for _, worker := range world.Workers {
			worker.SetCapacity(simulation.WorkerCapacity, 0)
		}
	})
}

// scheduleLocked runs fn scheduleLocked a time while nothing else happens on the platform.
func (r *run) scheduleLocked(when time.Time, ends *sync.WaitGroup, fn func()) {
	ends.Go(func() {
		time.Sleep(time.Until(when))
		r.platform.Locked(fn)
	})
}
