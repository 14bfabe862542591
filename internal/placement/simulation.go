package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// simulation evaluates which tasks of a request would fit on a group of workers if some units were
// evicted. An eviction updates only the workers of the evicted unit. The simulation modifies Free
// of the caller's workers, and close restores Free.
type simulation struct {
	workers []Worker
	indexes []int
	units   []Unit
	request *Request
	// totalCapacity is the sum of taskCapacities over the simulated workers.
	totalCapacity int
	*simulationBuffers
}

// simulationBuffers holds the per-worker and per-unit state of a simulation. The buffers are reused
// because a scheduling cycle runs many simulations.
type simulationBuffers struct {
	// taskCapacities holds the number of tasks of the request that fit on each worker.
	taskCapacities []int
	// simulated marks the workers in the simulated group.
	simulated []bool
	// evicted marks the units whose resources are released.
	evicted []bool
	// seen marks the units that rankUnits has already added to order.
	seen []bool
	// order is the result of rankUnits.
	order []rankedUnit
}

// rankedUnit is a unit index and its sort key.
type rankedUnit struct {
	unit int
	rank float64
}

var bufferPool = sync.Pool{New: func() any { return &simulationBuffers{} }}

// newSimulation starts a simulation. The caller must call close.
func newSimulation(workers []Worker, indexes []int, units []Unit, request *Request) *simulation {
	buffers, _ := bufferPool.Get().(*simulationBuffers)
	s := &simulation{workers: workers, indexes: indexes, units: units, request: request, simulationBuffers: buffers}
	s.taskCapacities = resized(s.taskCapacities, len(workers))
	s.simulated = resized(s.simulated, len(workers))
	s.evicted = resized(s.evicted, len(units))
	s.seen = resized(s.seen, len(units))
	for _, i := range indexes {
		s.simulated[i] = true
		s.taskCapacities[i] = 0
		s.updateTaskCapacity(i)
	}
	return s
}

// resized returns a slice of the given length, reusing buffer if it is large enough. Reused
// elements may hold values of an earlier simulation.
func resized[T any](buffer []T, length int) []T {
	if cap(buffer) < length {
		return make([]T, length)
	}
	return buffer[:length]
}

// close restores the evicted units and returns the buffers to bufferPool.
func (s *simulation) close() {
	for _, ranked := range s.order {
		if s.evicted[ranked.unit] {
			s.restore(ranked.unit)
		}
	}
	for _, i := range s.indexes {
		s.simulated[i] = false
	}
	s.order = s.order[:0]
	bufferPool.Put(s.simulationBuffers)
}

// updateTaskCapacity recomputes how many tasks of the request fit on worker i.
func (s *simulation) updateTaskCapacity(i int) {
	capacity := 0
	if s.request.allowed(s.workers, i) {
		capacity = s.request.taskCapacity(i, s.request.visibleFree(s.workers, i))
	}
	s.totalCapacity += capacity - s.taskCapacities[i]
	s.taskCapacities[i] = capacity
}

// satisfied reports whether all tasks of the request fit.
func (s *simulation) satisfied() bool { return s.totalCapacity >= s.request.Count }

// evict releases the resources that a unit occupies on the simulated workers.
func (s *simulation) evict(unit int) {
	s.evicted[unit] = true
	for _, i := range s.units[unit].Workers {
		if s.simulated[i] {
			s.workers[i].Free = s.workers[i].Free.Plus(s.units[unit].Resources)
			s.updateTaskCapacity(i)
		}
	}
}

// restore reverts evict.
func (s *simulation) restore(unit int) {
	s.evicted[unit] = false
	for _, i := range s.units[unit].Workers {
		if s.simulated[i] {
			s.workers[i].Free = s.workers[i].Free.Minus(s.units[unit].Resources)
			s.updateTaskCapacity(i)
		}
	}
}

// placementAfter returns the placement of the request in the current state of the simulation. The
// placement becomes possible after the given wait.
func (s *simulation) placementAfter(wait time.Duration) *FuturePlacement {
	places := Fit(s.workers, s.indexes, s.request)
	unreserved := make(map[int]taskgraph.Resources, len(places))
	for _, i := range places {
		free, known := unreserved[i]
		if !known {
			free = s.workers[i].Free
		}
		unreserved[i] = free.Minus(s.request.Resources)
	}
	return &FuturePlacement{Workers: places, Wait: wait, Unreserved: unreserved}
}

// rankUnits returns the units that occupy simulated workers. The units are sorted by ascending
// rank, then by index. Units with a negative rank are excluded.
func (s *simulation) rankUnits(rank func(unit int) float64) []rankedUnit {
	for _, i := range s.indexes {
		for _, allocation := range s.workers[i].Allocations {
			if s.seen[allocation.Unit] || len(s.units[allocation.Unit].Workers) == 0 {
				continue
			}
			s.seen[allocation.Unit] = true
			s.order = append(s.order, rankedUnit{unit: allocation.Unit, rank: rank(allocation.Unit)})
		}
	}
	for _, ranked := range s.order {
		s.seen[ranked.unit] = false
	}
	s.order = slices.DeleteFunc(s.order, func(ranked rankedUnit) bool { return ranked.rank < 0 })
	slices.SortFunc(s.order, func(a, b rankedUnit) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return a.unit - b.unit
	})
	return s.order
}

// excludedRank makes rankUnits leave a unit out.
const excludedRank = -1

// preemptible returns the units that the request may preempt, by ascending cost per freed core.
func (s *simulation) preemptible() []rankedUnit {
	return s.rankUnits(func(index int) float64 {
		unit := &s.units[index]
		if !unit.preemptibleBy(s.request) {
			return excludedRank
		}
		usableWorkers := 0
		for _, i := range unit.Workers {
			if s.simulated[i] && s.request.allowed(s.workers, i) {
				usableWorkers++
			}
		}
		if usableWorkers == 0 {
			return excludedRank
		}
		return unit.PreemptionCost / (float64(usableWorkers)*unit.Resources.Cores() + 1)
	})
}

// dropUnneeded restores victims, the most costly first, if the request fits without them. It
// returns the remaining victims.
func (s *simulation) dropUnneeded(victims []int) []int {
	byDescendingCost := slices.Clone(victims)
	slices.SortStableFunc(byDescendingCost, func(a, b int) int { return cmp.Compare(s.units[b].PreemptionCost, s.units[a].PreemptionCost) })
	for _, unit := range byDescendingCost {
		s.restore(unit)
		if !s.satisfied() {
			s.evict(unit)
		}
	}
	return slices.DeleteFunc(victims, func(unit int) bool { return !s.evicted[unit] })
}
