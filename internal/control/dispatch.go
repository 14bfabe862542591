package control

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// reserve begins an attempt: every worker of the gang sets capacity aside, or the
// attempt does not happen.
func (d *domain) reserve(owned *ownedJob, placement []cluster.WorkerID) {
	if owned == nil || owned.phase != phaseQueued {
		return
	}
	d.inFlight++
	d.queuedAccelerators -= int64(owned.record.Spec.TotalAccelerators())
	owned.phase = phaseReserving
	owned.attempt = max(owned.attempt, owned.record.Attempt) + 1
	owned.parts = d.layout(placement)
	owned.failedParts = false
	owned.reservedAt = d.node.loop.Now()
	owned.outstanding = len(owned.parts)
	d.node.record.Count(CounterAttempts, "reserve")
	for _, name := range sortedKeys(owned.parts) {
		d.reservePart(owned, name)
	}
}

func (d *domain) reservePart(owned *ownedJob, name string) {
	w := d.workers[name]
	part := owned.parts[name]
	w.attempts[owned.key()] = owned
	timing := &d.node.options.Timing
	order := owned.partOrder(worker.Reserve, part)
	order.ReserveSeconds = timing.Reservation.Seconds()
	part.mayStartUntil = d.node.loop.Now().Add(timing.OrderTimeout + timing.Reservation)
	attempt := owned.attempt
	d.send(w, order, func(reply worker.Reply, err error) {
		if owned.attempt != attempt || owned.phase != phaseReserving {
			return
		}
		switch {
		case err != nil:
			owned.failedParts = true
			d.suspectWorker(w)
		case reply.Draining && !d.node.options.Mechanisms.WithoutWorkerLeaving:
			owned.failedParts = true
		case reply.Refusal != worker.RefusedNone:
			owned.failedParts = true
			if reply.Refusal == worker.RefusedNoCapacity {
				d.suspectWorker(w)
			}
		default:
			d.setPart(part, worker.TaskReserved)
			if d.node.options.Mechanisms.WithoutGangCommit {
				d.startPart(owned, name)
			}
		}
		if owned.outstanding--; owned.outstanding == 0 {
			d.reserved(owned)
		}
	})
}

func (d *domain) setPart(part *attemptPart, state worker.TaskState) {
	part.state = state
	part.since = d.node.loop.Now()
}

// reserved commits the placement once every worker agreed.
func (d *domain) reserved(owned *ownedJob) {
	if owned.failedParts || owned.reason != "" || !d.leaseValid() {
		d.releaseAttempt(owned)
		return
	}
	owned.phase = phaseCommitting
	record := owned.record.Clone()
	record.State = job.Running
	record.Attempt = owned.attempt
	record.Epoch = d.epoch
	record.Placement = owned.assignments()
	record.StartedAt = d.node.loop.Now().UTC().Truncate(time.Millisecond)
	record.Outcome = fault.MayHaveRun
	d.update(owned, record, func() { d.committed(owned) })
}

// update replaces a job's row. A conflict means that another owner wrote it, which
// the epoch excludes; the domain is then dropped.
func (d *domain) update(owned *ownedJob, record *job.Record, done func()) {
	key := jobKey(d.name, record.Key())
	d.writer.add(&change{
		conditions: []store.Condition{{Key: key, Revision: owned.revision}},
		writes:     []store.Write{write(key, record)},
		done: func(result writeResult, revision int64) {
			if result != written {
				d.drop("row_conflict")
				return
			}
			owned.record = record
			owned.revision = revision
			d.node.record.Count(CounterTransitions, string(record.State))
			done()
		},
	})
}

// releaseAttempt gives up an attempt of which nothing was committed. Releases that
// get lost are made good by the reservations' own end.
func (d *domain) releaseAttempt(owned *ownedJob) {
	d.node.record.Count(CounterRetries, "reservation_failed")
	for _, name := range sortedKeys(owned.parts) {
		part := owned.parts[name]
		w := d.workers[name]
		delete(w.attempts, owned.key())
		d.send(w, owned.partOrder(worker.Release, part), func(worker.Reply, error) {})
	}
	d.inFlight--
	owned.parts = nil
	d.requeue(owned, true)
}

// requeue puts a job back in the queue, after a pause when the last try failed.
func (d *domain) requeue(owned *ownedJob, failed bool) {
	owned.reason = ""
	owned.phase = phaseQueued
	d.queuedAccelerators += int64(owned.record.Spec.TotalAccelerators())
	if owned.record.CancelRequested {
		d.cancelQueued(owned)
		return
	}
	back := func() {
		if owned.phase == phaseQueued && !d.gone {
			d.scheduler.Requeue(d.node.loop.Now(), owned.key(), owned.remaining())
			d.wake()
		}
	}
	if failed {
		owned.retries++
		d.node.loop.After(d.node.backoff(owned.retries), back)
	} else {
		back()
	}
	d.tryHandBack()
}

// committed orders the members to start, unless so much time went by that the
// reservations may be gone.
func (d *domain) committed(owned *ownedJob) {
	timing := &d.node.options.Timing
	if owned.record.CancelRequested {
		owned.reason = stopCancelled
	}
	if owned.reason != "" {
		d.takeDown(owned)
		return
	}
	if d.node.loop.Now().Sub(owned.reservedAt) > timing.Reservation/2 || !d.leaseValid() {
		owned.reason = stopExpired
		d.takeDown(owned)
		return
	}
	owned.phase = phaseStarting
	owned.outstanding = len(owned.parts)
	for _, name := range sortedKeys(owned.parts) {
		d.startPart(owned, name)
	}
}

func (d *domain) startPart(owned *ownedJob, name string) {
	w := d.workers[name]
	part := owned.parts[name]
	order := owned.partOrder(worker.Start, part)
	// The first lease is short, so that a gang of which only some parts were started
	// stops by itself soon; allStarted extends it.
	order.LeaseSeconds = d.node.options.Timing.Reservation.Seconds()
	order.ProgressSeconds = owned.record.ProgressSeconds
	order.Payload = owned.record.Spec.Payload
	attempt := owned.attempt
	part.startTries++
	d.send(w, order, func(reply worker.Reply, err error) {
		if owned.attempt != attempt || owned.phase != phaseStarting || part.ended {
			return
		}
		switch {
		case err != nil:
			d.suspectWorker(w)
			d.confirmStart(owned, name)
		case reply.Refusal != worker.RefusedNone:
			d.partEnded(owned, name, worker.Task{State: worker.TaskStopped})
		default:
			d.partStarted(owned, part)
		}
	})
}

func (d *domain) partStarted(owned *ownedJob, part *attemptPart) {
	if part.started || owned.phase != phaseStarting {
		return
	}
	part.started = true
	d.setPart(part, worker.TaskRunning)
	if owned.outstanding--; owned.outstanding > 0 {
		return
	}
	d.allStarted(owned)
}

// allStarted gives the whole gang its full lease.
func (d *domain) allStarted(owned *ownedJob) {
	d.inFlight--
	owned.phase = phaseRunning
	for _, name := range sortedKeys(owned.parts) {
		d.renewWorker(d.workers[name])
	}
	d.checkFinished(owned)
	d.tryHandBack()
}

// startRetries bounds how often a start order is repeated for a job that may be.
const startRetries = 3

// confirmStart finds out what became of a start order whose answer was lost. Only
// a job that may be repeated gets the order a second time.
func (d *domain) confirmStart(owned *ownedJob, name string) {
	w := d.workers[name]
	part := owned.parts[name]
	attempt := owned.attempt
	d.send(w, worker.Order{Action: worker.Renew}, func(reply worker.Reply, err error) {
		if owned.attempt != attempt || owned.phase != phaseStarting || part.started || part.ended {
			return
		}
		if err != nil {
			// The others must not go on without this part.
			owned.reason = stopLost
			d.takeDown(owned)
			return
		}
		task, found := findTask(reply.Tasks, owned.key(), attempt)
		switch {
		case !found:
			d.partEnded(owned, name, worker.Task{State: worker.TaskStopped})
		case task.State == worker.TaskRunning:
			d.partStarted(owned, part)
		case task.State == worker.TaskReserved && d.mayRepeatStart(owned, part):
			d.node.record.Count(CounterRetries, "start")
			d.startPart(owned, name)
		case task.State == worker.TaskReserved:
			owned.reason = stopLost
			d.takeDown(owned)
		default:
			d.partEnded(owned, name, task)
		}
	})
}

func (d *domain) mayRepeatStart(owned *ownedJob, part *attemptPart) bool {
	if d.node.options.Mechanisms.WithoutSingleDispatch {
		return true
	}
	return owned.record.Spec.Repeatable && part.startTries < startRetries
}

func findTask(tasks []worker.Task, key job.Key, attempt int) (worker.Task, bool) {
	for _, task := range tasks {
		if task.Tenant == key.Tenant && task.Job == key.ID && task.Attempt == attempt {
			return task, true
		}
	}
	return worker.Task{}, false
}
