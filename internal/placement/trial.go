package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// trial is a what-if over a group of workers: units leave and come back, and the
// number of the request's tasks that would fit is kept up to date with each step, so
// that a step costs by the workers it touches.
type trial struct {
	// among has the numbers of the workers in the caller's list; all else here numbers
	// them from 0.
	among   []int
	workers []Worker
	units   []Unit
	request Request
	// fits has how many tasks each worker could take, and total their sum.
	fits  []int
	total int
	// places has the workers of each unit that holds room here, once for each run.
	places map[int][]int
}

func newTrial(workers []Worker, among []int, units []Unit, request *Request) *trial {
	t := &trial{among: among, units: units, request: request.within(among), places: map[int][]int{}}
	t.workers = make([]Worker, len(among))
	t.fits = make([]int, len(among))
	for i, number := range among {
		t.workers[i] = workers[number]
		t.measure(i)
		for _, holder := range workers[number].Holders {
			if len(units[holder.Unit].Places) > 0 {
				t.places[holder.Unit] = append(t.places[holder.Unit], i)
			}
		}
	}
	return t
}

// within returns the request for a group of workers that are numbered from 0.
func (r *Request) within(among []int) Request {
	local := *r
	if r.Allowed != nil {
		local.Allowed = func(i int) bool { return r.Allowed(among[i]) }
	}
	if r.Present != nil {
		local.Present = func(i int) int { return r.Present(among[i]) }
	}
	if r.Limit != nil {
		local.Limit = func(i int, free taskgraph.Amount) taskgraph.Amount { return r.Limit(among[i], free) }
	}
	return local
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

// vacate frees the room of a unit.
func (t *trial) vacate(number int) {
	for _, i := range t.places[number] {
		t.workers[i].Free = t.workers[i].Free.Plus(t.units[number].Room)
		t.measure(i)
	}
}

// restore takes back what vacate freed.
func (t *trial) restore(number int) {
	for _, i := range t.places[number] {
		t.workers[i].Free = t.workers[i].Free.Minus(t.units[number].Room)
		t.measure(i)
	}
}

// fit places the request and returns the caller's numbers of the workers.
func (t *trial) fit() []int {
	all := make([]int, len(t.workers))
	for i := range all {
		all[i] = i
	}
	places := Fit(t.workers, all, &t.request)
	for i, place := range places {
		places[i] = t.among[place]
	}
	return places
}

// promise renders where the request fits after a time.
func (t *trial) promise(after time.Duration) *Promise {
	free := make(map[int]taskgraph.Amount, len(t.among))
	for i, number := range t.among {
		free[number] = t.workers[i].Free
	}
	places := t.fit()
	spare := map[int]taskgraph.Amount{}
	for _, number := range places {
		free[number] = free[number].Minus(t.request.Room)
		spare[number] = free[number]
	}
	return &Promise{Places: places, After: after, Spare: spare}
}

// unitsBy lists the units that hold room here in an order, and equals by number.
func (t *trial) unitsBy(compare func(a, b int) int) []int {
	order := make([]int, 0, len(t.places))
	for number := range t.places {
		order = append(order, number)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(compare(a, b), cmp.Compare(a, b)) })
	return order
}

// preemptible lists units that may be stopped, cheapest for the room they free first.
func (t *trial) preemptible() []int {
	useful := map[int]float64{}
	for number, places := range t.places {
		if !t.units[number].yieldsTo(&t.request) {
			continue
		}
		for _, i := range places {
			if t.request.allowed(t.workers, i) {
				useful[number] += t.units[number].Room.Cores()
			}
		}
	}
	order := t.unitsBy(func(a, b int) int {
		return cmp.Compare(t.units[a].Loss/(useful[a]+1), t.units[b].Loss/(useful[b]+1))
	})
	return slices.DeleteFunc(order, func(number int) bool { return useful[number] == 0 })
}

// spare drops victims that turn out needless, the dearest first.
func (t *trial) spare(victims []int) []int {
	byLoss := slices.Clone(victims)
	slices.SortStableFunc(byLoss, func(a, b int) int { return cmp.Compare(t.units[b].Loss, t.units[a].Loss) })
	dropped := map[int]bool{}
	for _, number := range byLoss {
		t.restore(number)
		if t.enough() {
			dropped[number] = true
			continue
		}
		t.vacate(number)
	}
	return slices.DeleteFunc(victims, func(number int) bool { return dropped[number] })
}
