package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// trial is a what-if over a group of workers: units leave and come back, and the number
// of the request's tasks that would fit is kept up to date with each step, so that a step
// costs by the workers it touches. It changes the free room of the caller's workers while
// it lasts; end gives that back.
type trial struct {
	workers []Worker
	among   []int
	units   []Unit
	request *Request
	// total is how many tasks would fit.
	total int
	*trialMemory
}

// trialMemory is what a trial keeps by worker or by unit. It is used again, as each
// cycle of a crowded pool asks many questions.
type trialMemory struct {
	// fits has how many tasks each worker could take.
	fits []int
	// inGroup marks the workers of the group.
	inGroup []bool
	// vacated marks the units that have left.
	vacated []bool
	// listed marks units while they are listed.
	listed []bool
	order  []rankedUnit
}

// rankedUnit is a unit with what it is ordered by.
type rankedUnit struct {
	number int
	rank   float64
}

var trialMemories = sync.Pool{New: func() any { return &trialMemory{} }}

// newTrial begins a trial. The caller must call end.
func newTrial(workers []Worker, among []int, units []Unit, request *Request) *trial {
	memory, _ := trialMemories.Get().(*trialMemory)
	t := &trial{workers: workers, among: among, units: units, request: request, trialMemory: memory}
	t.fits = resized(t.fits, len(workers))
	t.inGroup = resized(t.inGroup, len(workers))
	t.vacated = resized(t.vacated, len(units))
	t.listed = resized(t.listed, len(units))
	for _, i := range among {
		t.inGroup[i] = true
		t.fits[i] = 0
		t.measure(i)
	}
	return t
}

// resized returns a slice of a length with the memory of another, whose elements are zero
// unless a trial left something there.
func resized[T any](memory []T, length int) []T {
	if cap(memory) < length {
		return make([]T, length)
	}
	return memory[:length]
}

// end gives the room of units that have left back to them.
func (t *trial) end() {
	for _, ranked := range t.order {
		if t.vacated[ranked.number] {
			t.restore(ranked.number)
		}
	}
	for _, i := range t.among {
		t.inGroup[i] = false
	}
	t.order = t.order[:0]
	trialMemories.Put(t.trialMemory)
}

// measure counts anew how many tasks fit on a worker.
func (t *trial) measure(i int) {
	fits := 0
	if t.request.allowed(t.workers, i) {
		fits = t.request.capacity(i, t.request.visible(t.workers, i))
	}
	t.total += fits - t.fits[i]
	t.fits[i] = fits
}

// enough reports whether the whole request fits.
func (t *trial) enough() bool { return t.total >= t.request.Count }

// vacate frees the room that a unit holds in the group.
func (t *trial) vacate(number int) {
	t.vacated[number] = true
	for _, i := range t.units[number].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Plus(t.units[number].Room)
			t.measure(i)
		}
	}
}

// restore takes back what vacate freed.
func (t *trial) restore(number int) {
	t.vacated[number] = false
	for _, i := range t.units[number].Places {
		if t.inGroup[i] {
			t.workers[i].Free = t.workers[i].Free.Minus(t.units[number].Room)
			t.measure(i)
		}
	}
}

// promise renders where the request fits after a time.
func (t *trial) promise(after time.Duration) *Promise {
	places := Fit(t.workers, t.among, t.request)
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

// unitsBy lists the units that hold room in the group, the lowest rank first, equals by
// number. Those of a negative rank are left out.
func (t *trial) unitsBy(rank func(number int) float64) []rankedUnit {
	for _, i := range t.among {
		for _, holder := range t.workers[i].Holders {
			if t.listed[holder.Unit] || len(t.units[holder.Unit].Places) == 0 {
				continue
			}
			t.listed[holder.Unit] = true
			t.order = append(t.order, rankedUnit{number: holder.Unit, rank: rank(holder.Unit)})
		}
	}
	for _, ranked := range t.order {
		t.listed[ranked.number] = false
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

// leftOut is the rank of units that unitsBy leaves out.
const leftOut = -1

// preemptible lists units that may be stopped, cheapest for the room they free first.
func (t *trial) preemptible() []rankedUnit {
	return t.unitsBy(func(number int) float64 {
		unit := &t.units[number]
		if !unit.yieldsTo(t.request) {
			return leftOut
		}
		useful := 0
		for _, i := range unit.Places {
			if t.inGroup[i] && t.request.allowed(t.workers, i) {
				useful++
			}
		}
		if useful == 0 {
			return leftOut
		}
		return unit.Loss / (float64(useful)*unit.Room.Cores() + 1)
	})
}

// spare drops victims that turn out needless, the dearest first.
func (t *trial) spare(victims []int) []int {
	byLoss := slices.Clone(victims)
	slices.SortStableFunc(byLoss, func(a, b int) int { return cmp.Compare(t.units[b].Loss, t.units[a].Loss) })
	for _, number := range byLoss {
		t.restore(number)
		if !t.enough() {
			t.vacate(number)
		}
	}
	return slices.DeleteFunc(victims, func(number int) bool { return !t.vacated[number] })
}
