package simulation

import (
	"fmt"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Checker checks invariants over all runs and records violations. It also implements pool.Recorder
// and collects the owners' log events and metrics.
type Checker struct {
	cluster *Cluster
	// Violations lists the violations in the order of detection.
	Violations []string
	// DecisionLog contains the owners' log events, unless Quiet is set.
	DecisionLog []string
	Quiet       bool
	// DecisionCounts counts the owners' log events by name.
	DecisionCounts map[string]int
	// LostCoreSeconds is the unsaved work of ended runs.
	LostCoreSeconds float64
	// RejectionsExpected is set by tests in which the store rejects transactions. Otherwise a rejected
	// transaction is a violation, since owners must keep their rows within the store's limits.
	RejectionsExpected bool
	// preemptions counts the preemptions of each unit.
	preemptions map[string]int
	Metrics     map[string]int
	jobs        map[string]*jobRecord
	tasks       map[taskgraph.TaskName]*taskRecord
}

type jobRecord struct {
	spec        *taskgraph.Spec
	queue       catalog.Queue
	cancelledAt time.Time
	// failedRuns contains the failed runs of each unit. A run of a gang fails with any of its members.
	failedRuns map[unitName]map[int]bool
	// poison is set once an owner has found that a task of the job crashes its workers.
	poison bool
	// setAside is set once an owner has set the job's row aside, as the store does not take it.
	setAside bool
}

type taskRecord struct {
	running map[*run]bool
	// lastEndAt is when the last run ended; zero before.
	lastEndAt time.Time
	done      bool
	// doneRuns contains the numbers of the completed runs.
	doneRuns map[int]bool
	// acknowledged is set once an owner has acknowledged a completion.
	acknowledged bool
	starts       int
	// lastStartAt is when the last run started, and lastRun its number.
	lastStartAt time.Time
	lastRun     int
	// checkpoint is the checkpoint of the latest start.
	checkpoint string
	// crashes counts the workers that crashed while running the task.
	crashes int
	// startsAfterCrashes counts the starts after crashAllowance crashes.
	startsAfterCrashes int
}

func newChecker(cluster *Cluster) *Checker {
	return &Checker{cluster: cluster, Metrics: map[string]int{}, DecisionCounts: map[string]int{}, preemptions: map[string]int{}, jobs: map[string]*jobRecord{}, tasks: map[taskgraph.TaskName]*taskRecord{}}
}

// Count implements pool.Recorder.
func (c *Checker) Count(counter, reason string) { c.Metrics[counter+"/"+reason]++ }

// Set implements pool.Recorder.
func (c *Checker) Set(gauge string, value int64) { c.Metrics[gauge] = int(value) }

// Observe implements pool.Recorder.
func (c *Checker) Observe(string, time.Duration) {}

// LogEvent implements pool.Recorder.
func (c *Checker) LogEvent(event string, keysAndValues ...any) {
	c.DecisionCounts[event]++
	switch event {
	case "stopped":
		c.countPreemption(fieldsOf(keysAndValues))
	case "run ended":
		lost, _ := fieldsOf(keysAndValues)["unsaved_core_s"].(float64)
		c.LostCoreSeconds += lost
	case "poison job failed":
		c.jobOf(keysAndValues).poison = true
	case "row set aside":
		c.jobOf(keysAndValues).setAside = true
	case "job ended":
		if fieldsOf(keysAndValues)["state"] == string(taskgraph.Failed) {
			c.checkFailedJob(c.jobOf(keysAndValues))
		}
	}
	if c.Quiet {
		return
	}
	at := c.cluster.Clock.Now().Sub(c.cluster.epoch)
	c.DecisionLog = append(c.DecisionLog, fmt.Sprintf("%v %s %v", at, event, keysAndValues))
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

func (c *Checker) countPreemption(fields map[string]any) {
	if fields["reason"] == "preempted" {
		c.preemptions[fmt.Sprint(fields["job"], " ", fields["step"], " ", fields["unit"])]++
	}
}

// MaxPreemptions returns the highest number of preemptions of a single unit.
func (c *Checker) MaxPreemptions() int {
	highest := 0
	for _, stops := range c.preemptions {
		highest = max(highest, stops)
	}
	return highest
}

// rejected records a transaction that the store has rejected for its content.
func (c *Checker) rejected(reason error) {
	c.Metrics["rejected_transactions"]++
	if !c.RejectionsExpected && c.Metrics["rejected_transactions"] == 1 {
		c.addViolation("store rejected a transaction: %v", reason)
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	at := c.cluster.Clock.Now().Sub(c.cluster.epoch)
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (c *Checker) accepted(spec *taskgraph.Spec, queue catalog.Queue) {
	c.jobs[spec.ID] = &jobRecord{spec: spec, queue: queue, failedRuns: map[unitName]map[int]bool{}}
}

// Cancelled records that the cancellation of a job was acknowledged.
func (c *Checker) Cancelled(id string) { c.cancelled(id) }

// JobStarts returns the number of started runs of a job.
func (c *Checker) JobStarts(id string) int {
	starts := 0
	for name, t := range c.tasks {
		if name.Job == id {
			starts += t.starts
		}
	}
	return starts
}

// JobDone reports whether every task of a job has completed.
func (c *Checker) JobDone(id string) bool {
	spec := c.jobs[id].spec
	for step := range spec.Steps {
		for index := range spec.Steps[step].Count {
			if !c.task(taskgraph.TaskName{Job: id, Step: step, Index: index}).done {
				return false
			}
		}
	}
	return true
}

func (c *Checker) cancelled(id string) { c.jobs[id].cancelledAt = c.cluster.Clock.Now() }

func (c *Checker) task(name taskgraph.TaskName) *taskRecord {
	known := c.tasks[name]
	if known == nil {
		known = &taskRecord{running: map[*run]bool{}, doneRuns: map[int]bool{}}
		c.tasks[name] = known
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
func (c *Checker) crashed(r *run) {
	t := c.task(r.name)
	t.crashes++
}

// checkCrashes reports a violation if a task that crashes workers starts too often.
func (c *Checker) checkCrashes(r *run, t *taskRecord) {
	if _, crashesWorkers := c.cluster.Crashing[r.name]; !crashesWorkers || t.crashes < crashAllowance {
		return
	}
	if t.startsAfterCrashes++; t.startsAfterCrashes > startAllowance {
		c.addViolation("%v run %d starts on %s although %d workers have crashed while running the task", r.name, r.number, r.worker.ID, t.crashes)
	}
}

// Crashes returns the number of workers that crashed while running a task.
func (c *Checker) Crashes(name taskgraph.TaskName) int { return c.task(name).crashes }

// cancelBound is the time after a cancellation from which no run may start. It does not apply to orders
// that a worker carries out late.
const cancelBound = 3 * time.Second

func (c *Checker) started(r *run, order fleet.Start) {
	job := c.jobs[r.name.Job]
	t := c.task(r.name)
	t.starts++
	t.checkpoint = order.Checkpoint
	switch {
	case len(t.running) > 0:
		c.addViolation("%v run %d starts on %s while another run of the task is active", r.name, r.number, r.worker.ID)
	case t.acknowledged && !c.cluster.step(r.name).LongRunning:
		c.addViolation("%v run %d starts after the owner acknowledged the task's completion", r.name, r.number)
	case !c.hasAttemptsLeft(r) && !c.cluster.step(r.name).LongRunning:
		c.addViolation("%v run %d starts although the task has no attempts left", r.name, r.number)
	case !c.cluster.executingLate && !job.cancelledAt.IsZero() && c.cluster.Clock.Now().Sub(job.cancelledAt) > cancelBound && c.recentlyFaultFree(r.worker.Pool, order.Token):
		c.addViolation("%v run %d starts after the cancellation bound", r.name, r.number)
	}
	if order.Payload != job.spec.Payload {
		c.addViolation("%v run %d starts with a payload that differs from the job's", r.name, r.number)
	}
	c.checkZone(r)
	c.checkDependencies(r, job)
	c.checkCrashes(r, t)
	if taken, allowed := r.worker.usage(), r.worker.allowedUsage(); !taken.FitsIn(allowed) {
		c.addViolation("%v run %d raises usage of %s to %+v, over the allowed %+v", r.name, r.number, r.worker.ID, taken, allowed)
	}
	t.lastStartAt, t.lastRun = c.cluster.Clock.Now(), r.number
	t.running[r] = true
	c.LogEvent("begun", "task", r.name.String(), "run", r.number, "worker", r.worker.ID)
}

// checkZone reports a violation if a run starts in an evacuated zone after EvacuationTimeout. The
// bound applies during faults too: an owner that cannot read the evacuations starts no runs, and
// workers refuse orders after their deadline. It does not apply to orders that a worker carries out late.
func (c *Checker) checkZone(r *run) {
	if c.cluster.executingLate {
		return
	}
	if evacuatedFor := c.cluster.evacuatedFor(r.worker.Zone); evacuatedFor > c.cluster.Bounds.EvacuationTimeout {
		c.addViolation("%v run %d starts on %s, whose zone was evacuated %v before", r.name, r.number, r.worker.ID, evacuatedFor)
	}
}

// faultFreeTime is how long the owner and the store must have been free of faults before
// cancelBound applies.
const faultFreeTime = 3 * time.Second

// recentlyFaultFree reports whether the store and the pool's owner with the given fencing token had no
// fault during the last faultFreeTime. Right after a fault, the owner may send starts before it has
// read the cancellations that were written during the fault.
func (c *Checker) recentlyFaultFree(pool string, token int64) bool {
	now := c.cluster.Clock.Now()
	owner := c.cluster.ownerOf[c.cluster.Store.LeaseAt(pool, token)]
	paused := owner != nil && now.Sub(owner.Process.PausedUntil()) < faultFreeTime
	return !paused && now.Sub(c.cluster.Store.lastFaultAt) >= faultFreeTime
}

func (c *Checker) checkDependencies(r *run, job *jobRecord) {
	for _, earlier := range job.spec.Steps[r.name.Step].After {
		step := &job.spec.Steps[earlier]
		for index := range step.Count {
			name := taskgraph.TaskName{Job: r.name.Job, Repetition: r.name.Repetition, Step: earlier, Index: index}
			if !c.task(name).done {
				c.addViolation("%v starts before its dependency %v has completed", r.name, name)
				return
			}
		}
	}
}

func (c *Checker) ended(r *run, reason fleet.EndReason) {
	t := c.task(r.name)
	delete(t.running, r)
	t.lastEndAt = c.cluster.Clock.Now()
	c.LogEvent("over", "task", r.name.String(), "run", r.number, "worker", r.worker.ID, "how", reason)
	switch reason {
	case fleet.EndDone:
		t.done = true
		t.doneRuns[r.number] = true
		if c.cluster.step(r.name).Gang {
			c.markGangDone(r)
		}
	case fleet.EndFailed:
		c.recordFailedRun(r)
	}
}

// markGangDone marks all tasks of a gang as done when one member completes.
func (c *Checker) markGangDone(r *run) {
	for index := range c.cluster.step(r.name).Count {
		name := r.name
		name.Index = index
		c.task(name).done = true
	}
}

// endAcknowledged records that an owner acknowledged the completion of a run. It ignores
// completions from before the worker's last lease expiration.
func (c *Checker) endAcknowledged(w *Worker, entry fleet.EndedRun) {
	ended := w.endedAt[entry.Number]
	if entry.Reason != fleet.EndDone || ended.leaseExpirations != w.leaseExpirations {
		return
	}
	t := c.task(entry.Task)
	t.acknowledged = true
	if t.lastStartAt.After(ended.at) && !c.cluster.step(entry.Task).LongRunning {
		c.addViolation("%v run %d started after run %d had completed; the owner acknowledged that completion only now", entry.Task, t.lastRun, entry.Run)
	}
}

// LatestCheckpoint returns the checkpoint from which the latest run of a task started.
func (c *Checker) LatestCheckpoint(name taskgraph.TaskName) string { return c.task(name).checkpoint }

// Starts returns the number of started runs of a task.
func (c *Checker) Starts(name taskgraph.TaskName) int { return c.task(name).starts }
