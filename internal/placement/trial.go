package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// simulation is a what-if over a group of workers: units leave and come back, and the number
// of the request's tasks that would fit is kept up to date with each step, so that a step
// costs by the workers it touches. It changes the free room of the caller's workers while
// it lasts; end gives that back.
type simulation struct {
	workers []Worker
	indexes []int
	units   []Unit
	request *Request
	// total is how many tasks would fit.
	total int
	*simulationBuffers
}

// simulationBuffers is what a trial keeps by worker or by unit. It is used again, as each
// cycle of a crowded pool asks many questions.
type simulationBuffers struct {
	// fits has how many tasks each worker could take.
	fits []int
	// inGroup marks the workers of the group.
	inGroup []bool
	// evicted marks the units that have left.
	evicted []bool
	// seen marks units while they are seen.
	seen  []bool
	order []rankedUnit
}

// rankedUnit is a unit with what it is ordered by.
type rankedUnit struct {
	number int
	rank   float64
}

var bufferPool = sync.Pool{New: func() any { return &simulationBuffers{} }}

// newSimulation begins a trial. The caller must call end.
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

// resized returns a slice of a length with the memory of another, whose elements are zero
// unless a trial left something there.
func resized[T any](buffer []T, length int) []T {
	if cap(buffer) < length {
		return make([]T, length)
	}
	return buffer[:length]
}

// close gives the room of units that have left back to them.
func (t *simulation) close() {
	for _, ranked := range t.order {
		if t.evicted[ranked.number] {
			t.restore(ranked.number)
		}
	}
	for _, i := range t.indexes {
		t.inGroup[i] = false
	}
	t.order = t.order[:0]
	bufferPool.Put(t.simulationBuffers)
}

// updateFit counts anew how many tasks fit on a worker.
func (t *simulation) updateFit(i int) {
	fits := 0
	if t.request.allowed(t.workers, i) {
		fits = t.request.taskCapacity(i, t.request.visibleFree(t.workers, i))
	}
	t.total += fits - t.fits[i]
	t.fits[i] = fits
}

// satisfied reports whether the whole request fits.
func (t *simulation) satisfied() bool { return t.total >= t.request.Count }

// evict frees the room that a unit holds in the group.
func (t *simulation) evict(number int) {
	t.evicted[number] = true
	for _, i := range t.units[number].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Plus(t.units[number].Room)
			t.updateFit(i)
		}
	}
}

// restore takes back what vacate freed.
func (t *simulation) restore(number int) {
	t.evicted[number] = false
	for _, i := range t.units[number].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Minus(t.units[number].Room)
			t.updateFit(i)
		}
	}
}

// placementAfter renders where the request fits after a time.
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

// rankUnits lists the units that hold room in the group, the lowest rank first, equals by
// number. Those of a negative rank are left out.
func (t *simulation) rankUnits(rank func(number int) float64) []rankedUnit {
	for _, i := range t.indexes {
		for _, holder := range t.workers[i].Holders {
			if t.seen[holder.Unit] || len(t.units[holder.Unit].Places) == 0 {
				continue
			}
			t.seen[holder.Unit] = true
			t.order = append(t.order, rankedUnit{number: holder.Unit, rank: rank(holder.Unit)})
		}
	}
	for _, ranked := range t.order {
		t.seen[ranked.number] = false
	}
	t.order = slices.DeleteFunc(t.order, func(ranked rankedUnit) bool { return ranked.rank < 0 })
	slices.SortFunc(t.order, func(a, b rankedUnit) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return a.number - b.number
	})
	return t.order
}

// excludedRank is the rank of units that unitsBy leaves out.
const excludedRank = -1

// preemptible lists units that may be stopped, cheapest for the room they free first.
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

// dropUnneeded drops victims that turn out needless, the dearest first.
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
