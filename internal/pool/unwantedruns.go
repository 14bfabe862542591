package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// runName names one run of a task.
type runName struct {
	task taskgraph.TaskName
	run  int
}

// unwantedRun is a run that a worker listed and the owner does not want. It takes room until it has
// ended.
type unwantedRun struct {
	room taskgraph.Amount
	// endsBy is when it has surely ended; zero while the worker lists it.
	endsBy time.Time
}

// namesOf returns the runs that a worker lists as running.
func namesOf(running []fleet.Running) map[runName]bool {
	names := make(map[runName]bool, len(running))
	for i := range running {
		names[runName{task: running[i].Task, run: running[i].Run}] = true
	}
	return names
}

// stopUnwanted stops a run that does not belong on a worker.
func (p *Pool) stopUnwanted(w *worker, name taskgraph.TaskName, run int) {
	room := taskgraph.Amount{}
	if j := p.jobs[name.Job]; j != nil && name.Step < len(j.Spec.Steps) {
		room = j.Spec.Steps[name.Step].Room()
	}
	w.unwanted[runName{task: name, run: run}] = unwantedRun{room: room}
	p.record.Count("worker_orders", "stop_stranger")
	p.record.Decided("unwanted run stopped", "job", name.Job, "task", name.String(), "run", run, "worker", w.ID, "born", w.Born)
	p.ports.Stop(&w.Worker, fleet.Stop{Task: name, Run: run, Token: p.token}, func(_ fleet.Reply, err error) {
		if !p.gone && err != nil {
			p.orderFailed(w, err)
		}
	})
}

// settleUnwanted goes by an account that does not list some of them: what has no end there either
// is being stopped, and no account names work that is.
func (p *Pool) settleUnwanted(w *worker, reply fleet.Reply) {
	for i := range reply.Ended {
		delete(w.unwanted, runName{task: reply.Ended[i].Task, run: reply.Ended[i].Run})
	}
	listed := namesOf(reply.Running)
	now := p.loop.Now()
	for name, unwanted := range w.unwanted {
		switch {
		case listed[name]:
		case unwanted.endsBy.IsZero():
			unwanted.endsBy = now.Add(p.options.Bounds.StopTimeout + stopMargin)
			w.unwanted[name] = unwanted
		case now.After(unwanted.endsBy):
			delete(w.unwanted, name)
		}
	}
}

// withoutUnwanted returns what is left of an amount of free room beside a worker's unwanted runs.
func (w *worker) withoutUnwanted(free taskgraph.Amount, now time.Time) taskgraph.Amount {
	for _, known := range w.unwanted {
		if known.endsBy.IsZero() || now.Before(known.endsBy) {
			free = free.Minus(known.room)
		}
	}
	return free
}

// roomKnown reports whether all is known that takes room on a worker that does not guard its
// capacity. What an owner before this one was stopping when the worker first heard of this one is in
// no account, and ends within the time of a stop.
func (p *Pool) roomKnown(w *worker, now time.Time) bool {
	if p.options.Without.AccountAge || p.guarded() {
		return true
	}
	return now.Sub(w.greetedAt) > p.options.Bounds.StopTimeout+stopMargin
}
