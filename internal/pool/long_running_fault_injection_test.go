package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Seeds of the random faults beside long-running tasks.
var (
	longRunningSeeds     = flag.Int("long-running-seeds", 60, "number of seeds of the random faults beside long-running tasks")
	firstLongRunningSeed = flag.Int("first-long-running-seed", 0, "first seed of the random faults beside long-running tasks")
)

const (
	// A history has calmPhases phases of faultRounds rounds of up to faultRoundMillis, each of which ends
	// with a calm phase.
	calmPhases       = 3
	faultRounds      = 10
	faultRoundMillis = 1500
	// calmBeforeCheck is the time without faults and submissions after which no work may wait that has
	// somewhere to go.
	calmBeforeCheck = 14 * time.Second
	// labeledWorkers is the number of workers with specialLabel.
	labeledWorkers = 3
	// There are up to maxLongRunningJobs long-running jobs of up to maxLongRunningTasks tasks.
	maxLongRunningJobs  = 4
	maxLongRunningTasks = 12
)

// longRunningFaults is a simulation of random faults beside long-running tasks.
type longRunningFaults struct {
	*workerFaults
	// longRunning holds the long-running jobs, and gangs those of them that are gangs.
	longRunning, gangs map[int]bool
}

// TestRandomFaultsBesideLongRunningTasks requires that no work waits that has somewhere to go, once faults are
// over, and that long-running jobs go on. What long-running tasks hold never becomes free, so work that waits
// for it would wait for good.
func TestRandomFaultsBesideLongRunningTasks(t *testing.T) {
	for seed := *firstLongRunningSeed; seed < *firstLongRunningSeed+*longRunningSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := playLongRunningFaults(uint64(seed))
			requireInvariants(t, f.Cluster)
			f.requireLongRunningJobsGoOn(t)
		})
	}
}

// keptLongRunningSeeds are seeds in which work has waited that had somewhere to go.
var keptLongRunningSeeds = []uint64{
	21, 36, 59, // Suspects waited for workers that other suspects kept to themselves.
	994, // An urgent unit reserved fast workers in each cycle, and was never placed.
}

// TestRandomFaultsBesideLongRunningTasksOfKeptSeeds plays the seeds in which work has waited.
func TestRandomFaultsBesideLongRunningTasksOfKeptSeeds(t *testing.T) {
	for _, seed := range keptLongRunningSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			requireInvariants(t, playLongRunningFaults(seed).Cluster)
		})
	}
}

func playLongRunningFaults(seed uint64) *longRunningFaults {
	f := &longRunningFaults{workerFaults: newWorkerFaults(seed, pool.DisabledSafeguards{}, false, 0), longRunning: map[int]bool{}, gangs: map[int]bool{}}
	f.Work = f.workOf
	for range labeledWorkers {
		worker := f.Workers[f.random.IntN(len(f.Workers))]
		worker.Labels = append(worker.Labels, specialLabel)
		f.PutWorkerRow(worker)
	}
	f.owner = f.AcquirePool()
	for range 1 + f.random.IntN(maxLongRunningJobs) {
		f.submitLongRunning()
		f.Run(f.between(0, faultRoundMillis))
	}
	for range calmPhases {
		for range faultRounds {
			f.submitShort()
			f.injectFaults()
			f.failRandomWorker()
			f.Run(f.between(0, faultRoundMillis))
		}
		f.clearFaults()
		f.Run(calmBeforeCheck)
		f.CheckIdleWork(f.isGuilty)
	}
	return f
}

// workOf returns days for long-running tasks, and a time that the estimate often misses for others.
func (f *longRunningFaults) workOf(name taskgraph.TaskName) time.Duration {
	for number := range f.longRunning {
		if name.Job == jobID(number) {
			return runForDays(name)
		}
	}
	return f.between(500, 3500)
}

// submitLongRunning submits a long-running job of one step.
func (f *longRunningFaults) submitLongRunning() {
	step := smallLongRunningStep(1 + f.random.IntN(maxLongRunningTasks))
	step.GPUs = f.random.IntN(3)
	step.EstimateMillis = f.between(1000, 900_000).Milliseconds()
	step.MaxPerWorker = f.random.IntN(2)
	step.Gang = f.random.IntN(3) == 0
	step.AllowedMisses = f.random.IntN(2)
	f.placeAtRandom(&step)
	f.longRunning[f.jobs], f.gangs[f.jobs] = true, step.Gang
	f.submitStep(step)
}

// submitShort submits up to two jobs of one step. Some have a task that crashes workers.
func (f *longRunningFaults) submitShort() {
	for range f.random.IntN(3) {
		step := singleTaskStep(1 + f.random.IntN(4))
		step.GPUs = 1 << f.random.IntN(4)
		step.Gang = f.random.IntN(4) == 0
		f.placeAtRandom(&step)
		if f.random.IntN(16) == 0 {
			f.addCrashingTask([]taskgraph.Step{step})
		}
		f.submitStep(step)
	}
}

// placeAtRandom makes some steps require a label or prefer a rack.
func (f *longRunningFaults) placeAtRandom(step *taskgraph.Step) {
	switch f.random.IntN(6) {
	case 0:
		step.RequiredLabel = specialLabel
	case 1:
		step.PreferredRack = fmt.Sprintf("r-%d", f.random.IntN(2))
	case 2:
		step.SameRack = step.Gang
	}
}

func (f *longRunningFaults) submitStep(step taskgraph.Step) {
	queue := []catalog.Queue{urgent, batch}[f.random.IntN(2)]
	queue.MaxAttempts = 40
	f.Submit(spec(f.jobs, step), queue)
	f.jobs++
}

// failRandomWorker lets a worker fail all that it starts for some seconds, now and then.
func (f *longRunningFaults) failRandomWorker() {
	worker := f.Workers[f.random.IntN(len(f.Workers))]
	if f.random.IntN(3) > 0 || worker.Crashed {
		return
	}
	worker.Failing = true
	f.Clock.After(f.between(200, 6500), func() { worker.Failing = false })
}

// isGuilty reports whether a job has a task that crashes workers. Such a job may wait.
func (f *longRunningFaults) isGuilty(job string) bool {
	for _, name := range f.crashingTasks {
		if name.Job == job {
			return true
		}
	}
	return false
}

// requireLongRunningJobsGoOn requires that no long-running job has failed, unless two workers have crashed
// while they ran one of its tasks or its gang. The platform allows to give up such a task.
func (f *longRunningFaults) requireLongRunningJobsGoOn(t *testing.T) {
	t.Helper()
	for number := range f.longRunning {
		if f.StoredState(jobID(number)) == taskgraph.Failed {
			require.GreaterOrEqual(t, f.mostCrashes(number), 2, "job %d is given up after fewer crashes", number)
		}
	}
}

// mostCrashes returns the highest number of workers that crashed while they ran one task of a job, or a gang.
// When a rack fails, the members of a gang end at the first crash, at the same moment as their own workers.
func (f *longRunningFaults) mostCrashes(number int) int {
	most, sum := 0, 0
	for index := range maxLongRunningTasks {
		crashes := f.Checker.Crashes(taskOf(number, 0, index))
		most, sum = max(most, crashes), sum+crashes
	}
	if f.gangs[number] {
		return sum
	}
	return most
}
