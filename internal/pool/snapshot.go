package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// snapshot is what one cycle decides over.
type snapshot struct {
	now     time.Time
	workers []placement.Worker
	owners  []*worker
	index   map[*worker]int
	racks   *placement.Racks
	units   []placement.Unit
	running []*unit
	// usage is the share of the pool's room that is taken, of the scarcest kind.
	usage float64
	// headrooms has, by priority, the racks that patient units leave to others.
	headrooms []map[string]bool
	// reservations is how many more units may keep room free.
	reservations int
	// reserved has room kept for units that wait, by worker.
	reserved map[int]reservation
}

// reservation is room on one worker that is wanted at a time.
type reservation struct {
	after time.Duration
	// spare is what others may hold beyond then.
	spare taskgraph.Amount
}

// placementClass groups units for which the answer is the same in one cycle.
type placementClass struct {
	step *step
	gang bool
}

func classOf(u *unit) placementClass {
	return placementClass{step: u.step, gang: u.spec().Gang}
}

func (p *Pool) snapshot() *snapshot {
	now := p.loop.Now()
	s := &snapshot{now: now, index: map[*worker]int{}, reservations: reservationLimit, reserved: map[int]reservation{},
		headrooms: make([]map[string]bool, len(headroomShares))}
	numbers := map[*unit]int{}
	for _, w := range p.sortedWorkers() {
		entry := placement.Worker{Rack: w.rack, Capacity: w.Capacity, Slow: p.slow(w), Free: w.Capacity, Usable: p.usable(w, now)}
		place := len(s.workers)
		for _, m := range w.members {
			room := m.unit.spec().Room()
			entry.Free = entry.Free.Minus(room)
			number, known := numbers[m.unit]
			if !known {
				number = len(s.units)
				numbers[m.unit] = number
				s.units = append(s.units, p.describeUnit(m.unit, now))
				s.running = append(s.running, m.unit)
			}
			s.units[number].Places = append(s.units[number].Places, place)
			entry.Holders = append(entry.Holders, placement.Holder{Unit: number, Room: room})
		}
		for _, room := range w.strangers {
			entry.Free = entry.Free.Minus(room)
		}
		s.index[w] = place
		s.workers = append(s.workers, entry)
		s.owners = append(s.owners, w)
	}
	s.usage = usageOf(s.owners, s.workers)
	s.racks = placement.NewRacks(s.workers)
	placement.MeasureRacks(s.workers, s.racks)
	return s
}

// usageOf returns the share of all room that is taken, of the scarcest kind.
func usageOf(owners []*worker, workers []placement.Worker) float64 {
	var all, free taskgraph.Amount
	for i := range workers {
		if workers[i].Usable {
			all = all.Plus(owners[i].Capacity)
			free = free.Plus(workers[i].Free)
		}
	}
	return max(takenShare(all.CPU, free.CPU), takenShare(all.MemoryMB, free.MemoryMB), takenShare(all.GPUs, free.GPUs))
}

func takenShare(all, free int) float64 {
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// usable reports whether a worker may take new work.
func (p *Pool) usable(w *worker, now time.Time) bool {
	return w.greeted && w.unanswered == 0 && !w.leaving() && now.After(w.penaltyUntil)
}

// describeUnit renders a unit that holds room.
func (p *Pool) describeUnit(u *unit, now time.Time) placement.Unit {
	described := placement.Unit{Room: u.spec().Room(), Remaining: p.remaining(u, now), Loss: -1, Priority: u.job.Queue.Priority}
	switch {
	case u.state == unitStopping || u.state == unitEnded:
		described.Remaining = min(described.Remaining, p.options.Bounds.StopTimeout)
		described.Loss = 0
	case u.state == unitActive && u.job.Queue.Priority > 0 && !u.spec().LongRunning:
		described.Loss = max(leastLoss, p.stopLoss(u, now))
	}
	return described
}

// request renders what a unit asks for.
func (s *snapshot) request(u *unit) *placement.Request {
	spec := u.spec()
	request := &placement.Request{Room: spec.Room(), Count: len(u.members), Priority: u.job.Queue.Priority, MaxPerWorker: spec.MaxPerWorker}
	request.Allowed = func(i int) bool {
		w := s.owners[i]
		return !u.avoid[w.ID] && w.HasLabel(spec.RequiredLabel)
	}
	if spec.MaxPerWorker > 0 {
		request.Present = func(i int) int {
			count := 0
			for _, m := range s.owners[i].members {
				if m.unit.step == u.step {
					count++
				}
			}
			return count
		}
	}
	return request
}
