package simulation

import (
	"slices"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// gangRun names one run of a gang.
type gangRun struct {
	job                string
	time, step, number int
}

func (r *run) gangRun() gangRun {
	return gangRun{job: r.name.Job, time: r.name.Time, step: r.name.Step, number: r.number}
}

// gang lists the members of a gang's run that are present, in the order of their starts.
func (w *World) gang(r *run) []*run { return slices.Clone(w.gangs[r.gangRun()]) }

func (w *World) enterGang(r *run) {
	w.gangs[r.gangRun()] = append(w.gangs[r.gangRun()], r)
}

func (w *World) leaveGang(r *run) {
	members := slices.DeleteFunc(w.gangs[r.gangRun()], func(other *run) bool { return other == r })
	if len(members) == 0 {
		delete(w.gangs, r.gangRun())
		return
	}
	w.gangs[r.gangRun()] = members
}

// assemble starts the work of a run, or of a gang once all of it is there.
func (w *World) assemble(r *run) {
	if !w.step(r.name).Gang {
		r.worker.work(r)
		return
	}
	members := w.gang(r)
	if len(members) < w.step(r.name).Count {
		w.Clock.After(w.Bounds.GangTimeout, func() {
			if !r.working {
				r.worker.end(r, fleet.Alone, "")
			}
		})
		return
	}
	for _, member := range members {
		member.worker.work(member)
	}
}

// distance is how many times longer a run takes because its data, or others of its gang that
// want one rack, are on another rack.
func (w *World) distance(r *run) float64 {
	step := w.step(r.name)
	far := step.PreferredRack != "" && step.PreferredRack != r.worker.Rack()
	if step.SameRack && step.Gang {
		for _, member := range w.gang(r) {
			far = far || member.worker.Rack() != r.worker.Rack()
		}
	}
	if far {
		return w.Bounds.RemoteFactor
	}
	return 1
}

// finish ends a run as done, the members of a gang once the last of them has finished.
func (w *World) finish(r *run) {
	r.finished = true
	if !w.step(r.name).Gang {
		r.worker.end(r, fleet.Done, "")
		return
	}
	members := w.gang(r)
	for _, member := range members {
		if !member.finished {
			return
		}
	}
	for _, member := range members {
		member.worker.end(member, fleet.Done, "")
	}
}

// memberEnded breaks the rest of a gang.
func (w *World) memberEnded(r *run, how fleet.How) {
	if how == fleet.Done || !w.step(r.name).Gang || !r.working {
		return
	}
	for _, member := range w.gang(r) {
		if !member.stopping {
			member.worker.end(member, fleet.Broken, "")
		}
	}
}
