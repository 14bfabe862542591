// Package placement chooses workers for tasks. Its functions are pure: they read a
// snapshot of workers and return places, in an order that does not depend on maps.
package placement

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is a worker as the snapshot has it.
type Worker struct {
	Rack string
	// Capacity is the room of the worker when nothing runs on it.
	Capacity taskgraph.Amount
	// Free is the room left now, after the reservations made in this cycle.
	Free taskgraph.Amount
	// RackFree is the free room of the worker's rack, in cores.
	RackFree float64
	// Slow workers take longer than most.
	Slow bool
	// Usable is false for workers that take no new work.
	Usable bool
	// Closed workers take no new work for as long as an operator wants it so.
	Closed bool
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
	// Limit bounds the room that the request may see on a worker; nil shows all.
	Limit func(worker int, free taskgraph.Amount) taskgraph.Amount
}

// visibleFree returns the free room of a worker that the request may see.
func (r *Request) visibleFree(workers []Worker, i int) taskgraph.Amount {
	if r.Limit == nil {
		return workers[i].Free
	}
	return r.Limit(i, workers[i].Free)
}

func (r *Request) allowed(workers []Worker, i int) bool {
	return workers[i].Usable && (r.Allowed == nil || r.Allowed(i))
}

// taskCapacity returns how many tasks of the request fit into room on a worker.
func (r *Request) taskCapacity(i int, available taskgraph.Amount) int {
	count := r.Count
	if r.Room.CPU > 0 {
		count = min(count, available.CPU/r.Room.CPU)
	}
	if r.Room.MemoryMB > 0 {
		count = min(count, available.MemoryMB/r.Room.MemoryMB)
	}
	if r.Room.GPUs > 0 {
		count = min(count, available.GPUs/r.Room.GPUs)
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
	// remaining is the room that would be remaining after as many tasks as fit.
	remaining float64
	// position is the worker's in the list of those that were tried.
	position int
}

// Fit places the request on the given workers: first on the fullest racks, and there
// on workers that are left the fullest, so that whole workers and racks stay free
// for wide tasks and gangs. It returns one worker a task, or nil if the request does
// not fit whole.
func Fit(workers []Worker, indexes []int, request *Request) []int {
	if !fitsWhole(workers, indexes, request) {
		return nil
	}
	selected := candidateHeap{count: request.Count}
	for position, i := range indexes {
		if !request.allowed(workers, i) {
			continue
		}
		available := request.visibleFree(workers, i)
		fits := request.taskCapacity(i, available)
		if fits == 0 {
			continue
		}
		remaining := available.Minus(request.Room.Times(fits)).Cores()
		selected.add(candidate{worker: i, position: position, fits: fits, remaining: remaining, rackFree: workers[i].RackFree})
	}
	return assignTasks(selected.sorted(), request.Count)
}

// fitsWhole reports whether the request fits. In a full pool most do not, and to find that
// out costs no memory.
func fitsWhole(workers []Worker, indexes []int, request *Request) bool {
	total := 0
	for _, i := range indexes {
		free := workers[i].Free
		if request.Room.GPUs > free.GPUs || request.Room.CPU > free.CPU || !request.allowed(workers, i) {
			continue
		}
		total += request.taskCapacity(i, request.visibleFree(workers, i))
		if total >= request.Count {
			return true
		}
	}
	return total >= request.Count
}

// Holds reports whether the workers could take the request if nothing ran on them and
// all that are not closed were usable.
func Holds(workers []Worker, indexes []int, request *Request) bool {
	total := 0
	for _, i := range indexes {
		if !workers[i].Closed && (request.Allowed == nil || request.Allowed(i)) {
			total += request.taskCapacity(i, workers[i].Capacity)
		}
		if total >= request.Count {
			return true
		}
	}
	return false
}

func assignTasks(candidates []candidate, count int) []int {
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

// Emptiest lists the racks, those with the most free room first.
func (r *Racks) Emptiest(workers []Worker) []string {
	names := slices.Clone(r.Names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(workers[r.Members[b][0]].RackFree, workers[r.Members[a][0]].RackFree)
	})
	return names
}

// FitOneRack places the request on one rack: the one that is left the fullest.
func FitOneRack(workers []Worker, racks *Racks, request *Request) []int {
	var best []int
	bestRemaining := 0.0
	for _, name := range racks.Names {
		members := racks.Members[name]
		places := Fit(workers, members, request)
		if places == nil {
			continue
		}
		remaining := 0.0
		for _, i := range members {
			remaining += workers[i].Free.Cores()
		}
		if best == nil || remaining < bestRemaining {
			best, bestRemaining = places, remaining
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
func Reserve(workers []Worker, places []int, perTask taskgraph.Amount) {
	for _, i := range places {
		workers[i].Free = workers[i].Free.Minus(perTask)
	}
}
