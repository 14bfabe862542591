package schedule

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// Scheduler holds the queue, the running jobs and the witness of one scheduling
// domain. It is not safe for concurrent use.
type Scheduler struct {
	policy  Policy
	cluster *cluster.State
	now     time.Time
	queue   *queue
	entries map[job.Key]*entry
	// occupants lists the jobs on each worker: running, vacating and booked.
	occupants [][]*entry
	witness   *witness
	holds     *reservations
	demand    *demand
	quotas    map[string]int
	usage     map[string]int
	decisions []Decision
	// freed says that capacity was freed since the last full cycle.
	freed bool
	// fresh are the jobs queued since the last cycle.
	fresh []*entry
	// tenants are as last configured.
	tenants []declaration.Tenant
	// idle is the twin that FitsFirm asks; nil until it is needed.
	idle *Scheduler
	// fullAt is when the last full cycle ran.
	fullAt time.Time
	// movedAt is when jobs were last moved together, moveCursor where to look next.
	movedAt    time.Time
	moveCursor int
	// pushCursor is where to look next for others to push out.
	pushCursor int
	// Considered counts placement attempts, for measurements.
	Considered int64
}

// New returns a scheduler over the given capacity, which it owns from then on.
func New(policy Policy, state *cluster.State) *Scheduler {
	s := &Scheduler{
		policy: policy, cluster: state, queue: newQueue(), entries: map[job.Key]*entry{},
		demand: newDemand(), quotas: map[string]int{}, usage: map[string]int{},
	}
	s.witness = newWitness(s)
	s.holds = newReservations(s)
	return s
}

// Cluster returns the capacity that the scheduler works on, for reading.
func (s *Scheduler) Cluster() *cluster.State { return s.cluster }

// Configure puts tenants' quotas and guarantees in force. It returns how many
// guaranteed members have no place on the present machines.
func (s *Scheduler) Configure(now time.Time, tenants []declaration.Tenant) int {
	s.now = now
	s.tenants = tenants
	s.idle = nil
	s.quotas = map[string]int{}
	for i := range tenants {
		s.quotas[tenants[i].Name] = tenants[i].Quota.Accelerators
	}
	s.witness.configure(tenants)
	s.freed = true
	return s.witness.missing()
}

// AddWorker enters a worker, or marks a known one schedulable again.
func (s *Scheduler) AddWorker(now time.Time, name string, at cluster.Location, capacity cluster.Amount) {
	s.now = now
	s.idle = nil
	id := s.cluster.Add(name, at, capacity)
	for len(s.occupants) < len(s.cluster.Workers) {
		s.occupants = append(s.occupants, nil)
	}
	s.SetSchedulable(now, id, true)
}

// SetSchedulable lets a worker take new work or not. Work that runs there stays;
// the witness moves away from a worker that takes no new work.
func (s *Scheduler) SetSchedulable(now time.Time, id cluster.WorkerID, schedulable bool) {
	s.now = now
	s.cluster.SetSchedulable(id, schedulable)
	if !schedulable {
		s.witness.evict(id)
		s.holds.forgetWorker(id)
		s.cancelBookings(id)
	}
	s.witness.repair()
	s.freed = true
}

// cancelBookings puts jobs that were to start on the worker back in the queue.
func (s *Scheduler) cancelBookings(id cluster.WorkerID) {
	for _, e := range append([]*entry(nil), s.occupants[id]...) {
		if e.phase == booked {
			s.unplace(e)
			s.enqueue(e)
		}
	}
}

// Submit enters a job. Remaining is its estimated run time.
func (s *Scheduler) Submit(now time.Time, spec job.Spec, submitted time.Time, remaining time.Duration) {
	s.now = now
	e := &entry{
		key:       job.Key{Tenant: spec.Tenant, ID: spec.ID},
		spec:      spec,
		need:      cluster.PerMember(spec.Shape),
		submitted: submitted,
		remaining: remaining,
	}
	s.entries[e.key] = e
	s.demand.observe(spec.Shape, spec.Duration)
	s.enqueue(e)
}

// Restore enters a job that runs already, as found by recovery.
func (s *Scheduler) Restore(now time.Time, spec job.Spec, submitted, startedAt time.Time, remaining time.Duration, placement []cluster.WorkerID) {
	s.now = now
	e := &entry{
		key: job.Key{Tenant: spec.Tenant, ID: spec.ID}, spec: spec, need: cluster.PerMember(spec.Shape),
		submitted: submitted, remaining: remaining,
	}
	s.entries[e.key] = e
	e.firm = !spec.Repeatable
	if spec.Guaranteed {
		e.claims = s.witness.claimAt(e, placement)
		e.firm = e.firm || e.claims != nil
	}
	s.occupy(e, placement)
	s.witness.makeWay(placement)
	e.phase = running
	e.startedAt = startedAt
	e.endsAt = startedAt.Add(remaining)
}

func (s *Scheduler) enqueue(e *entry) {
	e.due = s.dueTime(e)
	s.queue.push(e)
	s.fresh = append(s.fresh, e)
}

const (
	lowPriorityStretch = 3
	lowPriorityDelay   = time.Hour
)

// dueTime is fixed when a job is queued. Jobs submitted after it never start in
// front of this one while both fit, which bounds how long it can be overtaken.
func (s *Scheduler) dueTime(e *entry) time.Time {
	if s.policy.StretchFactor == 0 {
		return e.submitted
	}
	stretch := time.Duration(s.policy.StretchFactor * float64(e.remaining))
	if e.spec.Priority == job.Low {
		stretch = lowPriorityStretch*stretch + lowPriorityDelay
	}
	return e.submitted.Add(stretch)
}

// Ended removes a job for good and frees what it occupied.
func (s *Scheduler) Ended(now time.Time, key job.Key) {
	s.now = now
	e, ok := s.entries[key]
	if !ok {
		return
	}
	if e.phase == waiting {
		s.queue.remove(e)
	} else {
		s.vacate(e)
	}
	s.holds.release(e)
	delete(s.entries, key)
}

// Requeue frees what a job occupied and puts it back in the queue with the run
// time that is left.
func (s *Scheduler) Requeue(now time.Time, key job.Key, remaining time.Duration) {
	s.now = now
	e, ok := s.entries[key]
	if !ok || e.phase == waiting {
		return
	}
	s.vacate(e)
	e.remaining = remaining
	s.enqueue(e)
}

// vacate frees a job's capacity and starts the booked jobs it kept waiting.
func (s *Scheduler) vacate(e *entry) {
	placement := e.placement
	s.unplace(e)
	for _, id := range placement {
		for _, other := range s.occupants[id] {
			delete(other.blockers, e)
		}
	}
	for _, id := range placement {
		for _, other := range append([]*entry(nil), s.occupants[id]...) {
			s.startIfReady(other)
		}
	}
}

func (s *Scheduler) startIfReady(e *entry) {
	if e.phase != booked || len(e.blockers) > 0 {
		return
	}
	e.phase = running
	e.startedAt = s.now
	e.endsAt = s.now.Add(e.remaining)
	s.decisions = append(s.decisions, Decision{Start: true, Job: e.key, Placement: e.placement})
}

// occupy books capacity for a job, which may be more than is free at present.
func (s *Scheduler) occupy(e *entry, placement []cluster.WorkerID) {
	e.placement = placement
	for index, id := range placement {
		s.cluster.Take(id, e.need, e.firm)
		if index == 0 || placement[index-1] != id {
			s.occupants[id] = append(s.occupants[id], e)
		}
	}
	s.usage[e.spec.Tenant] += e.accelerators()
}

func (s *Scheduler) unplace(e *entry) {
	for index, id := range e.placement {
		s.cluster.Take(id, e.need.Times(-1), e.firm)
		if index == 0 || e.placement[index-1] != id {
			s.occupants[id] = without(s.occupants[id], e)
		}
	}
	s.usage[e.spec.Tenant] -= e.accelerators()
	s.witness.unclaim(e)
	e.firm = false
	e.placement = nil
	e.blockers = nil
	e.beneficiary = nil
	s.freed = true
}

func without(list []*entry, e *entry) []*entry {
	for i := range list {
		if list[i] == e {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// Waiting returns how many jobs are queued.
func (s *Scheduler) Waiting() int { return s.queue.size }

// MissingWitness returns how many guaranteed members have no place at present.
func (s *Scheduler) MissingWitness() int { return s.witness.missing() }
