package control

import (
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// recover builds a domain's state after its lease was acquired: the jobs' rows
// from the table, then what every worker has. Asking the workers raises their
// epoch, so that nothing the last owner sent can take effect after its answer.
func (d *domain) recover() {
	for _, name := range sortedKeys(d.node.board.Machines) {
		machine := d.node.board.Machines[name]
		if d.node.domainOf(&machine) == d.name && machine.Status != machines.Gone {
			d.updateMachine(machine)
		}
	}
	d.readFeedEnd(0)
}

// feedEnd as a cursor asks where the report feed ends at present.
const feedEnd = -1

// readFeedEnd notes where the report feed ends before the workers are asked, so
// that no change falls between the two.
func (d *domain) readFeedEnd(retry int) {
	d.node.ports.Reports(d.name, feedEnd, func(reports worker.Reports, err error) {
		if d.gone {
			return
		}
		if err != nil {
			d.again(retry, d.readFeedEnd)
			return
		}
		d.reportCursor = reports.Cursor
		d.readRows(0)
	})
}

func (d *domain) again(retry int, step func(int)) {
	d.node.record.Count(CounterRetries, "recovery")
	d.node.loop.After(d.node.backoff(retry), func() {
		if !d.gone {
			step(retry + 1)
		}
	})
}

func (d *domain) readRows(retry int) {
	d.node.ports.Scan(domainJobPrefix(d.name), 0, func(result store.ScanResult, err error) {
		if d.gone {
			return
		}
		if err != nil {
			d.again(retry, d.readRows)
			return
		}
		for _, row := range result.Rows {
			d.loadRow(row)
		}
		d.askWorkers()
	})
}

func (d *domain) loadRow(row store.Row) {
	record, ok := decode[job.Record](row.Value)
	if !ok || strings.Count(strings.TrimPrefix(row.Key, domainJobPrefix(d.name)), "/") != 1 {
		return
	}
	d.jobs[record.Key()] = &ownedJob{domain: d, record: &record, revision: row.Revision, attempt: record.Attempt}
}

// askWorkers asks every worker what it has, once; those that do not answer are
// suspect and asked again later.
func (d *domain) askWorkers() {
	found := map[string][]worker.Task{}
	left := len(d.workers)
	if left == 0 {
		d.activate(found)
		return
	}
	for _, name := range sortedKeys(d.workers) {
		w := d.workers[name]
		order := worker.Order{Action: worker.Renew, LeaseSeconds: d.node.options.Timing.WorkerLease.Seconds()}
		w.extendedAt = d.node.loop.Now()
		d.send(w, order, func(reply worker.Reply, err error) {
			if err != nil {
				w.suspect = true
			} else {
				found[w.name] = append([]worker.Task{}, reply.Tasks...)
			}
			if left--; left == 0 {
				d.activate(found)
			}
		})
	}
}

// activate puts the jobs where rows and workers say they are and begins to serve.
func (d *domain) activate(found map[string][]worker.Task) {
	d.scheduler.Configure(d.node.loop.Now(), d.localTenants())
	d.active = true
	for _, key := range sortedJobs(d.jobs) {
		d.restore(d.jobs[key], found)
	}
	for _, name := range sortedKeys(found) {
		d.clearStrangers(d.workers[name], found[name])
	}
	for _, name := range sortedKeys(d.workers) {
		d.updateSchedulable(d.workers[name])
		if d.workers[name].suspect {
			d.renewalFailed(d.workers[name])
		}
	}
	d.endImpossible()
	d.node.record.LogStateChange("domain active", "domain", d.name, "epoch", d.epoch, "jobs", len(d.jobs))
	d.node.publish()
	d.renew(func() {})
	d.renewTick()
	d.readReports(0)
	d.wake()
}

// restore takes up one job where the last owner left it.
func (d *domain) restore(owned *ownedJob, found map[string][]worker.Task) {
	if owned.record.State != job.Running {
		d.enqueue(owned)
		return
	}
	placement, known := d.placementOf(owned.record)
	if !known {
		// A machine of the placement is off the list; its part counts as lost.
		d.node.record.Count(CounterAttempts, "machine_unlisted")
	}
	owned.parts = map[string]*attemptPart{}
	for member, assignment := range owned.record.Placement {
		part, ok := owned.parts[assignment.Worker]
		if !ok {
			part = &attemptPart{state: worker.TaskRunning, started: true, since: d.node.loop.Now(), mayStartUntil: d.node.loop.Now().Add(d.node.options.Timing.Reservation)}
			owned.parts[assignment.Worker] = part
		}
		part.members = append(part.members, member)
	}
	owned.phase = phaseRunning
	elapsed := d.node.loop.Now().Sub(owned.record.StartedAt)
	remaining := max(time.Second, owned.remaining()-elapsed)
	if known {
		d.scheduler.Restore(d.node.loop.Now(), owned.record.Spec, owned.record.SubmittedAt, owned.record.StartedAt, remaining+elapsed, placement)
	} else {
		d.scheduler.Submit(d.node.loop.Now(), owned.record.Spec, owned.record.SubmittedAt, remaining)
	}
	for _, name := range sortedKeys(owned.parts) {
		d.workerOf(name).attempts[owned.key()] = owned
	}
	for _, name := range sortedKeys(owned.parts) {
		d.restorePart(owned, name, found)
	}
	if owned.record.CancelRequested && owned.phase == phaseRunning {
		owned.reason = stopCancelled
		d.takeDown(owned)
	}
}

// workerOf returns what is known of a worker, which may be off the list by now.
func (d *domain) workerOf(name string) *workerState {
	w, ok := d.workers[name]
	if !ok {
		w = &workerState{name: name, listed: machines.Gone, extendedAt: d.node.loop.Now(), attempts: map[job.Key]*ownedJob{}}
		d.workers[name] = w
	}
	return w
}

func (d *domain) restorePart(owned *ownedJob, name string, found map[string][]worker.Task) {
	w := d.workers[name]
	tasks, answered := found[name]
	if !answered {
		w.suspect = true
		return
	}
	task, present := findTask(tasks, owned.key(), owned.attempt)
	switch {
	case !present:
		d.partEnded(owned, name, worker.Task{State: worker.TaskStopped})
	case task.State == worker.TaskReserved:
		// The start order never arrived, and now never can.
		owned.reason = stopLost
		if owned.phase == phaseRunning {
			d.takeDown(owned)
		}
	case task.State != worker.TaskRunning:
		d.partEnded(owned, name, task)
	}
}

func (d *domain) placementOf(record *job.Record) ([]cluster.WorkerID, bool) {
	placement := make([]cluster.WorkerID, 0, len(record.Placement))
	for _, assignment := range record.Placement {
		id, ok := d.scheduler.Cluster().Lookup(assignment.Worker)
		if !ok {
			return nil, false
		}
		placement = append(placement, id)
	}
	return placement, true
}

// reconcile compares a worker's answer to a renewal with what it should have.
// Parts that changed after the renewal was sent are left to the next one.
func (d *domain) reconcile(w *workerState, tasks []worker.Task, sent time.Time) {
	for _, key := range sortedJobs(w.attempts) {
		owned := w.attempts[key]
		part := owned.parts[w.name]
		if part == nil || part.ended || part.state != worker.TaskRunning || !part.since.Before(sent) {
			continue
		}
		task, present := findTask(tasks, key, owned.attempt)
		switch {
		case !present:
			d.partEnded(owned, w.name, worker.Task{State: worker.TaskStopped})
		case task.State != worker.TaskRunning:
			d.partEnded(owned, w.name, task)
		}
	}
	d.clearStrangers(w, tasks)
}

// clearStrangers ends what a worker has and should not have: attempts that a
// former owner left or that were settled otherwise. Reservations run out alone.
func (d *domain) clearStrangers(w *workerState, tasks []worker.Task) {
	for _, task := range tasks {
		key := job.Key{Tenant: task.Tenant, ID: task.Job}
		owned, known := w.attempts[key]
		if known && owned.attempt == task.Attempt || task.State == worker.TaskReserved {
			continue
		}
		order := worker.Order{Action: worker.DeleteEnded, Tenant: task.Tenant, Job: task.Job, Attempt: task.Attempt}
		if task.State == worker.TaskRunning {
			order.Action = worker.Stop
			d.node.record.Count(CounterAttempts, "stranger_stopped")
		}
		d.send(w, order, func(worker.Reply, error) {})
	}
}

// readReports follows the report feed as long as the domain is owned.
func (d *domain) readReports(retry int) {
	if d.gone || d.node.stopped {
		return
	}
	d.node.ports.Reports(d.name, d.reportCursor, func(reports worker.Reports, err error) {
		if d.gone {
			return
		}
		if err != nil {
			d.again(retry, d.readReports)
			return
		}
		d.reportCursor = reports.Cursor
		for _, report := range reports.Reports {
			d.takeReport(report)
		}
		d.node.loop.Post(func() { d.readReports(0) })
	})
}

func (d *domain) takeReport(report worker.Report) {
	w, ok := d.workers[report.Worker]
	if !ok {
		return
	}
	if report.Draining {
		w.saidLeaving = true
		d.updateSchedulable(w)
		return
	}
	key := job.Key{Tenant: report.Task.Tenant, ID: report.Task.Job}
	if owned, known := w.attempts[key]; known && owned.attempt == report.Task.Attempt {
		d.partEnded(owned, w.name, report.Task)
	}
}
