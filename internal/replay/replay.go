package replay

import (
	"container/heap"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// checkpointInterval is the interval of periodic checkpoints, in seconds.
const checkpointInterval = 300

// Cost is the cost of the decisions of a replay.
type Cost struct {
	// Decisions is the number of starts and preemptions.
	Decisions int64
	// Seconds is the time spent in scheduling cycles.
	Seconds float64
}

// Replay is one run of a trace.
type Replay struct {
	scheduler     *schedule.Scheduler
	emit          func(trace.Event)
	now           float64
	jobs          map[string]*runningJob
	timers        timerHeap
	sequence      int64
	down          map[string]bool
	cost          Cost
	clock         func() time.Time
	fitsIdleCache map[job.Shape]bool
}

// runningJob is the state of one job.
type runningJob struct {
	spec          job.Spec
	attempt       int
	submitted     float64
	remaining     float64
	startedAt     float64
	running       bool
	checkpointing bool
	ended         bool
	generation    int64
}

type timer struct {
	at           float64
	sequence     int64
	job          string
	generation   int64
	checkpointed bool
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run replays a trace on the cluster with the policy and passes the events to emit in order. The
// clock only measures the cost of decisions.
func Run(c *trace.Cluster, lines []trace.Line, policy schedule.Policy, clock func() time.Time, emit func(trace.Event)) Cost {
	scheduler, _ := c.Scheduler(policy)
	r := &Replay{
		scheduler: scheduler, emit: emit, clock: clock,
		jobs: map[string]*runningJob{}, down: map[string]bool{}, fitsIdleCache: map[job.Shape]bool{},
	}
	for next := 0; ; {
		at := math.Inf(1)
		if next < len(lines) {
			at = lines[next].At
		}
		if len(r.timers) > 0 && r.timers[0].at <= at {
			at = r.timers[0].at
		}
		if math.IsInf(at, 1) {
			return r.cost
		}
		r.now = at
		r.fireTimers()
		for next < len(lines) && lines[next].At <= at {
			r.apply(&lines[next])
			next++
		}
		r.cycle()
	}
}

func (r *Replay) fireTimers() {
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		due := heap.Pop(&r.timers).(timer)
		running := r.jobs[due.job]
		if running.ended || running.generation != due.generation {
			continue
		}
		if due.checkpointed {
			r.requeuePreempted(running)
		} else {
			r.finish(running)
		}
	}
}

func (r *Replay) setTimer(running *runningJob, delay float64, vacate bool) {
	r.sequence++
	running.generation = r.sequence
	heap.Push(&r.timers, timer{at: r.now + delay, sequence: r.sequence, job: running.spec.ID, generation: r.sequence, checkpointed: vacate})
}

func (r *Replay) finish(running *runningJob) {
	running.ended = true
	running.running = false
	r.emit(trace.Event{At: r.now, Event: trace.Finish, Job: running.spec.ID, Attempt: running.attempt})
	r.scheduler.Ended(trace.Time(r.now), keyOf(running))
}

func (r *Replay) requeuePreempted(running *runningJob) {
	running.running = false
	running.checkpointing = false
	running.generation = 0
	r.scheduler.Requeue(trace.Time(r.now), keyOf(running), seconds(running.remaining))
}

func keyOf(running *runningJob) job.Key {
	return job.Key{Tenant: running.spec.Tenant, ID: running.spec.ID}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

func (r *Replay) apply(line *trace.Line) {
	switch line.Event {
	case trace.Submit:
		r.submit(line)
	case trace.Cancel:
		r.cancel(line.Job)
	case trace.WorkerDown:
		r.workerDown(line.Worker)
	case trace.WorkerUp:
		r.workerUp(line.Worker)
	}
}

func (r *Replay) submit(line *trace.Line) {
	spec := line.Spec()
	running := &runningJob{spec: spec, submitted: r.now, remaining: spec.Duration}
	r.jobs[spec.ID] = running
	if !r.fitsIdle(spec.Shape) {
		running.ended = true
		r.emit(trace.Event{At: r.now, Event: trace.Reject, Job: spec.ID, Reason: "never_fits"})
		return
	}
	r.scheduler.Submit(trace.Time(r.now), spec, trace.Time(r.now), seconds(spec.Duration))
}

func (r *Replay) fitsIdle(shape job.Shape) bool {
	fits, known := r.fitsIdleCache[shape]
	if !known {
		fits = schedule.FitsIdle(r.scheduler.Cluster(), shape, "")
		r.fitsIdleCache[shape] = fits
	}
	return fits
}

func (r *Replay) cancel(id string) {
	running := r.jobs[id]
	if running.ended {
		return
	}
	running.ended = true
	if running.running {
		r.emit(trace.Event{At: r.now, Event: trace.Stop, Job: id, Attempt: running.attempt, Reason: "cancel"})
	}
	running.running = false
	r.scheduler.Ended(trace.Time(r.now), keyOf(running))
}

func (r *Replay) workerDown(name string) {
	if r.down[name] {
		return
	}
	r.down[name] = true
	id, _ := r.scheduler.Cluster().Lookup(name)
	r.scheduler.SetSchedulable(trace.Time(r.now), id, false)
	for _, key := range r.scheduler.JobsOn(id) {
		r.stopAndRequeue(r.jobs[key.ID])
	}
}

// stopAndRequeue stops a job whose worker went down and requeues its remaining work.
func (r *Replay) stopAndRequeue(running *runningJob) {
	if !running.running {
		return
	}
	if !running.checkpointing {
		running.remaining -= checkpointedWork(running, r.now)
	}
	running.running = false
	running.checkpointing = false
	running.generation = 0
	r.emit(trace.Event{At: r.now, Event: trace.Stop, Job: running.spec.ID, Attempt: running.attempt, Reason: "worker_down"})
	r.scheduler.Requeue(trace.Time(r.now), keyOf(running), seconds(running.remaining))
}

// checkpointedWork returns the work, in seconds, that the last periodic checkpoint saved.
func checkpointedWork(running *runningJob, now float64) float64 {
	if !running.spec.Checkpoint {
		return 0
	}
	return math.Floor((now-running.startedAt)/checkpointInterval) * checkpointInterval
}

func (r *Replay) workerUp(name string) {
	if !r.down[name] {
		return
	}
	delete(r.down, name)
	id, _ := r.scheduler.Cluster().Lookup(name)
	r.scheduler.SetSchedulable(trace.Time(r.now), id, true)
}

// cycle runs the scheduler at the current time until no decision frees capacity immediately.
func (r *Replay) cycle() {
	for {
		began := r.clock()
		decisions := r.scheduler.Decide(trace.Time(r.now))
		r.cost.Seconds += r.clock().Sub(began).Seconds()
		r.cost.Decisions += int64(len(decisions))
		again := false
		for _, decision := range decisions {
			again = r.execute(decision) || again
		}
		if !again {
			return
		}
	}
}

// execute executes a decision and reports whether it freed capacity immediately.
func (r *Replay) execute(decision schedule.Decision) bool {
	running := r.jobs[decision.Job.ID]
	if decision.Start {
		r.start(running, decision.Placement)
		return false
	}
	r.emit(trace.Event{At: r.now, Event: trace.Preempt, Job: running.spec.ID, Attempt: running.attempt, For: decision.For.ID})
	if !running.spec.Checkpoint {
		r.requeuePreempted(running)
		return true
	}
	running.remaining -= r.now - running.startedAt
	running.checkpointing = true
	r.setTimer(running, running.spec.CheckpointSeconds, true)
	return false
}

func (r *Replay) start(running *runningJob, placement []cluster.WorkerID) {
	running.attempt++
	running.running = true
	running.startedAt = r.now
	places := make([]trace.MemberPlacement, len(placement))
	for index, id := range placement {
		places[index] = trace.MemberPlacement{Worker: r.scheduler.Cluster().Workers[id].Name, Accelerators: running.spec.Accelerators}
	}
	r.emit(trace.Event{At: r.now, Event: trace.Start, Job: running.spec.ID, Attempt: running.attempt, Placement: places})
	r.setTimer(running, running.remaining, false)
}
