package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

func gpus(n int) taskgraph.Resources { return taskgraph.Resources{GPUs: n} }

// newTestWorkers returns usable workers with the given numbers of free GPUs, two workers per rack.
func newTestWorkers(free ...int) ([]Worker, *Racks) {
	workers := make([]Worker, len(free))
	for i, n := range free {
		workers[i] = Worker{Rack: string(rune('a' + i/2)), Capacity: gpus(8), Free: gpus(n), Usable: true}
	}
	racks := NewRacks(workers)
	UpdateRackFree(workers, racks)
	return workers, racks
}

func TestFitPrefersFullestRack(t *testing.T) {
	workers, racks := newTestWorkers(8, 8, 8, 2)
	require.Equal(t, []int{3, 3}, Fit(workers, racks.All, &Request{Resources: gpus(1), Count: 2}))
	require.Equal(t, []int{2, 0, 1}, Fit(workers, racks.All, &Request{Resources: gpus(8), Count: 3}))
	require.Nil(t, Fit(workers, racks.All, &Request{Resources: gpus(8), Count: 4}))
}

func TestFitRespectsLimits(t *testing.T) {
	workers, racks := newTestWorkers(8, 8)
	workers[0].Usable = false
	require.Equal(t, []int{1}, Fit(workers, racks.All, &Request{Resources: gpus(1), Count: 1}))
	present := func(int) int { return 1 }
	require.Nil(t, Fit(workers, racks.All, &Request{Resources: gpus(1), Count: 2, MaxPerWorker: 2, Present: present}))
}

func TestEarliestFitUsesEarliestCompletion(t *testing.T) {
	workers, racks := newTestWorkers(0, 0)
	units := []Unit{
		{Workers: []int{0}, Resources: gpus(8), Remaining: 3 * time.Second},
		{Workers: []int{1}, Resources: gpus(8), Remaining: time.Second},
	}
	workers[0].Allocations = []Allocation{{Unit: 0, Resources: gpus(8)}}
	workers[1].Allocations = []Allocation{{Unit: 1, Resources: gpus(8)}}
	future := EarliestFit(workers, racks.All, units, &Request{Resources: gpus(4), Count: 1}, time.Hour)
	require.Equal(t, []int{1}, future.Workers)
	require.Equal(t, time.Second, future.Wait)
	require.Equal(t, gpus(4), future.Unreserved[1])
	require.Nil(t, EarliestFit(workers, racks.All, units, &Request{Resources: gpus(9), Count: 1}, time.Hour))
}

func TestPreemptChoosesLowestCost(t *testing.T) {
	workers, racks := newTestWorkers(0, 0)
	units := []Unit{
		{Workers: []int{0}, Resources: gpus(8), PreemptionCost: 50, Priority: 2},
		{Workers: []int{1}, Resources: gpus(8), PreemptionCost: 10, Priority: 2},
	}
	workers[0].Allocations = []Allocation{{Unit: 0, Resources: gpus(8)}}
	workers[1].Allocations = []Allocation{{Unit: 1, Resources: gpus(8)}}
	places, victims, cost := Preempt(workers, racks.All, units, &Request{Resources: gpus(8), Count: 1, Priority: 1})
	require.Equal(t, []int{1}, places)
	require.Equal(t, []int{1}, victims)
	require.InDelta(t, 10, cost, 0)
	places, _, _ = Preempt(workers, racks.All, units, &Request{Resources: gpus(8), Count: 1, Priority: 2})
	require.Nil(t, places, "units of equal priority must not preempt each other")
}

// TestFitMatchesTotalCapacity compares the result of Fit with the summed capacity of the workers.
func TestFitMatchesTotalCapacity(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		free := make([]int, 6)
		for i := range free {
			free[i] = random.IntN(9)
		}
		workers, racks := newTestWorkers(free...)
		request := &Request{Resources: gpus(1 + random.IntN(4)), Count: 1 + random.IntN(8)}
		total := 0
		for _, n := range free {
			total += n / request.Resources.GPUs
		}
		places := Fit(workers, racks.All, request)
		require.Equal(t, total >= request.Count, places != nil, "seed %d", seed)
		Reserve(workers, places, request.Resources)
		for i := range workers {
			require.GreaterOrEqual(t, workers[i].Free.GPUs, 0, "seed %d", seed)
		}
	}
}

// TestRequestsDoNotWaitForIndefiniteUnits guards against a reservation of workers that long-running units
// never leave.
func TestRequestsDoNotWaitForIndefiniteUnits(t *testing.T) {
	workers, racks := newTestWorkers(6, 0)
	workers[0].Indefinite = gpus(2)
	units := []Unit{
		{Workers: []int{0}, Resources: gpus(2), Remaining: NeverEnds, PreemptionCost: -1},
		{Workers: []int{1}, Resources: gpus(8), Remaining: time.Second},
	}
	workers[0].Allocations = []Allocation{{Unit: 0, Resources: gpus(2)}}
	workers[1].Allocations = []Allocation{{Unit: 1, Resources: gpus(8)}}
	const unlimited = time.Duration(math.MaxInt64)
	require.Nil(t, EarliestFit(workers, racks.All, units, &Request{Resources: gpus(8), Count: 2}, unlimited))
	require.False(t, FitsEventually(workers, racks.All, &Request{Resources: gpus(8), Count: 2}))
	require.True(t, FitsEventually(workers, racks.All, &Request{Resources: gpus(2), Count: 7}))
	future := EarliestFit(workers, racks.All, units, &Request{Resources: gpus(8), Count: 1}, unlimited)
	require.Equal(t, []int{1}, future.Workers)
}
