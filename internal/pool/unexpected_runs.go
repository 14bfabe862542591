package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// runID identifies one run of a task.
type runID struct {
	task taskgraph.TaskName
	run  int
}

// unexpectedRun is a run that a worker listed but that this owner did not expect on the worker. It
// occupies capacity until it has ended.
type unexpectedRun struct {
	resources taskgraph.Resources
	// listedAt is when the latest report that lists the run was handled.
	listedAt time.Time
	// endedBy is the time by which the run has certainly ended; zero while the worker lists it.
	endedBy time.Time
}

// runIDs returns the identifiers of the runs that a worker lists as running.
func runIDs(running []fleet.ActiveRun) map[runID]bool {
	ids := make(map[runID]bool, len(running))
	for i := range running {
		ids[runID{task: running[i].Task, run: running[i].Run}] = true
	}
	return ids
}

// stopUnexpected stops a run that should not be on a worker.
func (p *Pool) stopUnexpected(w *worker, name taskgraph.TaskName, run int, report workerReport) {
	room := taskgraph.Resources{}
	if j := p.jobs[name.Job]; j != nil && name.Step < len(j.Spec.Steps) {
		room = j.Spec.Steps[name.Step].Requirements()
	}
	w.unexpected[runID{task: name, run: run}] = unexpectedRun{resources: room, listedAt: p.loop.Now()}
	p.record.Count("worker_orders", "stop_stranger")
	p.record.LogEvent("stopping unexpected run", "job", name.Job, "task", name.String(), "run", run, "worker", w.ID, "born", w.StartMillis,
		"requested_ms_ago", p.loop.Now().Sub(report.requestedAt).Milliseconds(), "report_clock", report.ClockMillis)
	call := p.callTo(w)
	p.ports.Stop(&w.Worker, fleet.Stop{Task: name, Run: run, Token: call.token}, func(_ fleet.Reply, err error) {
		if !p.closed && err != nil {
			p.handleCommandError(w, call, err)
		}
	})
}

// updateUnexpected updates the unexpected runs of a worker from its report. Reports omit runs that
// are being stopped. A run that is neither listed nor reported as ended is therefore removed only
// after the time that a stop may take. A report that was requested before the run was listed may be
// older than the run.
func (p *Pool) updateUnexpected(w *worker, report workerReport) {
	for i := range report.Ended {
		delete(w.unexpected, runID{task: report.Ended[i].Task, run: report.Ended[i].Run})
	}
	listed := runIDs(report.Running)
	now := p.loop.Now()
	for name, run := range w.unexpected {
		switch {
		case listed[name], run.listedAt.After(report.requestedAt):
		case run.endedBy.IsZero():
			run.endedBy = now.Add(p.longestStop())
			w.unexpected[name] = run
		case now.After(run.endedBy):
			delete(w.unexpected, name)
		}
	}
}

// subtractUnexpected subtracts the capacity of a worker's unexpected runs from its free capacity.
func (w *worker) subtractUnexpected(free taskgraph.Resources, now time.Time) taskgraph.Resources {
	for _, run := range w.unexpected {
		if run.endedBy.IsZero() || now.Before(run.endedBy) {
			free = free.Minus(run.resources)
		}
	}
	return free
}

// usageKnown reports whether everything that occupies capacity on a worker is known, for workers
// that do not enforce their capacity. Reports omit the runs that the former owner was stopping at
// the first contact. These runs end within the time that a stop may take. Workers that appear when
// no such run can be left need no wait.
func (p *Pool) usageKnown(w *worker, now time.Time) bool {
	if p.options.DisabledSafeguards.CapacityAge || p.workersEnforceCapacity() {
		return true
	}
	return w.contactedAt.After(p.formerRunsEndedBy()) || now.Sub(w.contactedAt) > p.longestStop()
}

// formerRunsEndedBy returns when all runs of former owners that this owner does not know have
// ended. A former owner may grant leases until its own lease has expired.
func (p *Pool) formerRunsEndedBy() time.Time {
	longestLease := time.Duration(float64(p.options.Bounds.MaxLease) * (1 + clockDrift))
	return p.acquiredAt.Add(p.options.Bounds.MaxLease + longestLease + leaseExpiryMargin)
}
