package simulation

import (
	"fmt"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Judge watches all runs and notes every broken promise. It also counts what the
// owners record.
type Judge struct {
	world *World
	// Broken lists what went wrong, in the order in which it was seen.
	Broken []string
	// Trace has the owners' decisions, unless Quiet.
	Trace []string
	Quiet bool
	// Decisions counts the owners' decisions by name, ThrownAway adds up the work, in
	// core-seconds, that ended runs lose, and preempted counts the stops of each unit.
	Decisions  map[string]int
	ThrownAway float64
	preempted  map[string]int
	Counts     map[string]int
	jobs       map[string]*judgedJob
	tasks      map[taskgraph.TaskName]*judgedTask
}

type judgedJob struct {
	spec        *taskgraph.Spec
	queue       catalog.Queue
	cancelledAt time.Time
}

type judgedTask struct {
	running map[*run]bool
	done    bool
	// doneRuns has runs that ended as done, noted those whose end is taken note of.
	doneRuns map[int]bool
	noted    bool
	// repeated is the latest run that started after one had ended as done; 0 if none did.
	repeated int
	failures int
	starts   int
	// crashes counts the workers that crashed while they ran the task, and startsAfter
	// the starts since the crash number crashAllowance.
	crashes     int
	startsAfter int
}

func newJudge(w *World) *Judge {
	return &Judge{world: w, Counts: map[string]int{}, Decisions: map[string]int{}, preempted: map[string]int{}, jobs: map[string]*judgedJob{}, tasks: map[taskgraph.TaskName]*judgedTask{}}
}

// Count implements pool.Recorder.
func (j *Judge) Count(counter, reason string) { j.Counts[counter+"/"+reason]++ }

// Set implements pool.Recorder.
func (j *Judge) Set(gauge string, value int64) { j.Counts[gauge] = int(value) }

// Observe implements pool.Recorder.
func (j *Judge) Observe(string, time.Duration) {}

// Decided implements pool.Recorder.
func (j *Judge) Decided(decision string, keysAndValues ...any) {
	j.Decisions[decision]++
	switch decision {
	case "stopped":
		j.noteStop(fieldsOf(keysAndValues))
	case "run ended":
		lost, _ := fieldsOf(keysAndValues)["unsaved_core_s"].(float64)
		j.ThrownAway += lost
	}
	if j.Quiet {
		return
	}
	at := j.world.Clock.Now().Sub(j.world.epoch)
	j.Trace = append(j.Trace, fmt.Sprintf("%v %s %v", at, decision, keysAndValues))
}

// fieldsOf turns a line's fields into a map.
func fieldsOf(keysAndValues []any) map[string]any {
	fields := map[string]any{}
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if key, ok := keysAndValues[i].(string); ok {
			fields[key] = keysAndValues[i+1]
		}
	}
	return fields
}

func (j *Judge) noteStop(fields map[string]any) {
	if fields["reason"] == "preempted" {
		j.preempted[fmt.Sprint(fields["job"], " ", fields["step"], " ", fields["unit"])]++
	}
}

// MostStops returns how often one unit was stopped for others, at most.
func (j *Judge) MostStops() int {
	most := 0
	for _, stops := range j.preempted {
		most = max(most, stops)
	}
	return most
}

func (j *Judge) broken(format string, args ...any) {
	at := j.world.Clock.Now().Sub(j.world.epoch)
	j.Broken = append(j.Broken, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (j *Judge) accepted(spec *taskgraph.Spec, queue catalog.Queue) {
	j.jobs[spec.ID] = &judgedJob{spec: spec, queue: queue}
}

// Cancelled notes that a job's cancellation was acknowledged.
func (j *Judge) Cancelled(id string) { j.cancelled(id) }

// JobStarts returns how many runs of a job were started.
func (j *Judge) JobStarts(id string) int {
	starts := 0
	for name, t := range j.tasks {
		if name.Job == id {
			starts += t.starts
		}
	}
	return starts
}

// JobDone reports whether every task of a job has a run that ended as done.
func (j *Judge) JobDone(id string) bool {
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

func (j *Judge) cancelled(id string) { j.jobs[id].cancelledAt = j.world.Clock.Now() }

func (j *Judge) task(name taskgraph.TaskName) *judgedTask {
	known := j.tasks[name]
	if known == nil {
		known = &judgedTask{running: map[*run]bool{}, doneRuns: map[int]bool{}}
		j.tasks[name] = known
	}
	return known
}

// A task that crashes the workers that start it may be started startAllowance times more, at
// most, once crashAllowance workers have crashed under it.
const (
	crashAllowance = 3
	startAllowance = 2
)

// crashed notes that a worker crashed while it ran a task.
func (j *Judge) crashed(r *run) {
	t := j.task(r.name)
	t.crashes++
}

// checkCrashes notes a start too many of a task that crashes workers.
func (j *Judge) checkCrashes(r *run, t *judgedTask) {
	if _, guilty := j.world.Crashing[r.name]; !guilty || t.crashes < crashAllowance {
		return
	}
	if t.startsAfter++; t.startsAfter > startAllowance {
		j.broken("%v run %d starts on %s though %d workers have crashed under it", r.name, r.number, r.worker.ID, t.crashes)
	}
}

// Crashes returns how many workers have crashed while they ran a task.
func (j *Judge) Crashes(name taskgraph.TaskName) int { return j.task(name).crashes }

// cancelLimit is the time after a cancellation from which a start is wrong.
const cancelLimit = 3 * time.Second

func (j *Judge) started(r *run, order fleet.Start) {
	job := j.jobs[r.name.Job]
	t := j.task(r.name)
	t.starts++
	switch {
	case len(t.running) > 0:
		j.broken("%v run %d starts on %s beside another run", r.name, r.number, r.worker.ID)
	case t.noted && !j.world.step(r.name).LongRunning:
		j.broken("%v run %d starts after an end that was taken note of", r.name, r.number)
	case t.failures >= job.queue.MaxAttempts && !j.world.step(r.name).LongRunning:
		j.broken("%v run %d starts after all its attempts", r.name, r.number)
	case !job.cancelledAt.IsZero() && j.world.Clock.Now().Sub(job.cancelledAt) > cancelLimit && j.inTouch(order.Token):
		j.broken("%v run %d starts long after the cancellation", r.name, r.number)
	}
	if order.Payload != job.spec.Payload {
		j.broken("%v run %d starts with another payload", r.name, r.number)
	}
	j.checkZone(r)
	j.checkOrder(r, job)
	j.checkCrashes(r, t)
	if taken, allowed := r.worker.taken(), r.worker.allowance(); !taken.Within(allowed) {
		j.broken("%v run %d brings %s to %+v, over %+v", r.name, r.number, r.worker.ID, taken, allowed)
	}
	if t.done && !j.world.step(r.name).LongRunning {
		t.repeated = max(t.repeated, r.number)
	}
	t.running[r] = true
	j.Decided("begun", "task", r.name.String(), "run", r.number, "worker", r.worker.ID)
}

// checkZone notes a start in a zone that was evacuated longer ago than the bound. Nothing
// excuses it: owners that do not know start nothing, and orders that are late are refused.
func (j *Judge) checkZone(r *run) {
	if evacuatedFor := j.world.evacuatedFor(r.worker.Zone); evacuatedFor > j.world.Bounds.Evacuation {
		j.broken("%v run %d starts on %s, whose zone was evacuated %v before", r.name, r.number, r.worker.ID, evacuatedFor)
	}
}

// contactTime is how long an owner and the store must have been without trouble for promises
// that have a time bound.
const contactTime = 3 * time.Second

// inTouch reports whether neither the store nor the owner that sent an order was in trouble
// lately: right after it, an owner may know its placements written and not yet the
// cancellations that were written meanwhile.
func (j *Judge) inTouch(token int64) bool {
	now := j.world.Clock.Now()
	owner := j.world.ownerOf[token]
	paused := owner != nil && now.Sub(owner.Process.PausedUntil()) < contactTime
	return !paused && now.Sub(j.world.Store.troubledAt) >= contactTime
}

func (j *Judge) checkOrder(r *run, job *judgedJob) {
	for _, earlier := range job.spec.Steps[r.name.Step].After {
		step := &job.spec.Steps[earlier]
		for index := range step.Count {
			name := taskgraph.TaskName{Job: r.name.Job, Time: r.name.Time, Step: earlier, Index: index}
			if !j.task(name).done {
				j.broken("%v starts before %v has ended", r.name, name)
				return
			}
		}
	}
}

func (j *Judge) ended(r *run, how fleet.How) {
	t := j.task(r.name)
	delete(t.running, r)
	j.Decided("over", "task", r.name.String(), "run", r.number, "worker", r.worker.ID, "how", how)
	switch how {
	case fleet.Done:
		t.done = true
		t.doneRuns[r.number] = true
		if j.world.step(r.name).Gang {
			j.gangDone(r)
		}
	case fleet.Failed:
		t.failures++
	}
}

// gangDone counts one member's end for all.
func (j *Judge) gangDone(r *run) {
	for index := range j.world.step(r.name).Count {
		name := r.name
		name.Index = index
		j.task(name).done = true
	}
}

// noted notes that an end was acknowledged, which counts unless the worker's lease
// ran out in between.
func (j *Judge) noted(w *Worker, entry fleet.Ended) {
	if entry.How != fleet.Done || w.endedAt[entry.Number] != w.lapses {
		return
	}
	t := j.task(entry.Task)
	t.noted = true
	if t.repeated > entry.Run {
		j.broken("%v run %d was started after run %d had ended as done, which is taken note of only now", entry.Task, t.repeated, entry.Run)
	}
}

// Starts returns how often a task was started.
func (j *Judge) Starts(name taskgraph.TaskName) int { return j.task(name).starts }
