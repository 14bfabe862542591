package simulation

import (
	"sort"
	"time"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is one instance of a worker. Each restart creates another Worker, even under the same
// identifier.
type Worker struct {
	fleet.Worker
	cluster *Cluster
	clock   *emulator.Clock
	// clockEpoch is when the worker's own clock was 0.
	clockEpoch time.Time
	// token is the highest fencing token of the orders so far.
	token int64
	// leaseEnd is when the lease expires and the worker ends all runs.
	leaseEnd time.Time
	// runs contains the active runs, also if a task has several of them.
	runs map[runID]*run
	// supersededRuns contains the highest run number of each task that may no longer start.
	supersededRuns map[taskgraph.TaskName]int
	// ended contains the ended runs that no owner has acknowledged.
	ended         []fleet.EndedRun
	lastEndNumber int64
	// leaseExpirations counts expired leases.
	leaseExpirations int
	// endedAt tells when each run ended, by end number.
	endedAt map[int64]endTime
	// waiters answer the pending polls when a run ends.
	waiters []func()
	// resets fail the pending polls when the worker process crashes.
	resets []func()
	// Crashed is set once the process has crashed, at crashedAt.
	Crashed   bool
	crashedAt time.Time
	// Partitioned partitions the worker from all owners; its runs continue.
	Partitioned bool
	// CutOff reports whether the path from the owner with a lease row of a version is cut; nil means from
	// none.
	CutOff func(leaseVersion int64) bool
	// Replaced is set once another instance listens at the worker's address.
	Replaced bool
	// OrderOutcome chooses the outcome of each order except polls; nil means Acknowledged.
	OrderOutcome func() Outcome
	// PollOutcome chooses the outcome of each poll; nil means Acknowledged.
	PollOutcome func(fleet.Poll) Outcome
	// DropPollReply reports whether the reply to a poll is lost.
	DropPollReply func() bool
	// OmitRun reports whether a report omits the run of a task, which the protocol does not provide for;
	// nil means that reports are complete.
	OmitRun func(taskgraph.TaskName) bool
	// Unreachable workers refuse connections.
	Unreachable bool
	// Unhealthy workers refuse starts as unhealthy.
	Unhealthy bool
	// Failing workers fail all runs that they start.
	Failing bool
	// Runs on Stalled workers make no progress and do not finish.
	Stalled bool
	// SlowdownFactor is the factor on the duration of work. It is less than 1 for fast workers; 0
	// means 1.
	SlowdownFactor float64
	// capacities contains the capacity changes in order.
	capacities []capacityChange
}

// runID identifies a run on a worker.
type runID struct {
	task   taskgraph.TaskName
	number int
}

// endTime tells when a run ended.
type endTime struct {
	at time.Time
	// leaseExpirations is the number of leases of the worker that had expired by then.
	leaseExpirations int
}

// run is one run of a task.
type run struct {
	name         taskgraph.TaskName
	number       int
	worker       *Worker
	startedAt    time.Time
	working      bool
	workingSince time.Time
	checkpoint   string
	stopping     bool
	over         bool
	// finished is set once the work is complete. A gang member then waits for the other members.
	finished bool
	// percent is the last reported progress.
	percent int
}

func (r *run) id() runID { return runID{task: r.name, number: r.number} }

// StopTime is the default time that a run takes to stop.
const StopTime = 300 * time.Millisecond

// clockMillis returns the time of the worker's own clock.
func (w *Worker) clockMillis() int64 { return w.clock.Now().Sub(w.clockEpoch).Milliseconds() }

// Token returns the highest fencing token of the orders so far.
func (w *Worker) Token() int64 { return w.token }

func (w *Worker) extendLease(deadline int64) {
	if deadline == 0 {
		return
	}
	end := w.clockEpoch.Add(time.Duration(deadline) * time.Millisecond)
	if limit := w.clock.Now().Add(w.cluster.Bounds.MaxLease); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		w.clock.At(end, w.expireLease)
	}
}

func (w *Worker) expireLease() {
	if w.Crashed || w.clock.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseExpirations++
	for _, r := range w.sortedRuns() {
		w.end(r, fleet.EndLeaseExpired, "")
	}
}

func (w *Worker) start(order fleet.Start) (fleet.Reply, error) {
	reply := fleet.Reply{ClockMillis: w.clockMillis()}
	if order.Token < w.token {
		return reply, fleet.ErrFenced
	}
	w.token = order.Token
	if w.Unhealthy {
		return reply, fleet.ErrUnhealthy
	}
	if w.runs[runID{task: order.Task, number: order.Run}] != nil {
		return reply, nil
	}
	if order.Run <= w.supersededRuns[order.Task] {
		w.extendLease(order.DeadlineMillis)
		return reply, fleet.ErrSuperseded
	}
	if order.DeadlineMillis < reply.ClockMillis {
		return reply, fleet.ErrDeadlinePassed
	}
	w.extendLease(order.DeadlineMillis)
	step := w.cluster.step(order.Task)
	if !w.cluster.SkipCapacityCheck && !step.Requirements().FitsIn(w.free()) {
		return reply, fleet.ErrInsufficientCapacity
	}
	w.begin(order)
	return reply, nil
}

func (w *Worker) free() taskgraph.Resources {
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Minus(w.cluster.step(r.name).Requirements())
	}
	return free
}

func (w *Worker) begin(order fleet.Start) {
	r := &run{name: order.Task, number: order.Run, worker: w, startedAt: w.clock.Now(), checkpoint: order.Checkpoint}
	w.runs[r.id()] = r
	w.cluster.addToGang(r)
	w.cluster.Checker.started(r, order)
	if w.Failing {
		w.clock.After(failureDelay, func() { w.end(r, fleet.EndFailed, "") })
		return
	}
	w.scheduleCrash(r, AtStart)
	w.cluster.startWhenGangComplete(r)
}

const failureDelay = 40 * time.Millisecond

// work runs the task until it is complete.
func (w *Worker) work(r *run) {
	if r.working || r.over {
		return
	}
	r.working = true
	r.workingSince = w.clock.Now()
	w.scheduleCrash(r, AtWorkStart)
	duration := time.Duration(float64(w.cluster.Work(r.name)-savedWork(r.checkpoint)) * w.cluster.crossRackSlowdown(r))
	duration = time.Duration(float64(duration) * w.slowdownFactor())
	w.clock.After(duration, func() { w.finish(r) })
}

// slowdownFactor returns the factor on the duration of work.
func (w *Worker) slowdownFactor() float64 {
	if w.SlowdownFactor == 0 {
		return 1
	}
	return w.SlowdownFactor
}

// stalledRetryPeriod is the interval at which a run on a stalled worker tries to finish.
const stalledRetryPeriod = 100 * time.Millisecond

func (w *Worker) finish(r *run) {
	switch {
	case r.over || r.stopping || w.Crashed:
	case w.Stalled:
		w.clock.After(stalledRetryPeriod, func() { w.finish(r) })
	default:
		w.cluster.finish(r)
	}
}

// end removes a run and adds it to the ended runs that the worker reports.
func (w *Worker) end(r *run, reason fleet.EndReason, checkpoint string) {
	if r.over || w.Crashed {
		return
	}
	r.over = true
	delete(w.runs, r.id())
	w.cluster.removeFromGang(r)
	w.supersededRuns[r.name] = max(w.supersededRuns[r.name], r.number)
	w.lastEndNumber++
	w.endedAt[w.lastEndNumber] = endTime{at: w.clock.Now(), leaseExpirations: w.leaseExpirations}
	w.ended = append(w.ended, fleet.EndedRun{Number: w.lastEndNumber, Task: r.name, Run: r.number, Reason: reason, Checkpoint: checkpoint})
	w.cluster.Checker.ended(r, reason)
	w.cluster.breakGang(r, reason)
	waiters := w.waiters
	w.waiters = nil
	for _, wake := range waiters {
		w.clock.After(0, wake)
	}
}

func (w *Worker) stop(order fleet.Stop) (fleet.Reply, error) {
	reply := fleet.Reply{ClockMillis: w.clockMillis()}
	if order.Token < w.token {
		return reply, fleet.ErrFenced
	}
	w.token = order.Token
	w.supersededRuns[order.Task] = max(w.supersededRuns[order.Task], order.Run)
	for _, r := range w.sortedRuns() {
		if r.name == order.Task && r.number <= order.Run && !r.stopping {
			r.stopping = true
			w.clock.After(w.cluster.StopTime, func() { w.end(r, fleet.EndStopped, w.newCheckpoint(r)) })
		}
	}
	return reply, nil
}

// poll passes the worker's status to done. It replies immediately if the order has no wait or an
// ended run is unacknowledged. Otherwise it replies when a run ends or the wait is over.
func (w *Worker) poll(order fleet.Poll, done func(fleet.Reply, error)) {
	if order.Token < w.token {
		done(fleet.Reply{ClockMillis: w.clockMillis()}, fleet.ErrFenced)
		return
	}
	w.token = order.Token
	w.extendLease(order.DeadlineMillis)
	kept := w.ended[:0]
	for _, entry := range w.ended {
		if entry.Number > order.AcknowledgedEnd {
			kept = append(kept, entry)
		} else {
			w.cluster.Checker.endAcknowledged(w, entry)
		}
	}
	w.ended = kept
	if order.Wait == 0 || len(w.ended) > 0 {
		done(w.status(), nil)
		return
	}
	answered := false
	answer := func() {
		if !answered && !w.Crashed && !w.Partitioned {
			answered = true
			done(w.status(), nil)
		}
	}
	w.waiters = append(w.waiters, answer)
	w.resets = append(w.resets, func() {
		if !answered {
			answered = true
			done(fleet.Reply{}, fleet.ErrOutcomeUnknown)
		}
	})
	w.clock.After(order.Wait, answer)
}

func (w *Worker) status() fleet.Reply {
	listed := w.ended[:min(len(w.ended), w.cluster.Bounds.MaxListedEnds)]
	reply := fleet.Reply{
		StartMillis: w.StartMillis, ClockMillis: w.clockMillis(),
		Ended: append([]fleet.EndedRun(nil), listed...), MoreEnded: len(listed) == w.cluster.Bounds.MaxListedEnds,
	}
	for _, r := range w.sortedRuns() {
		omitted := w.OmitRun != nil && w.OmitRun(r.name)
		if !r.stopping && !omitted {
			reply.Running = append(reply.Running, fleet.ActiveRun{Task: r.name, Run: r.number, Checkpoint: w.listedCheckpoint(r), Percent: w.percent(r)})
		}
	}
	return reply
}

func (w *Worker) percent(r *run) int {
	if r.working && !w.Stalled {
		done := float64(savedWork(r.checkpoint)) + float64(w.clock.Now().Sub(r.startedAt))/w.slowdownFactor()
		share := done / float64(w.cluster.Work(r.name))
		r.percent = min(99, int(100*share))
	}
	return r.percent
}

// Crash ends the worker process; its runs are lost.
func (w *Worker) Crash() {
	w.Crashed, w.crashedAt = true, w.clock.Now()
	w.cluster.lastCrashAt = w.clock.Now()
	for _, r := range w.sortedRuns() {
		r.over = true
		w.cluster.Checker.crashed(r)
		w.cluster.removeFromGang(r)
		w.cluster.Checker.ended(r, fleet.EndLeaseExpired)
		w.cluster.breakGang(r, fleet.EndLeaseExpired)
	}
	w.runs = map[runID]*run{}
}

// Runs returns the number of runs on the worker.
func (w *Worker) Runs() int { return len(w.runs) }

// RunsOf returns the number of runs of a job on the worker.
func (w *Worker) RunsOf(job string) int {
	count := 0
	for id := range w.runs {
		if id.task.Job == job {
			count++
		}
	}
	return count
}

// RunsOfTask reports whether the worker has a run of a task.
func (w *Worker) RunsOfTask(name taskgraph.TaskName) bool {
	for id := range w.runs {
		if id.task == name {
			return true
		}
	}
	return false
}

// sortedRuns returns the runs sorted by task name and number.
func (w *Worker) sortedRuns() []*run {
	sorted := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].name != sorted[j].name {
			return sorted[i].name.String() < sorted[j].name.String()
		}
		return sorted[i].number < sorted[j].number
	})
	return sorted
}

// FailRuns ends all runs on the worker as failed.
func (w *Worker) FailRuns() {
	for _, r := range w.sortedRuns() {
		w.end(r, fleet.EndFailed, "")
	}
}

// AdvanceClock sets the worker's own clock forward.
func (w *Worker) AdvanceClock(by time.Duration) { w.clockEpoch = w.clockEpoch.Add(-by) }
