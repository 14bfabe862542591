package control

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// workerState is what a domain's owner knows of one worker.
type workerState struct {
	name    string
	address string
	rack    string
	listed  machines.Status
	// saidLeaving is set by a refusal or report of the worker itself, which is
	// earlier than the lagging list.
	saidLeaving bool
	// suspect workers did not answer; they get no new work until they do.
	suspect bool
	// extendedAt is when the last renewal that extends leases was sent.
	extendedAt time.Time
	// attempts are the attempts on this worker by job.
	attempts map[job.Key]*ownedJob
	renewing bool
}

func (w *workerState) drained(racks []string) bool { return slices.Contains(racks, w.rack) }

// send delivers an order under the domain's epoch and handles what every reply
// can say. Orders are not sent by a domain whose lease has run out, except for
// renewals, which keep running work alive while the store is away.
func (d *domain) send(w *workerState, order worker.Order, done func(worker.Reply, error)) {
	order.Domain = d.name
	order.Epoch = d.epoch
	d.node.record.Count(CounterWorker, string(order.Action))
	d.node.ports.Send(w.name, w.address, order, func(reply worker.Reply, err error) {
		if d.gone {
			return
		}
		if err == nil && reply.Refusal == worker.RefusedStaleEpoch {
			d.node.record.Count(CounterRefusals, "worker_stale_epoch")
			d.drop("stale_epoch")
			return
		}
		if err == nil {
			d.heard(w, reply)
		} else {
			d.node.record.Count(CounterRetries, "worker_"+string(order.Action))
		}
		done(reply, err)
	})
}

// heard notes what a reply says of the worker itself.
func (d *domain) heard(w *workerState, reply worker.Reply) {
	if reply.Refusal != worker.RefusedNone {
		d.node.record.Count(CounterRefusals, "worker_"+string(reply.Refusal))
	}
	if reply.Draining != w.saidLeaving || w.suspect {
		w.saidLeaving = reply.Draining
		w.suspect = false
		d.updateSchedulable(w)
	}
}

func (d *domain) suspectWorker(w *workerState) {
	if w.suspect {
		return
	}
	w.suspect = true
	d.updateSchedulable(w)
	d.node.loop.After(d.node.backoff(0), func() { d.renewWorker(w) })
}

// renewSlots spreads the renewals of a domain's workers over the period.
const renewSlots = 16

func (d *domain) renewTick() {
	if d.gone || d.node.stopped {
		return
	}
	d.renewSlot = (d.renewSlot + 1) % renewSlots
	for index, name := range sortedKeys(d.workers) {
		w := d.workers[name]
		if index%renewSlots == d.renewSlot && (len(w.attempts) > 0 || w.suspect) {
			d.renewWorker(w)
		}
	}
	d.wake()
	d.node.loop.After(d.node.options.Timing.WorkerRenewal/renewSlots, d.renewTick)
}

// renewWorker extends the lease of what runs on a worker and compares what the
// worker has with what it should have. A suspect worker is asked without extending
// anything, so that the time at which its lease has surely run out stands still.
func (d *domain) renewWorker(w *workerState) {
	if d.gone || w.renewing || w.listed == machines.Gone && len(w.attempts) == 0 {
		return
	}
	w.renewing = true
	sent := d.node.loop.Now()
	order := worker.Order{Action: worker.Renew, Digest: worker.Digest(w.expected())}
	if !w.suspect {
		order.LeaseSeconds = d.node.options.Timing.WorkerLease.Seconds()
		w.extendedAt = sent
	}
	extended := !w.suspect
	d.send(w, order, func(reply worker.Reply, err error) {
		w.renewing = false
		if err != nil {
			d.renewalFailed(w)
			return
		}
		if !reply.TasksUnchanged {
			d.reconcile(w, reply.Tasks, sent)
		}
		if !extended && !d.gone {
			d.renewWorker(w)
		}
	})
}

// expected lists what should be on the worker, for the digest of a renewal.
func (w *workerState) expected() []worker.Task {
	var tasks []worker.Task
	for key, owned := range w.attempts {
		if part := owned.parts[w.name]; part != nil {
			tasks = append(tasks, worker.Task{Tenant: key.Tenant, Job: key.ID, Attempt: owned.attempt, State: part.state})
		}
	}
	return tasks
}

// lapseMargin is added to a worker's lease for clocks that run at different rates.
const lapseMargin = time.Second

// lapsesAt is when a part of an attempt on an unreachable worker has surely
// stopped by itself: a lease after the last order that could have extended or
// started it, which may have arrived as late as its time limit.
func (d *domain) lapsesAt(w *workerState, part *attemptPart) time.Time {
	timing := &d.node.options.Timing
	last := w.extendedAt.Add(timing.OrderTimeout)
	if part.mayStartUntil.After(last) {
		last = part.mayStartUntil
	}
	return last.Add(timing.WorkerLease + lapseMargin)
}

// renewalFailed gives an unreachable worker's work up once its lease has run out.
func (d *domain) renewalFailed(w *workerState) {
	if !w.suspect {
		w.suspect = true
		d.updateSchedulable(w)
	}
	now := d.node.loop.Now()
	for _, key := range sortedJobs(w.attempts) {
		owned := w.attempts[key]
		part := owned.parts[w.name]
		if part != nil && !now.Before(d.lapsesAt(w, part)) {
			d.partEnded(owned, w.name, worker.Task{State: worker.TaskStopped})
		}
	}
	d.node.loop.After(d.node.backoff(probeRetry), func() {
		if w.suspect {
			d.renewWorker(w)
		}
	})
}

// probeRetry places the pause between probes of a suspect worker well into the
// backoff.
const probeRetry = 4
