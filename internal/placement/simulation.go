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
	t := &simulation{workers: workers, indexes: indexes, units: units, request: request, simulationBuffers: buffers}
	t.fits = resized(t.fits, len(workers))
	t.inGroup = resized(t.inGroup, len(workers))
	t.evicted = resized(t.evicted, len(units))
	t.seen = resized(t.seen, len(units))
	for _, i := range indexes {
		t.inGroup[i] = true
		t.fits[i] = 0
		t.updateFit(i)
	}
	return t
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
func (t *simulation) close() {
	for _, ranked := range t.order {
		if t.evicted[ranked.unit] {
			t.restore(ranked.unit)
		}
	}
	for _, i := range t.indexes {
		t.inGroup[i] = false
	}
	t.order = t.order[:0]
	bufferPool.Put(t.simulationBuffers)
}

// updateFit recomputes how many tasks fit on worker i.
func (t *simulation) updateFit(i int) {
	fits := 0
	if t.request.allowed(t.workers, i) {
		fits = t.request.taskCapacity(i, t.request.visibleFree(t.workers, i))
	}
	t.total += fits - t.fits[i]
	t.fits[i] = fits
}

// satisfied reports whether all tasks of the request fit.
func (t *simulation) satisfied() bool { return t.total >= t.request.Count }

// evict releases the resources that a unit occupies in the group.
func (t *simulation) evict(unit int) {
	t.evicted[unit] = true
	for _, i := range t.units[unit].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Plus(t.units[unit].Room)
			t.updateFit(i)
		}
	}
}

// restore reverts evict.
func (t *simulation) restore(unit int) {
	t.evicted[unit] = false
	for _, i := range t.units[unit].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Minus(t.units[unit].Room)
			t.updateFit(i)
		}
	}
}

// placementAfter returns the current placement of the request, to become possible after the given
// wait.
func (t *simulation) placementAfter(after time.Duration) *Promise {
	places := Fit(t.workers, t.indexes, t.request)
	spare := make(map[int]taskgraph.Amount, len(places))
	for _, i := range places {
		free, known := spare[i]
		if !known {
			free = t.workers[i].Free
		}
		spare[i] = free.Minus(t.request.Room)
	}
	return &Promise{Places: places, After: after, Spare: spare}
}

// rankUnits returns the units that occupy workers of the group by ascending rank, then by index.
// Units of negative rank are excluded.
func (t *simulation) rankUnits(rank func(unit int) float64) []rankedUnit {
	for _, i := range t.indexes {
		for _, holder := range t.workers[i].Holders {
			if t.seen[holder.Unit] || len(t.units[holder.Unit].Places) == 0 {
				continue
			}
			t.seen[holder.Unit] = true
			t.order = append(t.order, rankedUnit{unit: holder.Unit, rank: rank(holder.Unit)})
		}
	}
	for _, ranked := range t.order {
		t.seen[ranked.unit] = false
	}
	t.order = slices.DeleteFunc(t.order, func(ranked rankedUnit) bool { return ranked.rank < 0 })
	slices.SortFunc(t.order, func(a, b rankedUnit) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return a.unit - b.unit
	})
	return t.order
}

// excludedRank makes rankUnits leave a unit out.
const excludedRank = -1

// preemptible returns the units that may be preempted, by ascending loss per freed core.
func (t *simulation) preemptible() []rankedUnit {
	return t.rankUnits(func(number int) float64 {
		unit := &t.units[number]
		if !unit.preemptibleBy(t.request) {
			return excludedRank
		}
		useful := 0
		for _, i := range unit.Places {
			if t.inGroup[i] && t.request.allowed(t.workers, i) {
				useful++
			}
		}
		if useful == 0 {
			return excludedRank
		}
		return unit.Loss / (float64(useful)*unit.Room.Cores() + 1)
	})
}

// dropUnneeded restores victims that are not needed for the request to fit, the most costly first.
func (t *simulation) dropUnneeded(victims []int) []int {
	byLoss := slices.Clone(victims)
	slices.SortStableFunc(byLoss, func(a, b int) int { return cmp.Compare(t.units[b].Loss, t.units[a].Loss) })
	for _, number := range byLoss {
		t.restore(number)
		if !t.satisfied() {
			t.evict(number)
		}
	}
	return slices.DeleteFunc(victims, func(number int) bool { return !t.evicted[number] })
}
