package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// The platform limits how long work may wait that has somewhere to go. A job must not have nothing running
// for idleLimit while the turn of one of its tasks has come, there is capacity for the task twice over, and
// less than half of all capacity is in use. The same holds for each long-running task by itself, and from
// longRunningGrace after its last run however much is in use.

const (
	// idleLimit is how long work may wait that has somewhere to go.
	idleLimit = 3 * time.Second
	// idleSamplePeriod is the interval at which waiting work is looked for.
	idleSamplePeriod = 100 * time.Millisecond
	// idleCopies is the number of copies of a task or gang for which there must be capacity.
	idleCopies = 2
	// longRunningGrace is the time after the last run of a long-running task from which it must not wait.
	longRunningGrace = 6 * time.Second
	// calmTime is the time without crashes of workers, up to the end of idleLimit, for which work is checked.
	calmTime = idleLimit + 4*time.Second
	// calmPatience is how long a check waits for calmTime without crashes.
	calmPatience = 60 * time.Second
	// idleUtilization is the utilization of the most used resource from which only long-running tasks that
	// have run before must run.
	idleUtilization = 0.5
)

// CheckIdleWork runs the simulation for a while and reports a violation for each task or gang that waits for
// idleLimit although it has somewhere to go. Jobs for which ignored returns true are not checked. If workers
// crash meanwhile, CheckIdleWork waits until none has crashed for calmTime, or gives up after calmPatience.
func (c *Cluster) CheckIdleWork(ignored func(job string) bool) {
	for end := c.Clock.Now().Add(calmPatience); c.Clock.Now().Before(end); {
		waiting := c.workIdleFor(idleLimit, ignored)
		if c.Clock.Now().Sub(c.lastCrashAt) < calmTime {
			continue
		}
		for _, unit := range waiting {
			c.Checker.addViolation("%s has waited for %v although it has somewhere to go", unit, idleLimit)
		}
		return
	}
}

// workIdleFor runs the simulation for a time and returns the tasks and gangs that waited for all of it.
func (c *Cluster) workIdleFor(limit time.Duration, ignored func(job string) bool) []idleUnit {
	waiting := c.idleWork(ignored)
	for elapsed := time.Duration(0); elapsed < limit; elapsed += idleSamplePeriod {
		c.Run(idleSamplePeriod)
		now := c.idleWork(ignored)
		waiting = slices.DeleteFunc(waiting, func(unit idleUnit) bool { return !slices.Contains(now, unit) })
	}
	return waiting
}

// idleUnit is a task or gang that waits although it has somewhere to go.
type idleUnit struct {
	job string
	unitName
	longRunning bool
}

// String returns the unit's name for messages.
func (u idleUnit) String() string {
	kind := "unit"
	if u.longRunning {
		kind = "long-running unit"
	}
	return fmt.Sprintf("%s %s.%d.%d.%d", kind, u.job, u.repetition, u.step, u.index)
}

// idleWork returns the tasks and gangs that wait now although they have somewhere to go, sorted by name.
func (c *Cluster) idleWork(ignored func(job string) bool) []idleUnit {
	var idle []idleUnit
	busy := c.utilization() >= idleUtilization
	for _, id := range c.jobIDs() {
		record := c.Checker.jobs[id]
		if !ignored(id) && record.cancelledAt.IsZero() && !c.StoredState(id).Final() {
			idle = append(idle, c.idleUnits(record.spec, busy)...)
		}
	}
	return idle
}

// idleUnits returns the units of a job that wait now although they have somewhere to go.
func (c *Cluster) idleUnits(job *taskgraph.Spec, busy bool) []idleUnit {
	var idle []idleUnit
	jobRuns := c.runsJob(job.ID)
	for step := range job.Steps {
		spec := &job.Steps[step]
		if !spec.LongRunning && (busy || jobRuns) || !c.turnHasCome(job.ID, spec) {
			continue
		}
		for index := range spec.UnitCount() {
			unit := idleUnit{job: job.ID, unitName: unitName{step: step, index: index}, longRunning: spec.LongRunning}
			mustRun := !busy || c.hasRun(unit, spec)
			if mustRun && c.waits(unit, spec) && c.hasCapacity(unit, spec) {
				idle = append(idle, unit)
			}
		}
	}
	return idle
}

// jobIDs returns the identifiers of all jobs, sorted.
func (c *Cluster) jobIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runsJob reports whether any worker runs a task of a job.
func (c *Cluster) runsJob(id string) bool {
	return slices.ContainsFunc(c.RunningWorkers(), func(w *Worker) bool { return w.RunsOf(id) > 0 })
}

// turnHasCome reports whether all steps before a step are done.
func (c *Cluster) turnHasCome(id string, spec *taskgraph.Step) bool {
	for _, earlier := range spec.After {
		for index := range c.jobs[id].Steps[earlier].Count {
			if !c.Checker.task(taskgraph.TaskName{Job: id, Step: earlier, Index: index}).done {
				return false
			}
		}
	}
	return true
}

// waits reports whether a unit is not done and has nothing running, and whether the last run of a
// long-running unit ended longRunningGrace ago.
func (c *Cluster) waits(unit idleUnit, spec *taskgraph.Step) bool {
	for _, index := range unit.members(spec) {
		t := c.Checker.task(taskgraph.TaskName{Job: unit.job, Step: unit.step, Index: index})
		recent := spec.LongRunning && c.Clock.Now().Sub(t.lastEndAt) < longRunningGrace
		if len(t.running) > 0 || recent || t.done && !spec.LongRunning {
			return false
		}
	}
	return true
}

// hasRun reports whether a run of the unit has ended.
func (c *Cluster) hasRun(unit idleUnit, spec *taskgraph.Step) bool {
	return slices.ContainsFunc(unit.members(spec), func(index int) bool {
		return !c.Checker.task(taskgraph.TaskName{Job: unit.job, Step: unit.step, Index: index}).lastEndAt.IsZero()
	})
}

// members returns the indexes of the unit's tasks.
func (u idleUnit) members(spec *taskgraph.Step) []int {
	if !spec.Gang {
		return []int{u.index}
	}
	indexes := make([]int, spec.Count)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// hasCapacity reports whether idleCopies copies of a unit fit beside all that runs.
func (c *Cluster) hasCapacity(unit idleUnit, spec *taskgraph.Step) bool {
	needed := idleCopies * len(unit.members(spec))
	for _, w := range c.RunningWorkers() {
		if w.takesWork() && w.HasLabel(spec.RequiredLabel) {
			needed -= w.copiesThatFit(unit, spec)
		}
	}
	return needed <= 0
}

// takesWork reports whether a worker is listed, reachable and sound.
func (w *Worker) takesWork() bool {
	cutOff := w.Partitioned || w.CutOff != nil || w.Unreachable
	unsound := w.Draining || w.Unhealthy || w.Failing || w.Stalled
	return w.cluster.worker(w.ID) == w && !cutOff && !unsound && w.cluster.evacuatedFor(w.Zone) == 0
}

// copiesThatFit returns how many tasks of a step fit on a worker beside all that runs there.
func (w *Worker) copiesThatFit(unit idleUnit, spec *taskgraph.Step) int {
	free, limit := w.free(), idleCopies*len(unit.members(spec))
	if spec.MaxPerWorker > 0 {
		limit = spec.MaxPerWorker - w.runsOfStep(unit.job, unit.step)
	}
	count := 0
	for count < limit && spec.Requirements().FitsIn(free) {
		free = free.Minus(spec.Requirements())
		count++
	}
	return count
}

func (w *Worker) runsOfStep(job string, step int) int {
	count := 0
	for id := range w.runs {
		if id.task.Job == job && id.task.Step == step {
			count++
		}
	}
	return count
}

// utilization returns the utilization of the most used resource.
func (c *Cluster) utilization() float64 {
	var total, used taskgraph.Resources
	for _, w := range c.RunningWorkers() {
		total, used = total.Plus(w.Capacity), used.Plus(w.usage())
	}
	share := func(used, total int) float64 { return float64(used) / float64(max(1, total)) }
	return max(share(used.CPU, total.CPU), share(used.MemoryMB, total.MemoryMB), share(used.GPUs, total.GPUs))
}
