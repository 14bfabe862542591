// Package placement assigns tasks to workers. The caller passes a snapshot of the workers, in which
// a worker is identified by its index. The functions are deterministic and do no I/O.
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
	// Free is the unallocated part of Capacity, less the reservations made in this scheduling cycle.
	Free taskgraph.Resources
	// Indefinite is the part of Capacity that runs without an expected end occupy.
	Indefinite taskgraph.Resources
	// RackFree is the sum of Free, in cores, over the usable workers of the rack.
	RackFree float64
	// Slow is true if the worker is slower than most workers.
	Slow bool
	// Usable is false if the worker accepts no new tasks.
	Usable bool
	// Cordoned is true if an operator has excluded the worker from new placements.
	Cordoned bool
	// Allocations are the runs that occupy the worker.
	Allocations []Allocation
}

// Allocation is a run that occupies part of a worker.
type Allocation struct {
	// Unit is the index of the run's unit in the caller's list of units.
	Unit      int
	Resources taskgraph.Resources
}

// Request is a request to place Count identical tasks. Either all of the tasks are placed or none.
type Request struct {
	Resources taskgraph.Resources
	Count     int
	// Priority 0 is the highest.
	Priority int
	// Allowed filters workers; nil allows all.
	Allowed func(worker int) bool
	// MaxPerWorker limits the tasks on one worker, including tasks that were placed earlier. 0 means
	// no limit.
	MaxPerWorker int
	// Present returns the number of earlier placed tasks on a worker that count toward MaxPerWorker.
	// Nil means none.
	Present func(worker int) int
	// Limit returns the part of a worker's free resources that the request may use. Nil means that
	// the request may use all of them.
	Limit func(worker int, free taskgraph.Resources) taskgraph.Resources
}

// visibleFree returns the part of worker i's free resources that the request may use.
func (r *Request) visibleFree(workers []Worker, i int) taskgraph.Resources {
	if r.Limit == nil {
		return workers[i].Free
	}
	return r.Limit(i, workers[i].Free)
}

func (r *Request) allowed(workers []Worker, i int) bool {
	return workers[i].Usable && (r.Allowed == nil || r.Allowed(i))
}

// taskCapacity returns how many of the request's tasks worker i can run, given the available
// resources of the worker.
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
	worker int
	// maxTasks is the number of tasks that the worker can run.
	maxTasks int
	rackFree float64
	// remainingCores is the capacity, in cores, that stays free if the worker runs maxTasks tasks.
	remainingCores float64
	// position is the worker's position in the caller's list. It breaks ties.
	position int
}

// Fit places the request on the workers with the given indexes. It fills the rack with the least
// free capacity first. Within a rack it prefers the worker that would have the least capacity left.
// This keeps whole workers and racks free for large tasks and gangs. Fit returns one worker index
// per task. It returns nil if not all tasks fit.
func Fit(workers []Worker, indexes []int, request *Request) []int {
	if !fitsAll(workers, indexes, request) {
		return nil
	}
	selected := candidateHeap{requestedTasks: request.Count}
	for position, i := range indexes {
		if !request.allowed(workers, i) {
			continue
		}
		available := request.visibleFree(workers, i)
		maxTasks := request.taskCapacity(i, available)
		if maxTasks == 0 {
			continue
		}
		remainingCores := available.Minus(request.Resources.Multiply(maxTasks)).Cores()
		selected.add(candidate{worker: i, position: position, maxTasks: maxTasks, remainingCores: remainingCores, rackFree: workers[i].RackFree})
	}
	return assignTasks(selected.sorted(), request.Count)
}

// fitsAll reports whether all tasks of the request fit. It allocates no memory, because most
// requests are rejected when the pool is full.
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

// FitsEventually reports whether the request would fit once all runs with an expected end have ended.
// It assumes that all workers are usable except cordoned ones.
func FitsEventually(workers []Worker, indexes []int, request *Request) bool {
	total := 0
	for _, i := range indexes {
		if !workers[i].Cordoned && (request.Allowed == nil || request.Allowed(i)) {
			total += request.taskCapacity(i, workers[i].Capacity.Minus(workers[i].Indefinite))
		}
		if total >= request.Count {
			return true
		}
	}
	return false
}

// assignTasks fills the candidates in order and returns one worker index for each of count tasks.
func assignTasks(candidates []candidate, count int) []int {
	places := make([]int, 0, count)
	for _, c := range candidates {
		for range min(c.maxTasks, count-len(places)) {
			places = append(places, c.worker)
		}
	}
	return places
}

// Racks groups the indexes of workers by rack.
type Racks struct {
	// Names lists the racks in the order in which they appear in the list of workers.
	Names []string
	// Members maps the name of each rack to the workers of the rack.
	Members map[string][]int
	// All lists all workers.
	All []int
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

// ByFreeCapacity returns the rack names, sorted by descending free capacity.
func (r *Racks) ByFreeCapacity(workers []Worker) []string {
	names := slices.Clone(r.Names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(workers[r.Members[b][0]].RackFree, workers[r.Members[a][0]].RackFree)
	})
	return names
}

// FitOneRack places the request within one rack. Among the racks in which the request fits, it
// chooses the rack with the least free capacity. It returns nil if the request fits in no rack.
func FitOneRack(workers []Worker, racks *Racks, request *Request) []int {
	var best []int
	leastFree := 0.0
	for _, name := range racks.Names {
		members := racks.Members[name]
		places := Fit(workers, members, request)
		if places == nil {
			continue
		}
		freeCores := 0.0
		for _, i := range members {
			freeCores += workers[i].Free.Cores()
		}
		if best == nil || freeCores < leastFree {
			best, leastFree = places, freeCores
		}
	}
	return best
}

// UpdateRackFree updates RackFree of every worker.
func UpdateRackFree(workers []Worker, racks *Racks) {
	for _, name := range racks.Names {
		freeCores := 0.0
		for _, i := range racks.Members[name] {
			if workers[i].Usable {
				freeCores += workers[i].Free.Cores()
			}
		}
		for _, i := range racks.Members[name] {
			workers[i].RackFree = freeCores
		}
	}
}

// Reserve deducts perTask from the free resources of a worker for each task placed on the worker.
func Reserve(workers []Worker, places []int, perTask taskgraph.Resources) {
	for _, i := range places {
		workers[i].Free = workers[i].Free.Minus(perTask)
	}
}
