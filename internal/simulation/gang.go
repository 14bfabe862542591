package simulation

import (
	"slices"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// gangRun identifies one run of a gang: runs of one step that start, work and complete together.
type gangRun struct {
	job                      string
	repetition, step, number int
}

func (r *run) gangRun() gangRun {
	return gangRun{job: r.name.Job, repetition: r.name.Repetition, step: r.name.Step, number: r.number}
}

// gang returns the active members of a gang run, in start order.
func (c *Cluster) gang(r *run) []*run { return slices.Clone(c.gangs[r.gangRun()]) }

func (c *Cluster) addToGang(r *run) {
	c.gangs[r.gangRun()] = append(c.gangs[r.gangRun()], r)
}

func (c *Cluster) removeFromGang(r *run) {
	members := slices.DeleteFunc(c.gangs[r.gangRun()], func(other *run) bool { return other == r })
	if len(members) == 0 {
		delete(c.gangs, r.gangRun())
		return
	}
	c.gangs[r.gangRun()] = members
}

// startWhenGangComplete starts the work of a run. The members of a gang start work once all of them
// have started; a member ends if the gang is still incomplete after GangTimeout.
func (c *Cluster) startWhenGangComplete(r *run) {
	if !c.step(r.name).Gang {
		r.worker.work(r)
		return
	}
	members := c.gang(r)
	if len(members) < c.step(r.name).Count {
		c.Clock.After(c.Bounds.GangTimeout, func() {
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

// crossRackSlowdown returns the factor on the duration of a run. It exceeds 1 if the worker is not
// on the step's preferred rack, or if a gang with SameRack spans racks.
func (c *Cluster) crossRackSlowdown(r *run) float64 {
	step := c.step(r.name)
	remote := step.PreferredRack != "" && step.PreferredRack != r.worker.Rack()
	if step.SameRack && step.Gang {
		for _, member := range c.gang(r) {
			remote = remote || member.worker.Rack() != r.worker.Rack()
		}
	}
	if remote {
		return c.Bounds.CrossRackSlowdown
	}
	return 1
}

// finish completes a run. The members of a gang complete together, once the last one has finished.
func (c *Cluster) finish(r *run) {
	r.finished = true
	if !c.step(r.name).Gang {
		r.worker.end(r, fleet.EndDone, "")
		return
	}
	members := c.gang(r)
	for _, member := range members {
		if !member.finished {
			return
		}
	}
	for _, member := range members {
		member.worker.end(member, fleet.EndDone, "")
	}
}

// breakGang ends the other members of a gang with EndGangBroken when one member ends before it has
// completed.
func (c *Cluster) breakGang(r *run, reason fleet.EndReason) {
	if reason == fleet.EndDone || !c.step(r.name).Gang || !r.working {
		return
	}
	for _, member := range c.gang(r) {
		if !member.stopping {
			member.worker.end(member, fleet.EndGangBroken, "")
		}
	}
}
