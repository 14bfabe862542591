package simulation

import (
	"fmt"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Checker checks invariants over all runs and records violations. As the pool.Recorder of the
// owners it also collects their log events and counters.
type Checker struct {
	cluster *Cluster
	// Violations lists the violations in the order of detection.
	Violations []string
	// DecisionLog contains the owners' log events, unless Quiet is set.
	DecisionLog []string
	Quiet       bool
	// DecisionCounts counts the owners' log events by name, LostCoreSeconds is the unsaved work of
	// ended runs in core-seconds, and preemptions counts the preemptions of each unit.
	DecisionCounts  map[string]int
	LostCoreSeconds float64
	preemptions     map[string]int
	Metrics         map[string]int
	jobs            map[string]*jobRecord
	tasks           map[taskgraph.TaskName]*taskRecord
}

type jobRecord struct {
	spec        *taskgraph.Spec
	queue       catalog.Queue
	cancelledAt time.Time
}

type taskRecord struct {
	running map[*run]bool
	done    bool
	// doneRuns contains the runs that completed. acknowledged is set once an owner has
	// acknowledged a completion.
	doneRuns     map[int]bool
	acknowledged bool
	// repeatedRun is the latest run that started after another had completed; 0 if none did.
	repeatedRun int
	failures    int
	starts      int
	// crashes counts the workers that crashed while running the task, and startsAfterCrashes the
	// starts after crash number crashAllowance.
	crashes            int
	startsAfterCrashes int
}

func newChecker(w *Cluster) *Checker {
	return &Checker{cluster: w, Metrics: map[string]int{}, DecisionCounts: map[string]int{}, preemptions: map[string]int{}, jobs: map[string]*jobRecord{}, tasks: map[taskgraph.TaskName]*taskRecord{}}
}

// Count implements pool.Recorder.
func (j *Checker) Count(counter, reason string) { j.Metrics[counter+"/"+reason]++ }

// Set implements pool.Recorder.
func (j *Checker) Set(gauge string, value int64) { j.Metrics[gauge] = int(value) }

// Observe implements pool.Recorder.
func (j *Checker) Observe(string, time.Duration) {}

// LogEvent implements pool.Recorder.
func (j *Checker) LogEvent(event string, keysAndValues ...any) {
	j.DecisionCounts[event]++
	switch event {
	case "stopped":
		j.countPreemption(fieldsOf(keysAndValues))
	case "run ended":
		lost, _ := fieldsOf(keysAndValues)["unsaved_core_s"].(float64)
		j.LostCoreSeconds += lost
	}
	if j.Quiet {
		return
	}
	at := j.cluster.Clock.Now().Sub(j.cluster.epoch)
	j.DecisionLog = append(j.DecisionLog, fmt.Sprintf("%v %s %v", at, event, keysAndValues))
}

// fieldsOf converts key-value pairs to a map.
func fieldsOf(keysAndValues []any) map[string]any {
	fields := map[string]any{}
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if key, ok := keysAndValues[i].(string); ok {
			fields[key] = keysAndValues[i+1]
		}
	}
	return fields
}

func (j *Checker) countPreemption(fields map[string]any) {
	if fields["reason"] == "preempted" {
		j.preemptions[fmt.Sprint(fields["job"], " ", fields["step"], " ", fields["unit"])]++
	}
}

// MaxPreemptions returns the highest number of preemptions of a single unit.
func (j *Checker) MaxPreemptions() int {
	most := 0
	for _, stops := range j.preemptions {
		most = max(most, stops)
	}
	return most
}

func (j *Checker) violated(format string, args ...any) {
	at := j.cluster.Clock.Now().Sub(j.cluster.epoch)
	j.Violations = append(j.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (j *Checker) accepted(spec *taskgraph.Spec, queue catalog.Queue) {
	j.jobs[spec.ID] = &jobRecord{spec: spec, queue: queue}
}

// Cancelled records that the cancellation of a job was acknowledged.
func (j *Checker) Cancelled(id string) { j.cancelled(id) }

// JobStarts returns the number of started runs of a job.
func (j *Checker) JobStarts(id string) int {
	starts := 0
	for name, t := range j.tasks {
		if name.Job == id {
			starts += t.starts
		}
	}
	return starts
}

// JobDone reports whether every task of a job has completed.
func (j *Checker) JobDone(id string) bool {
	spec := j.jobs[id].spec
	for step := range spec.Steps {
		for index := range spec.Steps[step].Count {
			if !j.task(taskgraph.TaskName{Job: id, Step: step, Index: index}).done {
				return false
			}
		}
	}
	return true
}

func (j *Checker) cancelled(id string) { j.jobs[id].cancelledAt = j.cluster.Clock.Now() }

func (j *Checker) task(name taskgraph.TaskName) *taskRecord {
	known := j.tasks[name]
	if known == nil {
		known = &taskRecord{running: map[*run]bool{}, doneRuns: map[int]bool{}}
		j.tasks[name] = known
	}
	return known
}

// After crashAllowance workers have crashed while running a task, at most startAllowance further
// starts of it are allowed.
const (
	crashAllowance = 3
	startAllowance = 2
)

// crashed records that a worker crashed while running a task.
func (j *Checker) crashed(r *run) {
	t := j.task(r.name)
	t.crashes++
}

// checkCrashes reports a violation if a task that crashes workers starts too often.
func (j *Checker) checkCrashes(r *run, t *taskRecord) {
	if _, guilty := j.cluster.Crashing[r.name]; !guilty || t.crashes < crashAllowance {
		return
	}
	if t.startsAfterCrashes++; t.startsAfterCrashes > startAllowance {
		j.violated("%v run %d starts on %s although %d workers have crashed while running the task", r.name, r.number, r.worker.ID, t.crashes)
	}
}

// Crashes returns the number of workers that crashed while running a task.
func (j *Checker) Crashes(name taskgraph.TaskName) int { return j.task(name).crashes }

// cancelBound is the time after a cancellation from which no run may start.
const cancelBound = 3 * time.Second

func (j *Checker) started(r *run, order fleet.Start) {
	job := j.jobs[r.name.Job]
	t := j.task(r.name)
	t.starts++
	switch {
	case len(t.running) > 0:
		j.violated("%v run %d starts on %s while another run of the task is active", r.name, r.number, r.worker.ID)
	case t.acknowledged && !j.cluster.step(r.name).LongRunning:
		j.violated("%v run %d starts after the owner acknowledged the task's completion", r.name, r.number)
	case t.failures >= job.queue.MaxAttempts && !j.cluster.step(r.name).LongRunning:
		j.violated("%v run %d starts although the task has no attempts left", r.name, r.number)
	case !job.cancelledAt.IsZero() && j.cluster.Clock.Now().Sub(job.cancelledAt) > cancelBound && j.recentlyFaultFree(order.Token):
		j.violated("%v run %d starts after the cancellation bound", r.name, r.number)
	}
	if order.Payload != job.spec.Payload {
		j.violated("%v run %d starts with a payload that differs from the job's", r.name, r.number)
	}
	j.checkZone(r)
	j.checkDependencies(r, job)
	j.checkCrashes(r, t)
	if taken, allowed := r.worker.usage(), r.worker.allowedUsage(); !taken.FitsIn(allowed) {
		j.violated("%v run %d raises usage of %s to %+v, over the allowed %+v", r.name, r.number, r.worker.ID, taken, allowed)
	}
	if t.done && !j.cluster.step(r.name).LongRunning {
		t.repeatedRun = max(t.repeatedRun, r.number)
	}
	t.running[r] = true
	j.LogEvent("begun", "task", r.name.String(), "run", r.number, "worker", r.worker.ID)
}

// checkZone reports a violation if a run starts in a zone after the evacuation bound. Faults are
// no exception: owners that cannot read the rows start nothing, and workers refuse late orders.
func (j *Checker) checkZone(r *run) {
	if evacuatedFor := j.cluster.evacuatedFor(r.worker.Zone); evacuatedFor > j.cluster.Bounds.EvacuationTimeout {
		j.violated("%v run %d starts on %s, whose zone was evacuated %v before", r.name, r.number, r.worker.ID, evacuatedFor)
	}
}

// faultFreeTime is how long an owner and the store must have been free of faults before time
// bounds apply.
const faultFreeTime = 3 * time.Second

// recentlyFaultFree reports whether neither the store nor the owner that sent an order had a
// recent fault. Right after a fault an owner may know that its placements were written but not yet
// which cancellations were written meanwhile.
func (j *Checker) recentlyFaultFree(token int64) bool {
	now := j.cluster.Clock.Now()
	owner := j.cluster.ownerOf[token]
	paused := owner != nil && now.Sub(owner.Process.PausedUntil()) < faultFreeTime
	return !paused && now.Sub(j.cluster.Store.lastFaultAt) >= faultFreeTime
}

func (j *Checker) checkDependencies(r *run, job *jobRecord) {
	for _, earlier := range job.spec.Steps[r.name.Step].After {
		step := &job.spec.Steps[earlier]
		for index := range step.Count {
			name := taskgraph.TaskName{Job: r.name.Job, Repetition: r.name.Repetition, Step: earlier, Index: index}
			if !j.task(name).done {
				j.violated("%v starts before its dependency %v has completed", r.name, name)
				return
			}
		}
	}
}

func (j *Checker) ended(r *run, how fleet.EndReason) {
	t := j.task(r.name)
	delete(t.running, r)
	j.LogEvent("over", "task", r.name.String(), "run", r.number, "worker", r.worker.ID, "how", how)
	switch how {
	case fleet.EndDone:
		t.done = true
		t.doneRuns[r.number] = true
		if j.cluster.step(r.name).Gang {
			j.markGangDone(r)
		}
	case fleet.EndFailed:
		t.failures++
	}
}

// markGangDone marks all tasks of a gang as done when one member completes.
func (j *Checker) markGangDone(r *run) {
	for index := range j.cluster.step(r.name).Count {
		name := r.name
		name.Index = index
		j.task(name).done = true
	}
}

// endAcknowledged records that an owner acknowledged a completion. It ignores the completion if
// the worker's lease expired in between.
func (j *Checker) endAcknowledged(w *Worker, entry fleet.EndedRun) {
	if entry.Reason != fleet.EndDone || w.endedAt[entry.Number] != w.leaseExpirations {
		return
	}
	t := j.task(entry.Task)
	t.acknowledged = true
	if t.repeatedRun > entry.Run {
		j.violated("%v run %d started after run %d had completed; the owner acknowledged that completion only now", entry.Task, t.repeatedRun, entry.Run)
	}
}

// Starts returns the number of started runs of a task.
func (j *Checker) Starts(name taskgraph.TaskName) int { return j.task(name).starts }
