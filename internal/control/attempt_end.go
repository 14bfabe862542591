package control

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// partEnded notes that an attempt's members on one worker run no more. The first
// part that ends other than by finishing takes the whole attempt down.
func (d *domain) partEnded(owned *ownedJob, name string, task worker.Task) {
	part := owned.parts[name]
	if part == nil || part.ended || owned.phase < phaseStarting || owned.phase >= phaseEnding {
		return
	}
	if task.State == worker.TaskFinished {
		d.partStarted(owned, part)
	}
	part.ended = true
	d.setPart(part, task.State)
	part.results = task.Results
	part.progress = task.ProgressSeconds
	part.hasProgress = task.State == worker.TaskStopped && task.ProgressSeconds > 0
	switch {
	case owned.phase == phaseStopping:
		d.checkStopped(owned)
	case task.State == worker.TaskFinished:
		d.checkFinished(owned)
	case task.State == worker.TaskFailed:
		owned.reason = stopFailed
		d.takeDown(owned)
	default:
		owned.reason = stopLost
		d.takeDown(owned)
	}
}

// checkFinished ends the job once every part has finished.
func (d *domain) checkFinished(owned *ownedJob) {
	if owned.phase != phaseRunning || !owned.allFinished() {
		return
	}
	record := owned.record.Clone()
	record.State = job.Finished
	record.Outcome = fault.Ran
	record.Results = owned.results()
	d.end(owned, record)
}

func (o *ownedJob) allFinished() bool {
	for _, part := range o.parts {
		if part.state != worker.TaskFinished {
			return false
		}
	}
	return len(o.parts) > 0
}

// results lists the members' outputs in member order.
func (o *ownedJob) results() []job.MemberResult {
	results := make([]job.MemberResult, o.record.Spec.Members)
	for _, part := range o.parts {
		for index, member := range part.members {
			if index < len(part.results) {
				results[member] = job.MemberResult{Size: part.results[index].Size, Digest: part.results[index].Digest}
			}
		}
	}
	return results
}

// end moves a job's row to the ended ones and frees what it occupied.
func (d *domain) end(owned *ownedJob, record *job.Record) {
	owned.phase = phaseEnding
	record.Epoch = d.epoch
	record.FinishedAt = d.node.loop.Now().UTC().Truncate(time.Millisecond)
	key := jobKey(d.name, record.Key())
	d.writer.add(&change{
		conditions: []store.Condition{{Key: key, Revision: owned.revision}},
		writes:     []store.Write{write(DoneKey(d.name, record.Key()), record), {Key: key, Delete: true}},
		done: func(result writeResult, _ int64) {
			if result != written {
				d.drop("row_conflict")
				return
			}
			d.ended(owned, record)
		},
	})
}

func (d *domain) ended(owned *ownedJob, record *job.Record) {
	owned.phase = phaseEnded
	owned.record = record
	d.node.record.Count(CounterTransitions, string(record.State))
	d.scheduler.Ended(d.node.loop.Now(), record.Key())
	d.forgetParts(owned)
	owned.notify()
	d.node.loop.After(d.node.options.Timing.Keep, func() { delete(d.jobs, record.Key()) })
	d.wake()
}

// forgetParts lets the workers drop their memory of the attempt.
func (d *domain) forgetParts(owned *ownedJob) {
	for _, name := range sortedKeys(owned.parts) {
		w := d.workers[name]
		delete(w.attempts, owned.key())
		d.send(w, owned.partOrder(worker.DeleteEnded, owned.parts[name]), func(worker.Reply, error) {})
	}
	owned.parts = nil
}

// preempt makes a running job give way to another.
func (d *domain) preempt(owned *ownedJob, beneficiary job.Key) {
	if owned == nil || owned.phase < phaseReserving || owned.phase >= phaseStopping {
		return
	}
	owned.reason = stopPreempted
	d.node.record.Count(CounterAttempts, "preempt")
	if owned.phase < phaseStarting {
		// reserved and committed see the reason and give the attempt up.
		return
	}
	if !owned.record.Spec.Checkpoint || owned.phase == phaseStarting {
		d.takeDown(owned)
		return
	}
	d.beginStopping(owned)
	urgent := d.jobs[beneficiary]
	if urgent != nil && urgent.record.Spec.Priority == job.Urgent {
		d.hurry(owned)
	}
	for _, name := range sortedKeys(owned.parts) {
		d.stopPart(owned, name, worker.Checkpoint)
	}
}

// hurry slows a job that gives way to an urgent one, and stops it when saving its
// work would keep the urgent job waiting too long.
func (d *domain) hurry(owned *ownedJob) {
	for _, name := range sortedKeys(owned.parts) {
		d.send(d.workers[name], owned.partOrder(worker.Throttle, owned.parts[name]), func(worker.Reply, error) {})
	}
	attempt := owned.attempt
	d.node.loop.After(d.node.options.Timing.UrgentGrace, func() {
		if owned.attempt == attempt && owned.phase == phaseStopping && !d.gone {
			d.takeDown(owned)
		}
	})
}

func (d *domain) beginStopping(owned *ownedJob) {
	if owned.phase == phaseCommitting || owned.phase == phaseStarting {
		d.inFlight--
	}
	owned.phase = phaseStopping
}

// takeDown stops every part of an attempt.
func (d *domain) takeDown(owned *ownedJob) {
	d.beginStopping(owned)
	for _, name := range sortedKeys(owned.parts) {
		d.stopPart(owned, name, worker.Stop)
	}
	d.checkStopped(owned)
	d.tryHandBack()
}

// stopPart orders one part to end and sees to it that it does. A checkpoint ends
// by its report; a stop is done when the worker says so.
func (d *domain) stopPart(owned *ownedJob, name string, action worker.Action) {
	part := owned.parts[name]
	if part.ended {
		return
	}
	attempt := owned.attempt
	w := d.workers[name]
	d.send(w, owned.partOrder(action, part), func(reply worker.Reply, err error) {
		if owned.attempt != attempt || owned.phase != phaseStopping || part.ended {
			return
		}
		switch {
		case err != nil:
			d.retryStop(owned, name, action)
		case action == worker.Stop || reply.Refusal == worker.RefusedUnknownTask:
			d.partStopped(owned, part)
		}
	})
}

func (d *domain) partStopped(owned *ownedJob, part *attemptPart) {
	part.ended = true
	d.setPart(part, worker.TaskStopped)
	d.checkStopped(owned)
}

func (d *domain) retryStop(owned *ownedJob, name string, action worker.Action) {
	part := owned.parts[name]
	w := d.workers[name]
	d.suspectWorker(w)
	if !d.node.loop.Now().Before(d.lapsesAt(w, part)) {
		d.partStopped(owned, part)
		return
	}
	attempt := owned.attempt
	d.node.loop.After(d.node.backoff(probeRetry), func() {
		if !d.gone && owned.attempt == attempt && owned.phase == phaseStopping && !part.ended {
			d.stopPart(owned, name, action)
		}
	})
}

// maxAttempts bounds how often a job that keeps losing its workers is run.
const maxAttempts = 20

// checkStopped settles the job once no part of the attempt runs any more.
func (d *domain) checkStopped(owned *ownedJob) {
	if owned.phase != phaseStopping {
		return
	}
	for _, part := range owned.parts {
		if !part.ended {
			return
		}
	}
	record := owned.record.Clone()
	record.Epoch = d.epoch
	switch {
	case owned.allFinished():
		record.State, record.Outcome, record.Results = job.Finished, fault.Ran, owned.results()
	case owned.reason == stopCancelled:
		record.State, record.Outcome, record.Reason = job.Canceled, fault.MayHaveRun, fault.Cancelled
	case owned.reason == stopFailed:
		record.State, record.Outcome, record.Reason = job.Failed, fault.Ran, fault.TaskFailed
	case owned.reason == stopExpired:
		d.queueAgain(owned, record)
		return
	case d.mayRunAgain(record):
		d.queueAgain(owned, record)
		return
	default:
		record.State, record.Outcome, record.Reason = job.Failed, fault.MayHaveRun, fault.AttemptLost
		record.Detail = "a worker was lost while the job ran"
	}
	d.end(owned, record)
}

func (d *domain) mayRunAgain(record *job.Record) bool {
	if d.node.options.Mechanisms.WithoutSingleDispatch {
		return true
	}
	return record.Spec.Repeatable && record.Attempt < maxAttempts
}

// queueAgain writes the job back to the queue with what its checkpoints saved. An
// attempt that no start order left for counts as not run.
func (d *domain) queueAgain(owned *ownedJob, record *job.Record) {
	owned.phase = phaseEnding
	record.State = job.Queued
	record.Placement = nil
	record.Outcome = outcomeOf(record)
	if owned.reason == stopPreempted {
		record.Preempted++
	}
	if saved, ok := owned.savedProgress(); ok {
		record.ProgressSeconds = max(record.ProgressSeconds, saved)
	}
	d.node.record.Count(CounterAttempts, string(owned.reason))
	d.update(owned, record, func() {
		d.forgetParts(owned)
		d.requeue(owned, owned.reason != stopPreempted)
	})
}

// savedProgress returns the work that every part of the attempt has saved.
func (o *ownedJob) savedProgress() (float64, bool) {
	saved := 0.0
	first := true
	for _, part := range o.parts {
		if !part.hasProgress {
			return 0, false
		}
		if first || part.progress < saved {
			saved = part.progress
		}
		first = false
	}
	return saved, !first
}

// Cancel ends a job. It must run on the loop.
func (n *Node) Cancel(domainName string, key job.Key, done JobDone) {
	owned := n.findJob(domainName, key, done)
	if owned == nil {
		return
	}
	d := owned.domain
	if owned.phase >= phaseEnding || owned.phase == phaseAccepting {
		done(owned.record.Clone(), nil)
		return
	}
	owned.waiters = append(owned.waiters, func(record *job.Record) { done(record, nil) })
	owned.record.CancelRequested = true
	switch owned.phase {
	case phaseQueued:
		d.cancelQueued(owned)
	case phaseStarting, phaseRunning:
		owned.reason = stopCancelled
		d.takeDown(owned)
	case phaseStopping:
		owned.reason = stopCancelled
	default:
		// The attempt is between its reservation and its start orders; committed or
		// requeue sees the request.
	}
}

func (d *domain) cancelQueued(owned *ownedJob) {
	d.endQueued(owned, job.Canceled, fault.Cancelled, "")
}

// endQueued ends a job that is not under way.
func (d *domain) endQueued(owned *ownedJob, state job.State, reason fault.Kind, detail string) {
	record := owned.record.Clone()
	record.State = state
	record.Reason = reason
	record.Detail = detail
	record.Outcome = outcomeOf(record)
	d.end(owned, record)
}
