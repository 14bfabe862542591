package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// reservation sets capacity aside for an overdue job from a date on. Other work
// may use it until then.
type reservation struct {
	owner *entry
	at    time.Time
	// amounts is what the owner will need on each worker.
	amounts map[cluster.WorkerID]cluster.Amount
}

// reservations holds the dated reservations of a scheduler.
type reservations struct {
	scheduler *Scheduler
	list      []*reservation
	byWorker  map[cluster.WorkerID]*reservation
}

func newReservations(s *Scheduler) *reservations {
	return &reservations{scheduler: s, byWorker: map[cluster.WorkerID]*reservation{}}
}

// limit lowers how many members of e a worker takes, so that what is reserved
// there is free at its date. Work that ends before the date is not limited.
func (r *reservations) limit(e *entry, id cluster.WorkerID, count int) int {
	if len(r.list) == 0 {
		return count
	}
	held, ok := r.byWorker[id]
	if !ok || held.owner == e || !r.scheduler.now.Add(e.remaining).After(held.at) {
		return count
	}
	spare := r.scheduler.freeAt(id, held.at).Minus(held.amounts[id])
	return min(count, spare.Holds(e.need))
}

// freeAt estimates what a worker has free at a later time if nothing starts.
func (s *Scheduler) freeAt(id cluster.WorkerID, at time.Time) cluster.Amount {
	free := s.cluster.Workers[id].Free
	for _, other := range s.occupants[id] {
		if !other.estimatedEnd().After(at) {
			free = free.Plus(other.amountOn(id))
		}
	}
	return free
}

// expire drops reservations whose date has passed; their owners make new ones.
func (r *reservations) expire() {
	for _, held := range slices.Clone(r.list) {
		if r.scheduler.now.After(held.at) {
			r.drop(held)
		}
	}
}

func (r *reservations) release(owner *entry) {
	if held := r.of(owner); held != nil {
		r.drop(held)
	}
}

func (r *reservations) forgetWorker(id cluster.WorkerID) {
	if held, ok := r.byWorker[id]; ok {
		r.drop(held)
	}
}

func (r *reservations) of(owner *entry) *reservation {
	for _, held := range r.list {
		if held.owner == owner {
			return held
		}
	}
	return nil
}

func (r *reservations) drop(held *reservation) {
	for id := range held.amounts {
		delete(r.byWorker, id)
	}
	r.list = slices.DeleteFunc(r.list, func(other *reservation) bool { return other == held })
}

// reserve makes a dated reservation at the earliest date at which the whole gang
// is expected to fit.
func (r *reservations) reserve(owner *entry) {
	if len(r.list) >= r.scheduler.policy.Reservations || r.of(owner) != nil {
		return
	}
	best := r.best(owner)
	if best == nil {
		return
	}
	r.list = append(r.list, best)
	for id := range best.amounts {
		r.byWorker[id] = best
	}
}

// best returns the reservation that could be made for the job now, or nil.
func (r *reservations) best(owner *entry) *reservation {
	var best *reservation
	for _, workers := range r.scheduler.reservationScopes(owner) {
		held := r.earliest(owner, workers)
		if held != nil && (best == nil || held.at.Before(best.at)) {
			best = held
		}
	}
	return best
}

// reservationScopes are the groups of workers that the whole gang may be within.
func (s *Scheduler) reservationScopes(e *entry) [][]cluster.WorkerID {
	if e.spec.Spread == job.SpreadRack {
		return s.pushScopes(e)
	}
	var scopes [][]cluster.WorkerID
	for i := range s.cluster.Zones {
		if e.spec.Zone == "" || s.cluster.Zones[i].Name == e.spec.Zone {
			scopes = append(scopes, s.workersOf(s.cluster.Zones[i].Racks))
		}
	}
	if e.spec.Zone == "" && e.spec.Spread == job.SpreadRegion {
		for _, racks := range s.regionScopes() {
			scopes = append(scopes, s.workersOf(racks))
		}
	}
	if e.spec.Zone == "" && e.spec.Spread == job.SpreadAny {
		scopes = append(scopes, s.workersOf(s.allRacks()))
	}
	return scopes
}

// release is capacity that is expected to come free.
type release struct {
	at     time.Time
	worker cluster.WorkerID
	amount cluster.Amount
}

func (r *reservations) earliest(owner *entry, workers []cluster.WorkerID) *reservation {
	free := map[cluster.WorkerID]cluster.Amount{}
	var releases []release
	for _, id := range workers {
		if _, held := r.byWorker[id]; held || !r.scheduler.cluster.Workers[id].Schedulable {
			continue
		}
		free[id] = r.scheduler.cluster.Workers[id].Free
		for _, other := range r.scheduler.occupants[id] {
			releases = append(releases, release{other.estimatedEnd(), id, other.amountOn(id)})
		}
	}
	slices.SortFunc(releases, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	at := r.scheduler.now
	room := roomIn(free, workers, owner.need)
	for next := 0; room < owner.spec.Members; next++ {
		if next == len(releases) {
			return nil
		}
		gone := releases[next]
		room -= free[gone.worker].Holds(owner.need)
		free[gone.worker] = free[gone.worker].Plus(gone.amount)
		room += free[gone.worker].Holds(owner.need)
		at = gone.at
	}
	held := &reservation{owner: owner, at: later(at, r.scheduler.now), amounts: map[cluster.WorkerID]cluster.Amount{}}
	for _, run := range runsOf(placeIn(free, workers, owner)) {
		held.amounts[run.worker] = owner.need.Times(run.members)
	}
	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
