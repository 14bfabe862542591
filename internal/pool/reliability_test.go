package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestFailingWorkersBurnNoAttemptsOfGangs: some workers begin to fail whatever they
// start while older runs on them go on and end well. Gangs lost all their attempts to
// them (worker "errors" days of the grown courier deployment: 8 to 11 jobs a day).
func TestFailingWorkersBurnNoAttemptsOfGangs(t *testing.T) {
	w := simulation.NewWorld(4, 10)
	w.Work = func(name taskgraph.TaskName) time.Duration {
		if name.Job == jobID(0) {
			return 20 * time.Second
		}
		return 2 * time.Second
	}
	long := single(80)
	long.EstimateMillis = 20000
	w.Submit(spec(0, long), batch)
	w.Own()
	w.Run(time.Second)
	for i, worker := range w.Workers {
		worker.Failing = i%8 == 0
	}
	const gangs = 30
	narrow := single(6)
	narrow.Gang, narrow.CPU, narrow.GPUs, narrow.MaxPerWorker = true, 24000, 2, 1
	for n := 1; n <= gangs; n++ {
		w.Submit(spec(n, narrow), urgent)
		w.Run(300 * time.Millisecond)
	}
	w.Run(30 * time.Second)
	requireKept(t, w)
	for n := 1; n <= gangs; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "gang %d", n)
	}
}

// TestSoundWorkersAreTrustedAgain: a worker whose failure was the job's own fault gets
// gangs again once something else has run there.
func TestSoundWorkersAreTrustedAgain(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	w.Workers[0].Failing = true
	w.Submit(spec(1, single(1)), batch)
	w.Own()
	w.Run(500 * time.Millisecond)
	w.Workers[0].Failing = false
	w.Submit(spec(2, single(12)), batch)
	w.Run(3 * time.Second)
	w.Submit(spec(3, gang(2)), urgent)
	w.Run(1500 * time.Millisecond)
	requireKept(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(3)))
}

// TestGangsStayOnTheirRackBesideAFailedWorker: a worker that failed once made its rack
// look too small for a gang, which then went over several racks and took three times as
// long.
func TestGangsStayOnTheirRackBesideAFailedWorker(t *testing.T) {
	w := simulation.NewWorld(2, 3)
	for i, worker := range w.Workers {
		worker.Failing = i%3 == 0
	}
	spread := single(6)
	spread.MaxPerWorker = 1
	w.Work = func(taskgraph.TaskName) time.Duration { return 350 * time.Millisecond }
	w.Submit(spec(1, spread), batch)
	w.Own()
	w.Run(time.Second)
	w.Work = func(taskgraph.TaskName) time.Duration { return time.Second }
	for _, worker := range w.Workers {
		worker.Failing = false
	}
	together := gang(3)
	together.SameRack = true
	w.Submit(spec(2, together), urgent)
	w.Run(300 * time.Millisecond)
	racks := map[string]int{}
	for _, worker := range w.Workers {
		racks[worker.Rack()] += worker.RunsOf(jobID(2))
	}
	require.Len(t, racks, 2)
	for rack, runs := range racks {
		require.Contains(t, []int{0, 3}, runs, rack)
	}
	w.Run(10 * time.Second)
	requireKept(t, w)
}
