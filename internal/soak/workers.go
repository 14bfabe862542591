package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// WorkerFaults are faults of workers that are not part of the plan: tasks that crash their
// workers, random crashes followed by a new instance at the same address, and capacity changes.
type WorkerFaults struct {
	// One in PoisonEvery jobs of each caller has a task that crashes the worker that runs it; 0 means
	// none. Crash is when the worker crashes.
	PoisonEvery int              `json:"poison_every,omitempty"`
	Crash       simulation.Crash `json:"crash"`
	// Unguarded workers accept starts beyond their capacity.
	Unguarded  bool             `json:"unguarded,omitempty"`
	Crashes    []WorkerCrashAt  `json:"crashes,omitempty"`
	Capacities []CapacityChange `json:"capacities,omitempty"`
}

// WorkerCrashAt is a random crash.
type WorkerCrashAt struct {
	At time.Duration `json:"at"`
	// Target is the index of a worker, modulo their number.
	Target int `json:"target"`
}

// CapacityChange changes the number of accelerators of a running worker.
type CapacityChange struct {
	At     time.Duration `json:"at"`
	Target int           `json:"target"`
	GPUs   int           `json:"gpus"`
	// RowAfter is the delay until the row of the worker shows the change.
	RowAfter time.Duration `json:"row_after"`
}

const (
	// One in workerFaultsEvery seeds has worker faults: those that draw workerFaultsDrawn. The
	// seeds of soak/regressions.txt draw another number.
	workerFaultsEvery = 2
	workerFaultsDrawn = 1
	// A caller submits about four jobs a second.
	minPoisonEvery     = 6
	maxPoisonEvery     = 16
	maxCrashes         = 4
	maxCapacityChanges = 12
	maxCrashDelay      = 600 * time.Millisecond
	// maxRowDelay is the maximum RowAfter, because workers write their rows at each heartbeat.
	maxRowDelay = 1500 * time.Millisecond
)

// NewWorkerFaults returns the worker faults of a run. They depend only on the seed and length and
// use a separate random stream, so that they overlap with the faults of the plan.
func NewWorkerFaults(seed uint64, length time.Duration) WorkerFaults {
	random := rand.New(rand.NewPCG(seed, 5))
	if random.IntN(workerFaultsEvery) != workerFaultsDrawn {
		return WorkerFaults{}
	}
	drawn := WorkerFaults{
		PoisonEvery: minPoisonEvery + random.IntN(maxPoisonEvery-minPoisonEvery),
		Crash:       simulation.Crash{From: simulation.CrashTrigger(random.IntN(2)), After: 10 * time.Millisecond},
		Unguarded:   random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		drawn.Crash.After = time.Duration(random.Int64N(int64(maxCrashDelay)))
	}
	for range random.IntN(maxCrashes + 1) {
		drawn.Crashes = append(drawn.Crashes, WorkerCrashAt{
			At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		})
	}
	for range random.IntN(maxCapacityChanges + 1) {
		drawn.Capacities = append(drawn.Capacities, CapacityChange{
			At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
			GPUs: random.IntN(simulation.WorkerCapacity.GPUs + 1), RowAfter: time.Duration(random.Int64N(int64(maxRowDelay))),
		})
	}
	return drawn
}

// poisons reports whether a job has a task that crashes its worker. A task that completes before
// the crash does not.
func (t *WorkerFaults) poisons(caller, serial int, spec *taskgraph.Spec) bool {
	return t.PoisonEvery > 0 && (serial+caller)%t.PoisonEvery == t.PoisonEvery-1 && t.Crash.After < spec.Steps[0].Estimate()
}

// applyWorkerFaults schedules the faults and restores all capacities at the end of the run, so
// that all jobs can complete.
func (r *run) applyWorkerFaults(began time.Time, pending *sync.WaitGroup) {
	cluster := r.platform.Cluster
	for _, crash := range r.workers.Crashes {
		r.scheduleLocked(began.Add(crash.At), pending, func() {
			if worker := cluster.Workers[crash.Target%len(cluster.Workers)]; !worker.Crashed {
				worker.CrashAndRestart()
			}
		})
	}
	for _, change := range r.workers.Capacities {
		r.scheduleLocked(began.Add(change.At), pending, func() {
			worker := cluster.Workers[change.Target%len(cluster.Workers)]
			capacity := simulation.WorkerCapacity
			capacity.GPUs = change.GPUs
			worker.SetCapacity(capacity, change.RowAfter)
		})
	}
	r.scheduleLocked(began.Add(r.options.FaultDuration), pending, func() {
		for _, worker := range cluster.Workers {
			worker.SetCapacity(simulation.WorkerCapacity, 0)
		}
	})
}

// scheduleLocked runs fn at the given time with the platform locked.
func (r *run) scheduleLocked(when time.Time, pending *sync.WaitGroup, fn func()) {
	pending.Go(func() {
		time.Sleep(time.Until(when))
		r.platform.WithLock(fn)
	})
}
