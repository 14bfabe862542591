// Package placement chooses workers for tasks. Its functions are pure: they read a
// snapshot of workers and return places, in an order that does not depend on maps.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is a worker as the snapshot has it.
type Worker struct {
	Rack string
	// Free is the room left now, after the reservations made in this cycle.
	Free taskgraph.Amount
	// RackFree is the free room of the worker's rack, in cores.
	RackFree float64
	// Usable is false for workers that take no new work.
	Usable bool
	// Holders are the runs on the worker.
	Holders []Holder
}

// Holder is a run that occupies room.
type Holder struct {
	// Unit numbers the unit in the snapshot's list of units.
	Unit int
	Room taskgraph.Amount
}

// Request is what is to be placed: Count equal tasks, all or none.
type Request struct {
	Room  taskgraph.Amount
	Count int
	// Priority is the request's; 0 comes first.
	Priority int
	// Allowed reports whether a worker may take tasks of the request; nil allows all.
	Allowed func(worker int) bool
	// MaxPerWorker bounds the tasks on one worker, of which Present has some there.
	MaxPerWorker int
	Present      func(worker int) int
}

func (r *Request) allowed(workers []Worker, i int) bool {
	return workers[i].Usable && (r.Allowed == nil || r.Allowed(i))
}

// capacity returns how many tasks of the request fit into room on a worker.
func (r *Request) capacity(i int, room taskgraph.Amount) int {
	count := r.Count
	if r.Room.CPU > 0 {
		count = min(count, room.CPU/r.Room.CPU)
	}
	if r.Room.MemoryMB > 0 {
		count = min(count, room.MemoryMB/r.Room.MemoryMB)
	}
	if r.Room.GPUs > 0 {
		count = min(count, room.GPUs/r.Room.GPUs)
	}
	if r.MaxPerWorker > 0 {
		present := 0
		if r.Present != nil {
			present = r.Present(i)
		}
		count = min(count, r.MaxPerWorker-present)
	}
	return max(0, count)
}

// candidate is a worker that can take some tasks.
type candidate struct {
	worker int
	fits   int
	// rackFree is the free room of the worker's rack.
	rackFree float64
	// left is the room that would be left after as many tasks as fit.
	left float64
}

// Fit places the request on the given workers: first on the fullest racks, and there
// on workers that are left the fullest, so that whole workers and racks stay free
// for wide tasks and gangs. It returns one worker a task, or nil if the request does
// not fit whole.
func Fit(workers []Worker, among []int, request *Request) []int {
	var candidates []candidate
	total := 0
	for _, i := range among {
		if !request.allowed(workers, i) {
			continue
		}
		fits := request.capacity(i, workers[i].Free)
		if fits == 0 {
			continue
		}
		left := workers[i].Free.Minus(request.Room.Times(fits)).Cores()
		candidates = append(candidates, candidate{worker: i, fits: fits, left: left, rackFree: workers[i].RackFree})
		total += fits
	}
	if total < request.Count {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(a.rackFree, b.rackFree); order != 0 {
			return order
		}
		return cmp.Compare(a.left, b.left)
	})
	return take(candidates, request.Count)
}

func take(candidates []candidate, count int) []int {
	places := make([]int, 0, count)
	for _, c := range candidates {
		for range min(c.fits, count-len(places)) {
			places = append(places, c.worker)
		}
	}
	return places
}

// Racks groups workers by rack, in the order of the racks' first workers.
type Racks struct {
	Names   []string
	Members map[string][]int
	All     []int
}

// NewRacks groups workers.
func NewRacks(workers []Worker) *Racks {
	racks := &Racks{Members: map[string][]int{}}
	for i := range workers {
		rack := workers[i].Rack
		if racks.Members[rack] == nil {
			racks.Names = append(racks.Names, rack)
		}
		racks.Members[rack] = append(racks.Members[rack], i)
		racks.All = append(racks.All, i)
	}
	return racks
}

// FitOneRack places the request on one rack: the one that is left the fullest.
func FitOneRack(workers []Worker, racks *Racks, request *Request) []int {
	var best []int
	bestLeft := 0.0
	for _, name := range racks.Names {
		members := racks.Members[name]
		places := Fit(workers, members, request)
		if places == nil {
			continue
		}
		left := 0.0
		for _, i := range members {
			left += workers[i].Free.Cores()
		}
		if best == nil || left < bestLeft {
			best, bestLeft = places, left
		}
	}
	return best
}

// MeasureRacks sets every worker's RackFree.
func MeasureRacks(workers []Worker, racks *Racks) {
	for _, name := range racks.Names {
		free := 0.0
		for _, i := range racks.Members[name] {
			if workers[i].Usable {
				free += workers[i].Free.Cores()
			}
		}
		for _, i := range racks.Members[name] {
			workers[i].RackFree = free
		}
	}
}

// Reserve takes the room of placed tasks from the workers' free room.
func Reserve(workers []Worker, places []int, room taskgraph.Amount) {
	for _, i := range places {
		workers[i].Free = workers[i].Free.Minus(room)
	}
}

// Unit is a running unit that could give way or that will end.
type Unit struct {
	// Places has the workers of the unit's runs.
	Places []int
	Room   taskgraph.Amount
	// Remaining is how long the unit is expected to hold its room.
	Remaining time.Duration
	// Loss is the price of stopping the unit now; negative if it may not be stopped.
	Loss float64
	// Priority is the unit's; only requests of a lower number may stop it.
	Priority int
}

// Promise is room that a request will get once running units have ended.
type Promise struct {
	Places []int
	// After is how long the request waits.
	After time.Duration
	// Spare has, for each place, the room that others may hold beyond then.
	Spare map[int]taskgraph.Amount
}

// EarliestFit returns when and where the request fits among workers if running
// units end as expected and nothing new starts. The result is nil if never.
func EarliestFit(workers []Worker, among []int, units []Unit, request *Request) *Promise {
	trial := slices.Clone(workers)
	inside := make(map[int]bool, len(among))
	for _, i := range among {
		inside[i] = true
	}
	if places := Fit(trial, among, request); places != nil {
		return promise(trial, places, 0, request)
	}
	for _, number := range endingOrder(workers, among, units) {
		for _, i := range units[number].Places {
			if inside[i] {
				trial[i].Free = trial[i].Free.Plus(units[number].Room)
			}
		}
		if places := Fit(trial, among, request); places != nil {
			return promise(trial, places, units[number].Remaining, request)
		}
	}
	return nil
}

// endingOrder lists the units that hold room among workers, the first to end first.
func endingOrder(workers []Worker, among []int, units []Unit) []int {
	var order []int
	seen := map[int]bool{}
	for _, i := range among {
		for _, holder := range workers[i].Holders {
			if !seen[holder.Unit] && len(units[holder.Unit].Places) > 0 {
				seen[holder.Unit] = true
				order = append(order, holder.Unit)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(units[a].Remaining, units[b].Remaining) })
	return order
}

func promise(trial []Worker, places []int, after time.Duration, request *Request) *Promise {
	spare := map[int]taskgraph.Amount{}
	for _, i := range places {
		if _, known := spare[i]; !known {
			spare[i] = trial[i].Free
		}
		spare[i] = spare[i].Minus(request.Room)
	}
	return &Promise{Places: places, After: after, Spare: spare}
}

// Preempt returns where the request fits among workers if victims are stopped, the
// victims, and their loss. Units with a negative loss are left alone. The result is
// nil if no set of victims helps.
func Preempt(workers []Worker, among []int, units []Unit, request *Request) (places, victims []int, loss float64) {
	trial := slices.Clone(workers)
	candidates := preemptible(workers, among, units, request)
	var chosen []int
	for _, number := range candidates {
		if places = Fit(trial, among, request); places != nil {
			break
		}
		chosen = append(chosen, number)
		free(trial, units[number])
	}
	if places == nil {
		if places = Fit(trial, among, request); places == nil {
			return nil, nil, 0
		}
	}
	victims = spare(workers, among, units, request, chosen)
	trial = slices.Clone(workers)
	for _, number := range victims {
		free(trial, units[number])
		loss += units[number].Loss
	}
	return Fit(trial, among, request), victims, loss
}

func free(workers []Worker, unit Unit) {
	for _, i := range unit.Places {
		workers[i].Free = workers[i].Free.Plus(unit.Room)
	}
}

// yieldsTo reports whether a unit may be stopped for a request. Units without loss
// are stopping already.
func (u *Unit) yieldsTo(request *Request) bool {
	return u.Loss == 0 || u.Loss > 0 && u.Priority > request.Priority
}

// preemptible lists units that may be stopped, cheapest for the room they free first.
func preemptible(workers []Worker, among []int, units []Unit, request *Request) []int {
	var candidates []int
	useful := map[int]float64{}
	for _, i := range among {
		if !request.allowed(workers, i) {
			continue
		}
		for _, holder := range workers[i].Holders {
			if !units[holder.Unit].yieldsTo(request) {
				continue
			}
			if _, seen := useful[holder.Unit]; !seen {
				candidates = append(candidates, holder.Unit)
			}
			useful[holder.Unit] += holder.Room.Cores()
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(units[a].Loss/(useful[a]+1), units[b].Loss/(useful[b]+1))
	})
	return candidates
}

// spare drops victims that turn out needless, the dearest first.
func spare(workers []Worker, among []int, units []Unit, request *Request, chosen []int) []int {
	kept := slices.Clone(chosen)
	byLoss := slices.Clone(chosen)
	slices.SortStableFunc(byLoss, func(a, b int) int { return cmp.Compare(units[b].Loss, units[a].Loss) })
	for _, number := range byLoss {
		without := slices.DeleteFunc(slices.Clone(kept), func(other int) bool { return other == number })
		trial := slices.Clone(workers)
		for _, other := range without {
			free(trial, units[other])
		}
		if Fit(trial, among, request) != nil {
			kept = without
		}
	}
	return kept
}
