package simulation

import (
	"slices"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// gangRun identifies one run of a gang.
type gangRun struct {
	job                string
	time, step, number int
}

func (r *run) gangRun() gangRun {
	return gangRun{job: r.name.Job, time: r.name.Repetition, step: r.name.Step, number: r.number}
}

// gang returns the present members of a gang run, in start order.
func (w *Cluster) gang(r *run) []*run { return slices.Clone(w.gangs[r.gangRun()]) }

func (w *Cluster) addToGang(r *run) {
	w.gangs[r.gangRun()] = append(w.gangs[r.gangRun()], r)
}

func (w *Cluster) removeFromGang(r *run) {
	members := slices.DeleteFunc(w.gangs[r.gangRun()], func(other *run) bool { return other == r })
	if len(members) == 0 {
		delete(w.gangs, r.gangRun())
		return
	}
	w.gangs[r.gangRun()] = members
}

// startWhenGangComplete starts the work of a run, or of all gang members once the gang is
// complete.
func (w *Cluster) startWhenGangComplete(r *run) {
	if !w.step(r.name).Gang {
		r.worker.work(r)
		return
	}
	members := w.gang(r)
	if len(members) < w.step(r.name).Count {
		w.Clock.After(w.Bounds.GangTimeout, func() {
			if !r.working {
				r.worker.end(r, fleet.EndGangIncomplete, "")
			}
		})
		return
	}
	for _, member := range members {
		member.worker.work(member)
	}
}

// remoteFactor returns the slowdown of a run whose data is on another rack, or whose same-rack
// gang spans racks.
func (w *Cluster) remoteFactor(r *run) float64 {
	step := w.step(r.name)
	remote := step.PreferredRack != "" && step.PreferredRack != r.worker.Rack()
	if step.SameRack && step.Gang {
		for _, member := range w.gang(r) {
			remote = remote || member.worker.Rack() != r.worker.Rack()
		}
	}
	if remote {
		return w.Bounds.CrossRackSlowdown
	}
	return 1
}

// finish completes a run. The members of a gang complete together, once the last one has finished.
func (w *Cluster) finish(r *run) {
	r.finished = true
	if !w.step(r.name).Gang {
		r.worker.end(r, fleet.EndDone, "")
		return
	}
	members := w.gang(r)
	for _, member := range members {
		if !member.finished {
			return
		}
	}
	for _, member := range members {
		member.worker.end(member, fleet.EndDone, "")
	}
}

// breakGang ends the other members of a gang as broken unless the run completed.
func (w *Cluster) breakGang(r *run, how fleet.EndReason) {
	if how == fleet.EndDone || !w.step(r.name).Gang || !r.working {
		return
	}
	for _, member := range w.gang(r) {
		if !member.stopping {
			member.worker.end(member, fleet.EndGangBroken, "")
		}
	}
}
