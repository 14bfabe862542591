package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// simulation evaluates evictions on a group of workers. It updates the number of tasks that fit
// incrementally, so that a step costs only as much as the workers it touches. It modifies Free of
// the caller's workers; close restores it.
type simulation struct {
	workers []Worker
	indexes []int
	units   []Unit
	request *Request
	// total is the number of the request's tasks that fit.
	total int
	*simulationBuffers
}

// simulationBuffers holds the per-worker and per-unit state of a simulation; it is pooled because
// a scheduling cycle runs many simulations.
type simulationBuffers struct {
	// fits is the number of tasks that fit on each worker.
	fits []int
	// inGroup marks the simulated workers.
	inGroup []bool
	// evicted marks the units whose resources are released.
	evicted []bool
	// seen marks the units already added by rankUnits.
	seen  []bool
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
	s.fits = resized(s.fits, len(workers))
	s.inGroup = resized(s.inGroup, len(workers))
	s.evicted = resized(s.evicted, len(units))
	s.seen = resized(s.seen, len(units))
	for _, i := range indexes {
		s.inGroup[i] = true
		s.fits[i] = 0
		s.updateFit(i)
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

// close restores the evicted units and returns the buffers to the pool.
func (s *simulation) close() {
	for _, ranked := range s.order {
		if s.evicted[ranked.unit] {
			s.restore(ranked.unit)
		}
	}
	for _, i := range s.indexes {
		s.inGroup[i] = false
	}
	s.order = s.order[:0]
	bufferPool.Put(s.simulationBuffers)
}

// updateFit recomputes how many tasks fit on worker i.
func (s *simulation) updateFit(i int) {
	fits := 0
	if s.request.allowed(s.workers, i) {
		fits = s.request.taskCapacity(i, s.request.visibleFree(s.workers, i))
	}
	s.total += fits - s.fits[i]
	s.fits[i] = fits
}

// satisfied reports whether all tasks of the request fit.
func (s *simulation) satisfied() bool { return s.total >= s.request.Count }

// evict releases the resources that a unit occupies in the group.
func (s *simulation) evict(unit int) {
	s.evicted[unit] = true
	for _, i := range s.units[unit].Workers {
		if s.inGroup[i] {
			s.workers[i].Free = s.workers[i].Free.Plus(s.units[unit].Resources)
			s.updateFit(i)
		}
	}
}

// restore reverts evict.
func (s *simulation) restore(unit int) {
	s.evicted[unit] = false
	for _, i := range s.units[unit].Workers {
		if s.inGroup[i] {
			s.workers[i].Free = s.workers[i].Free.Minus(s.units[unit].Resources)
			s.updateFit(i)
		}
	}
}

// placementAfter returns the current placement of the request, to become possible after the given
// wait.
func (s *simulation) placementAfter(after time.Duration) *FuturePlacement {
	places := Fit(s.workers, s.indexes, s.request)
	spare := make(map[int]taskgraph.Resources, len(places))
	for _, i := range places {
		free, known := spare[i]
		if !known {
			free = s.workers[i].Free
		}
		spare[i] = free.Minus(s.request.Resources)
	}
	return &FuturePlacement{Workers: places, Wait: after, Unreserved: spare}
}

// rankUnits returns the units that occupy workers of the group by ascending rank, then by index.
// Units of negative rank are excluded.
func (s *simulation) rankUnits(rank func(unit int) float64) []rankedUnit {
	for _, i := range s.indexes {
		for _, holder := range s.workers[i].Allocations {
			if s.seen[holder.Unit] || len(s.units[holder.Unit].Workers) == 0 {
				continue
			}
			s.seen[holder.Unit] = true
			s.order = append(s.order, rankedUnit{unit: holder.Unit, rank: rank(holder.Unit)})
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

// preemptible returns the units that may be preempted, by ascending loss per freed core.
func (s *simulation) preemptible() []rankedUnit {
	return s.rankUnits(func(number int) float64 {
		unit := &s.units[number]
		if !unit.preemptibleBy(s.request) {
			return excludedRank
		}
		useful := 0
		for _, i := range unit.Workers {
			if s.inGroup[i] && s.request.allowed(s.workers, i) {
				useful++
			}
		}
		if useful == 0 {
			return excludedRank
		}
		return unit.PreemptionCost / (float64(useful)*unit.Resources.Cores() + 1)
	})
}

// dropUnneeded restores victims that are not needed for the request to fit, the most costly first.
func (s *simulation) dropUnneeded(victims []int) []int {
	byLoss := slices.Clone(victims)
	slices.SortStableFunc(byLoss, func(a, b int) int { return cmp.Compare(s.units[b].PreemptionCost, s.units[a].PreemptionCost) })
	for _, number := range byLoss {
		s.restore(number)
		if !s.satisfied() {
			s.evict(number)
		}
	}
	return slices.DeleteFunc(victims, func(number int) bool { return !s.evicted[number] })
}
