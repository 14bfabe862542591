package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// runName identifies one run of a task.
type runName struct {
	task taskgraph.TaskName
	run  int
}

// unwantedRun is a run that a worker listed and that this owner did not expect there. It occupies
// capacity until it has ended.
type unwantedRun struct {
	room taskgraph.Amount
	// endsBy is the time by which the run has certainly ended; zero while the worker lists it.
	endsBy time.Time
}

// namesOf returns the identifiers of the runs that a worker lists as running.
func namesOf(running []fleet.Running) map[runName]bool {
	names := make(map[runName]bool, len(running))
	for i := range running {
		names[runName{task: running[i].Task, run: running[i].Run}] = true
	}
	return names
}

// stopUnwanted stops a run that should not be on a worker.
func (p *Pool) stopUnwanted(w *worker, name taskgraph.TaskName, run int) {
	room := taskgraph.Amount{}
	if j := p.jobs[name.Job]; j != nil && name.Step < len(j.Spec.Steps) {
		room = j.Spec.Steps[name.Step].Room()
	}
	w.unwanted[runName{task: name, run: run}] = unwantedRun{room: room}
	p.record.Count("worker_orders", "stop_stranger")
	p.record.Decided("unwanted run stopped", "job", name.Job, "task", name.String(), "run", run, "worker", w.ID, "born", w.Born)
	p.ports.Stop(&w.Worker, fleet.Stop{Task: name, Run: run, Token: p.token}, func(_ fleet.Reply, err error) {
		if !p.closed && err != nil {
			p.orderFailed(w, err)
		}
	})
}

// settleUnwanted updates the unexpected runs of a worker from its report. A run that is neither
// listed nor reported as ended is being stopped, because reports omit runs in that state; it is
// removed after the time of a stop.
func (p *Pool) settleUnwanted(w *worker, reply fleet.Reply) {
	for i := range reply.Ended {
		delete(w.unwanted, runName{task: reply.Ended[i].Task, run: reply.Ended[i].Run})
	}
	listed := namesOf(reply.Running)
	now := p.loop.Now()
	for name, run := range w.unwanted {
		switch {
		case listed[name]:
		case run.endsBy.IsZero():
			run.endsBy = now.Add(p.options.Bounds.StopTimeout + stopMargin)
			w.unwanted[name] = run
		case now.After(run.endsBy):
			delete(w.unwanted, name)
		}
	}
}

// withoutUnwanted subtracts the capacity of a worker's unexpected runs from its free capacity.
func (w *worker) withoutUnwanted(free taskgraph.Amount, now time.Time) taskgraph.Amount {
	for _, run := range w.unwanted {
		if run.endsBy.IsZero() || now.Before(run.endsBy) {
			free = free.Minus(run.room)
		}
	}
	return free
}

// usageKnown reports whether everything that occupies capacity on a worker is known, for workers
// that do not enforce their capacity. Runs that the former owner was stopping at the first contact
// are in no report; they end within the time of a stop.
func (p *Pool) usageKnown(w *worker, now time.Time) bool {
	if p.options.Without.AccountAge || p.workersEnforceCapacity() {
		return true
	}
	return now.Sub(w.contactedAt) > p.options.Bounds.StopTimeout+stopMargin
}
