package control

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// jobPhase is where an owner is with a job, beyond what its record says.
type jobPhase int

const (
	// phaseAccepting jobs are on their way into the table.
	phaseAccepting jobPhase = iota
	phaseQueued
	// phaseReserving jobs wait for their workers to set capacity aside.
	phaseReserving
	// phaseCommitting jobs have their placement on its way into the table.
	phaseCommitting
	// phaseStarting jobs have their start orders on the way.
	phaseStarting
	phaseRunning
	// phaseStopping jobs are being taken down whole.
	phaseStopping
	// phaseEnding jobs have their end on its way into the table.
	phaseEnding
	phaseEnded
)

// stopReason is why an attempt is taken down.
type stopReason string

const (
	stopPreempted stopReason = "preempted"
	stopCancelled stopReason = "cancelled"
	stopLost      stopReason = "worker_lost"
	stopFailed    stopReason = "task_failed"
	stopExpired   stopReason = "reservation_expired"
)

// ownedJob is a job in a domain that this node owns.
type ownedJob struct {
	domain *domain
	// record is what the table holds.
	record   *job.Record
	revision int64
	phase    jobPhase
	// attempt numbers the attempt under way. It grows with every reservation, so
	// that a late release never hits a later reservation.
	attempt int
	// parts is the attempt's presence by worker.
	parts map[string]*attemptPart
	// outstanding counts answers awaited in the present phase.
	outstanding int
	// failedParts says that a part was refused or did not answer.
	failedParts bool
	reason      stopReason
	reservedAt  time.Time
	waiters     []func(*job.Record)
	retries     int
}

// attemptPart is the members of an attempt on one worker.
type attemptPart struct {
	members []int
	// state is what the owner believes; empty before the worker agreed.
	state worker.TaskState
	// since is when the state was entered.
	since         time.Time
	mayStartUntil time.Time
	started       bool
	ended         bool
	results       []worker.Result
	progress      float64
	hasProgress   bool
	startTries    int
}

func (o *ownedJob) key() job.Key { return o.record.Key() }

// remaining is the estimated run time left.
func (o *ownedJob) remaining() time.Duration {
	left := max(1, o.record.Spec.Duration-o.record.ProgressSeconds)
	return time.Duration(left * float64(time.Second))
}

// notify tells all waiters of the record's present state.
func (o *ownedJob) notify() {
	waiters := o.waiters
	o.waiters = nil
	for _, waiter := range waiters {
		waiter(o.record.Clone())
	}
}

// notifyLost releases waiters when the domain moves elsewhere.
func (o *ownedJob) notifyLost() { o.notify() }

// partOrder returns the fields of an order about one part.
func (o *ownedJob) partOrder(action worker.Action, part *attemptPart) worker.Order {
	spec := &o.record.Spec
	return worker.Order{
		Action: action, Tenant: spec.Tenant, Job: spec.ID, Attempt: o.attempt, Members: part.members,
		Accelerators: spec.Accelerators, CPUs: spec.CPUs, MemoryGB: spec.MemoryGB,
		CheckpointSeconds: spec.CheckpointSeconds,
	}
}

// layout groups a placement into parts by worker.
func (d *domain) layout(placement []cluster.WorkerID) map[string]*attemptPart {
	parts := map[string]*attemptPart{}
	for member, id := range placement {
		name := d.scheduler.Cluster().Workers[id].Name
		part, ok := parts[name]
		if !ok {
			part = &attemptPart{}
			parts[name] = part
		}
		part.members = append(part.members, member)
	}
	return parts
}

// assignments lists the parts by member.
func (o *ownedJob) assignments() []job.Assignment {
	list := make([]job.Assignment, o.record.Spec.Members)
	for name, part := range o.parts {
		for _, member := range part.members {
			list[member] = job.Assignment{Worker: name, Accelerators: o.record.Spec.Accelerators}
		}
	}
	return list
}

func sortedJobs[V any](m map[job.Key]V) []job.Key {
	keys := make([]job.Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b job.Key) int {
		if c := strings.Compare(a.Tenant, b.Tenant); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return keys
}

// outcomeOf says what is known about a job that is not running: nothing was
// ordered to start before the first attempt was committed.
func outcomeOf(record *job.Record) fault.Outcome {
	if record.Attempt == 0 {
		return fault.NotRun
	}
	return fault.MayHaveRun
}
