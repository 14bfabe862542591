package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// snapshot is the state of the pool that one scheduling cycle works on. Workers and units are
// identified by their indexes in the snapshot.
type snapshot struct {
	now         time.Time
	workers     []placement.Worker
	poolWorkers []*worker
	racks       *placement.Racks
	units       []placement.Unit
	running     []*unit
	// utilization is the utilization of the pool's most used resource.
	utilization float64
	// isolated holds the workers that could take new work, if they were not kept to the suspects of
	// crashes that run there.
	isolated map[int]bool
	// workerHealth holds the workers' states of health; nil until they are needed.
	workerHealth []health.WorkerState
	// proofExpected is what Pool.proofExpected has found, and presentUtilization the utilization with
	// the placements of this cycle. Both are nil until they are needed, and after a placement.
	proofExpected      *bool
	presentUtilization *float64
	// guaranteed holds whether jobs are within their tenant's guarantee, for those asked about.
	guaranteed map[*job]bool
	// headroomWorkers holds, by priority, the workers that are kept free of deferrable units.
	headroomWorkers [][]bool
	// reservationsLeft is how many more units may reserve resources in this cycle.
	reservationsLeft int
	// reservations holds the resources reserved for waiting units, by worker.
	reservations map[int]reservation
}

// equivalenceClass identifies units with the same requirements, also of their workers' health. If a cycle cannot place one unit of
// a class, it cannot place the others either.
type equivalenceClass struct {
	step   *step
	gang   bool
	health health.Requirement
}

func (p *Pool) classOf(s *snapshot, u *unit) equivalenceClass {
	return equivalenceClass{step: u.step, gang: u.spec().Gang, health: p.healthRequirement(s, u)}
}

// snapshotBuffers keeps the buffers of the last snapshot for the next one, since allocating
// them anew takes much of a cycle's time.
type snapshotBuffers struct {
	workers     []placement.Worker
	poolWorkers []*worker
	units       []placement.Unit
	running     []*unit
	// generation numbers the snapshots.
	generation int
	// racks groups the workers by rack; nil once the set of workers has changed.
	racks *placement.Racks
}

// snapshot returns the state of all workers and their runs. It is valid until the next call.
func (p *Pool) snapshot() *snapshot {
	buffers := &p.snapshotBuffers
	buffers.generation++
	s := &snapshot{
		now: p.loop.Now(), reservationsLeft: reservationLimit, reservations: map[int]reservation{}, isolated: map[int]bool{}, guaranteed: map[*job]bool{}, headroomWorkers: make([][]bool, len(headroomShares)),
		workers: buffers.workers[:0], poolWorkers: buffers.poolWorkers[:0], units: buffers.units[:0], running: buffers.running[:0],
	}
	zones, fresh := p.evacuatedZones(), p.evacuationsFresh(s.now)
	for _, w := range p.sortedWorkers() {
		p.addWorker(s, w, zones, fresh)
	}
	buffers.workers, buffers.poolWorkers, buffers.units, buffers.running = s.workers, s.poolWorkers, s.units, s.running
	s.utilization = s.measureUtilization()
	if buffers.racks == nil {
		buffers.racks = placement.NewRacks(s.workers)
	}
	s.racks = buffers.racks
	placement.UpdateRackFree(s.workers, s.racks)
	return s
}

// addWorker adds a worker and the units that use its resources.
func (p *Pool) addWorker(s *snapshot, w *worker, zones evacuation.Set, zonesFresh bool) {
	workerIndex := len(s.workers)
	entry := placement.Worker{
		Rack: w.rack, Capacity: w.Capacity, Slow: p.avoidedByGangs(w), Free: w.Capacity, Usable: p.usable(w, s.now),
		Cordoned:    zones.Contains(w.Zone),
		Allocations: reusedAllocations(s.workers),
	}
	if !p.options.DisabledSafeguards.Evacuations && (entry.Cordoned || !zonesFresh) {
		entry.Usable = false
	}
	for _, m := range w.members {
		if m.unit.isolated() && entry.Usable {
			entry.Usable, s.isolated[workerIndex] = false, true
		}
		requirements := m.unit.spec().Requirements()
		entry.Free = entry.Free.Minus(requirements)
		if m.unit.runsIndefinitely() {
			entry.Indefinite = entry.Indefinite.Plus(requirements)
		}
		index := p.unitIndex(s, m.unit)
		s.units[index].Workers = append(s.units[index].Workers, workerIndex)
		entry.Allocations = append(entry.Allocations, placement.Allocation{Unit: index, Resources: requirements})
	}
	entry.Free = w.subtractUnexpected(entry.Free, s.now)
	s.workers = append(s.workers, entry)
	s.poolWorkers = append(s.poolWorkers, w)
}

// reusedAllocations returns the next worker's list of allocations in the previous snapshot, emptied
// for reuse.
func reusedAllocations(workers []placement.Worker) []placement.Allocation {
	if len(workers) == cap(workers) {
		return nil
	}
	return workers[:len(workers)+1][len(workers)].Allocations[:0]
}

// reusedPlaces returns the next unit's list of workers in the previous snapshot, emptied for reuse.
func reusedPlaces(units []placement.Unit) []int {
	if len(units) == cap(units) {
		return nil
	}
	return units[:len(units)+1][len(units)].Workers[:0]
}

// unitIndex returns the index of a unit in the snapshot and adds the unit if it is new.
func (p *Pool) unitIndex(s *snapshot, u *unit) int {
	if u.snapshotGeneration == p.snapshotBuffers.generation {
		return u.snapshotIndex
	}
	u.snapshotGeneration, u.snapshotIndex = p.snapshotBuffers.generation, len(s.units)
	described := p.placementUnit(u, s.now)
	described.Workers = reusedPlaces(s.units)
	s.units = append(s.units, described)
	s.running = append(s.running, u)
	return u.snapshotIndex
}

// measureUtilization returns the utilization of the most used resource, with the placements of this
// cycle, on workers that are usable or isolated.
func (s *snapshot) measureUtilization() float64 {
	var total, free taskgraph.Resources
	for i := range s.workers {
		if s.workers[i].Usable || s.isolated[i] {
			total = total.Plus(s.poolWorkers[i].Capacity)
			free = free.Plus(s.workers[i].Free)
		}
	}
	return max(usedShare(total.CPU, free.CPU), usedShare(total.MemoryMB, free.MemoryMB), usedShare(total.GPUs, free.GPUs))
}

func usedShare(total, free int) float64 {
	if total == 0 {
		return 0
	}
	return 1 - float64(free)/float64(total)
}

// usable reports whether a worker may take new work.
func (p *Pool) usable(w *worker, now time.Time) bool {
	return w.contacted && !w.awaitsFence() && w.unansweredCalls == 0 && p.canListRun(w) && w.unverifiedRow == nil && p.usageKnown(w, now) && !w.drainingOrUnlisted() && now.After(w.excludedUntil) && now.After(w.failingUntil)
}

// placementUnit describes a unit that uses resources to package placement.
func (p *Pool) placementUnit(u *unit, now time.Time) placement.Unit {
	described := placement.Unit{Resources: u.spec().Requirements(), Remaining: p.remaining(u, now), PreemptionCost: -1, Priority: u.job.Queue.Priority}
	switch {
	case u.state == unitStopping || u.state == unitEnded:
		described.Remaining = min(described.Remaining, p.options.Bounds.StopTimeout)
		described.PreemptionCost = 0
	case u.state == unitActive && u.job.Queue.Priority > 0 && !u.spec().LongRunning:
		described.PreemptionCost = max(minPreemptionCost, p.preemptionCost(u, now))
	}
	return described
}

// request returns the placement request of a unit, without the workers that are excluded for it.
func (s *snapshot) request(u *unit) *placement.Request {
	request := s.requestOnAny(u)
	if s.exclusionApplies(u) {
		return restrict(request, s.notExcluded(u))
	}
	return request
}

// requestOnAny returns the placement request of a unit that may use any worker with its label.
func (s *snapshot) requestOnAny(u *unit) *placement.Request {
	spec := u.spec()
	request := &placement.Request{Resources: spec.Requirements(), Count: len(u.members), Priority: u.job.Queue.Priority, MaxPerWorker: spec.MaxPerWorker}
	if spec.RequiredLabel != "" {
		request.Allowed = func(i int) bool { return s.poolWorkers[i].HasLabel(spec.RequiredLabel) }
	}
	if spec.MaxPerWorker > 0 {
		request.Present = func(i int) int {
			count := 0
			for _, m := range s.poolWorkers[i].members {
				if m.unit.step == u.step {
					count++
				}
			}
			return count
		}
	}
	return request
}
