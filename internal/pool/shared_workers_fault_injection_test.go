package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// One in minCrashingEvery to maxCrashingEvery jobs has a task that crashes workers, drawn by seed.
	minCrashingEvery = 6
	maxCrashingEvery = 15
	// The load on shared workers has sharedRounds rounds of up to sharedRoundMillis. Faults are
	// injected in one of four rounds in every other seed, and in one of sixteen in the rest, where few
	// workers are lost by chance.
	sharedRounds      = 160
	sharedRoundMillis = 300
)

// TestRandomFaultsOfSharedWorkers is like TestRandomFaultsOfWorkers, with gangs and single tasks that
// share workers. It guards against healthy jobs that fail because their tasks, or several members of
// a gang, run beside tasks that crash the workers (soak seed 920100).
func TestRandomFaultsOfSharedWorkers(t *testing.T) {
	totals := playWorkerSeeds(t, func(seed uint64) *workerFaults { return runSharedWorkerFaults(seed, pool.DisabledSafeguards{}) })
	require.Zero(t, totals.failed, "of %d regular jobs failed for crashing workers", totals.regular)
}

// keptSharedWorkerSeeds are seeds in which a healthy job failed, in the first line because each of its
// losses was beside another task that crashed the worker.
var keptSharedWorkerSeeds = []uint64{
	20312, 20323, 20354, 20388, 20438, 20579, 20607, 20616, 20624, 20643, 20708, 20722, 20838, 20981,
	20335, 20465, // Four losses, three of which proved little.
}

// TestRandomFaultsOfSharedWorkersWithKeptSeeds plays the seeds in which a healthy job has failed.
func TestRandomFaultsOfSharedWorkersWithKeptSeeds(t *testing.T) {
	for _, seed := range keptSharedWorkerSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := runSharedWorkerFaults(seed, pool.DisabledSafeguards{})
			requireInvariants(t, f.Cluster)
			_, failed := f.countRegularJobs(t)
			require.Zero(t, failed, "regular jobs failed")
		})
	}
}

// runSharedWorkerFaults simulates random faults drawn from the seed under a load on shared workers.
func runSharedWorkerFaults(seed uint64, disabled pool.DisabledSafeguards, options ...clusterOption) *workerFaults {
	f := newWorkerFaults(seed, disabled, false, 0, options...)
	f.Work = f.Estimate
	crash := simulation.Crash{From: simulation.CrashTrigger(f.random.IntN(2)), After: 10 * time.Millisecond}
	if f.random.IntN(3) == 0 {
		crash.After = f.between(0, 600)
	}
	every := minCrashingEvery + f.random.IntN(maxCrashingEvery-minCrashingEvery+1)
	f.submit = func() { f.submitSharing(every, crash) }
	roundsPerFault := 4
	if seed%2 == 0 {
		roundsPerFault = 16
	}
	f.play(sharedRounds, roundsPerFault, sharedRoundMillis)
	return f
}

// submitSharing submits a job whose members and tasks share workers with others. One of every so many
// jobs has a task that crashes workers, if the task would run long enough; some others are cancelled.
func (f *workerFaults) submitSharing(every int, crash simulation.Crash) {
	queue := batch
	queue.MaxAttempts = 40
	steps := []taskgraph.Step{f.sharingStep()}
	if f.random.IntN(3) == 0 {
		second := f.sharingStep()
		second.After = []int{0}
		steps = append(steps, second)
	}
	number := f.jobs
	f.jobs++
	switch {
	case number%every == every-1 && 2*crash.After < steps[0].Estimate():
		name := taskOf(number, 0, 0)
		f.Crashing[name] = crash
		f.crashingTasks = append(f.crashingTasks, name)
	case f.random.IntN(10) == 0:
		f.cancelled[number] = true
		f.Clock.After(f.between(0, 2000), func() { f.Cancel(jobID(number)) })
	}
	f.Submit(spec(number, steps...), queue)
}

// sharingStep returns a step of up to six tasks of one to four accelerators each.
func (f *workerFaults) sharingStep() taskgraph.Step {
	return taskgraph.Step{
		Count:          1 + f.random.IntN(6),
		Resources:      taskgraph.Resources{CPU: 2000, MemoryMB: 4000, GPUs: 1 << f.random.IntN(3)},
		EstimateMillis: f.between(200, 1500).Milliseconds(), Gang: f.random.IntN(10) < 3,
	}
}
