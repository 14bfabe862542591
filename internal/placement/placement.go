// Package placement assigns tasks to workers. Its functions are deterministic and do no I/O; they
// work on a snapshot of the workers.
package placement

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is the state of one worker in the snapshot.
type Worker struct {
	Rack string
	// Capacity is the total resources of the worker.
	Capacity taskgraph.Resources
	// Free is what is unallocated, less the reservations made in this cycle.
	Free taskgraph.Resources
	// RackFree is the unallocated capacity of the worker's rack, in cores.
	RackFree float64
	// Slow marks workers that take longer than most.
	Slow bool
	// Usable is false for workers that accept no new tasks.
	Usable bool
	// Cordoned workers are cordoned by an operator.
	Cordoned bool
	// Allocations are the runs that occupy the worker.
	Allocations []Allocation
}

// Allocation is a run that occupies part of a worker.
type Allocation struct {
	// Unit is the index of the run's unit in the snapshot.
	Unit      int
	Resources taskgraph.Resources
}

// Request asks for Count identical tasks to be placed, all or none.
type Request struct {
	Resources taskgraph.Resources
	Count     int
	// Priority 0 is the highest.
	Priority int
	// Allowed filters workers; nil allows all.
	Allowed func(worker int) bool
	// MaxPerWorker limits the tasks on one worker, including the Present(worker) tasks already
	// there; 0 means no limit.
	MaxPerWorker int
	Present      func(worker int) int
	// Limit restricts the free resources of a worker that the request may use; nil means no
	// restriction.
	Limit func(worker int, free taskgraph.Resources) taskgraph.Resources
}

// visibleFree returns the free resources of a worker that the request may use.
func (r *Request) visibleFree(workers []Worker, i int) taskgraph.Resources {
	if r.Limit == nil {
		return workers[i].Free
	}
	return r.Limit(i, workers[i].Free)
}

func (r *Request) allowed(workers []Worker, i int) bool {
	return workers[i].Usable && (r.Allowed == nil || r.Allowed(i))
}

// taskCapacity returns how many of the request's tasks fit into the available resources of worker
// i.
func (r *Request) taskCapacity(i int, available taskgraph.Resources) int {
	count := r.Count
	if r.Resources.CPU > 0 {
		count = min(count, available.CPU/r.Resources.CPU)
	}
	if r.Resources.MemoryMB > 0 {
		count = min(count, available.MemoryMB/r.Resources.MemoryMB)
	}
	if r.Resources.GPUs > 0 {
		count = min(count, available.GPUs/r.Resources.GPUs)
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

// candidate is a worker that can run at least one of the tasks.
type candidate struct {
	worker   int
	fits     int
	rackFree float64
	// remaining is what stays free, in cores, if the worker takes as many tasks as fit.
	remaining float64
	// position is the worker's index in the caller's list; it breaks ties.
	position int
}

// Fit places the request on the workers at indexes. It packs best-fit: the rack with the least
// free capacity first, and within it the worker with the least capacity remaining, so that whole
// workers and racks stay free for large tasks and gangs. It returns one worker index per task, or
// nil if not all tasks fit.
func Fit(workers []Worker, indexes []int, request *Request) []int {
	if !fitsAll(workers, indexes, request) {
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
		remaining := available.Minus(request.Resources.Multiply(fits)).Cores()
		selected.add(candidate{worker: i, position: position, fits: fits, remaining: remaining, rackFree: workers[i].RackFree})
	}
	return assignTasks(selected.sorted(), request.Count)
}

// fitsAll reports whether all tasks of the request fit. It allocates no memory, so that the
// common rejection in a full pool is cheap.
func fitsAll(workers []Worker, indexes []int, request *Request) bool {
	total := 0
	for _, i := range indexes {
		free := workers[i].Free
		if request.Resources.GPUs > free.GPUs || request.Resources.CPU > free.CPU || !request.allowed(workers, i) {
			continue
		}
		total += request.taskCapacity(i, request.visibleFree(workers, i))
		if total >= request.Count {
			return true
		}
	}
	return total >= request.Count
}

// FitsWhenEmpty reports whether the request would fit if nothing ran on the workers and all that
// are not cordoned were usable.
func FitsWhenEmpty(workers []Worker, indexes []int, request *Request) bool {
	total := 0
	for _, i := range indexes {
		if !workers[i].Cordoned && (request.Allowed == nil || request.Allowed(i)) {
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

// Racks groups workers by rack, in order of first appearance.
type Racks struct {
	Names   []string
	Members map[string][]int
	All     []int
}

// NewRacks groups workers by rack.
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

// ByFreeCapacity returns the rack names by descending free capacity.
func (r *Racks) ByFreeCapacity(workers []Worker) []string {
	names := slices.Clone(r.Names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(workers[r.Members[b][0]].RackFree, workers[r.Members[a][0]].RackFree)
	})
	return names
}

// FitOneRack places the request within one rack: of those where it fits, the one with the least
// free capacity.
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

// UpdateRackFree updates RackFree of every worker.
func UpdateRackFree(workers []Worker, racks *Racks) {
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

// Reserve deducts perTask from the free resources of each placed task's worker.
func Reserve(workers []Worker, places []int, perTask taskgraph.Resources) {
	for _, i := range places {
		workers[i].Free = workers[i].Free.Minus(perTask)
	}
}
