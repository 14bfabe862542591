package simulation

import (
	"sort"
	"time"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is one life of a worker.
type Worker struct {
	fleet.Worker
	world *World
	clock *emulator.Clock
	// clockEpoch is when the worker's own clock stood at 0.
	clockEpoch time.Time
	token      int64
	// leaseEnd is when all that runs is killed.
	leaseEnd time.Time
	runs     map[taskgraph.TaskName]*run
	barred   map[taskgraph.TaskName]int
	ended    []fleet.Ended
	number   int64
	// lapses counts how often the lease ran out; endedAt has the count at each end.
	lapses  int
	endedAt map[int64]int
	waiters []func()
	// resets end the holds under way when the worker's process dies.
	resets []func()
	// Dead workers run nothing and answer nothing.
	Dead bool
	// Cut workers run on and answer nothing.
	Cut bool
	// Replaced workers are gone; another instance answers at their address.
	Replaced bool
	// LoseOrder decides the fate of each order; holds are always answered.
	LoseOrder func() Fate
	// LoseAnswer decides whether the answer to a hold is lost.
	LoseAnswer func() bool
	// Unreachable workers refuse connections.
	Unreachable bool
	// Unwell workers refuse starts.
	Unwell bool
	// Failing workers fail all that they start; on Standing ones nothing makes progress
	// and nothing finishes.
	Failing  bool
	Standing bool
	// Slowness is how many times longer work takes, less than 1 on fast workers; 0 means 1.
	Slowness float64
	// capacities has the worker's capacity from a time on, in the order of the changes.
	capacities []capacitySince
}

// run is one run of a task.
type run struct {
	name    taskgraph.TaskName
	number  int
	worker  *Worker
	begunAt time.Time
	working bool
	// workingSince is when its work began.
	workingSince time.Time
	checkpoint   string
	stopping     bool
	over         bool
	// finished runs have done their work; those of a gang then wait for the others.
	finished bool
	// percent is the progress that was last listed.
	percent int
}

// StopTime is how long a stop takes, unless a world says otherwise.
const StopTime = 300 * time.Millisecond

// clockMillis is the worker's clock.
func (w *Worker) clockMillis() int64 { return w.clock.Now().Sub(w.clockEpoch).Milliseconds() }

func (w *Worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	end := w.clockEpoch.Add(time.Duration(deadline) * time.Millisecond)
	if limit := w.clock.Now().Add(w.world.Bounds.MaxHold); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		w.clock.At(end, w.lapse)
	}
}

func (w *Worker) lapse() {
	if w.Dead || w.clock.Now().Before(w.leaseEnd) {
		return
	}
	w.lapses++
	for _, r := range w.sortedRuns() {
		w.end(r, fleet.Lapsed, "")
	}
}

func (w *Worker) start(order fleet.Start) (fleet.Reply, error) {
	reply := fleet.Reply{ClockMillis: w.clockMillis()}
	if order.Token < w.token {
		return reply, fleet.ErrFenced
	}
	w.token = order.Token
	if w.Unwell {
		return reply, fleet.ErrUnhealthy
	}
	if present := w.runs[order.Task]; present != nil && present.number == order.Run {
		return reply, nil
	}
	if order.Run <= w.barred[order.Task] {
		w.extend(order.DeadlineMillis)
		return reply, fleet.ErrSuperseded
	}
	if order.DeadlineMillis < reply.ClockMillis {
		return reply, fleet.ErrLate
	}
	w.extend(order.DeadlineMillis)
	step := w.world.step(order.Task)
	if !w.world.Unguarded && !step.Room().Within(w.free()) {
		return reply, fleet.ErrNoRoom
	}
	w.begin(order)
	return reply, nil
}

func (w *Worker) free() taskgraph.Amount {
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Minus(w.world.step(r.name).Room())
	}
	return free
}

func (w *Worker) begin(order fleet.Start) {
	r := &run{name: order.Task, number: order.Run, worker: w, begunAt: w.clock.Now(), checkpoint: order.Checkpoint}
	w.runs[order.Task] = r
	w.world.enterGang(r)
	w.world.Judge.started(r, order)
	if w.Failing {
		w.clock.After(failAfter, func() { w.end(r, fleet.Failed, "") })
		return
	}
	w.crashUnder(r, AtStart)
	w.world.assemble(r)
}

const failAfter = 40 * time.Millisecond

// work runs a task to its end.
func (w *Worker) work(r *run) {
	if r.working || r.over {
		return
	}
	r.working = true
	r.workingSince = w.clock.Now()
	w.crashUnder(r, AtWork)
	duration := time.Duration(float64(w.world.Work(r.name)-saved(r.checkpoint)) * w.world.distance(r))
	duration = time.Duration(float64(duration) * w.slowness())
	w.clock.After(duration, func() { w.finish(r) })
}

// slowness is how many times longer work takes than on an ordinary worker.
func (w *Worker) slowness() float64 {
	if w.Slowness == 0 {
		return 1
	}
	return w.Slowness
}

// standingPause is the pause between two tries of a run to finish on a standing worker.
const standingPause = 100 * time.Millisecond

func (w *Worker) finish(r *run) {
	switch {
	case r.over || r.stopping || w.Dead:
	case w.Standing:
		w.clock.After(standingPause, func() { w.finish(r) })
	default:
		w.world.finish(r)
	}
}

// end lists a run as ended.
func (w *Worker) end(r *run, how fleet.How, checkpoint string) {
	if r.over || w.Dead {
		return
	}
	r.over = true
	delete(w.runs, r.name)
	w.world.leaveGang(r)
	w.barred[r.name] = max(w.barred[r.name], r.number)
	w.number++
	w.endedAt[w.number] = w.lapses
	w.ended = append(w.ended, fleet.Ended{Number: w.number, Task: r.name, Run: r.number, How: how, Checkpoint: checkpoint})
	w.world.Judge.ended(r, how)
	w.world.memberEnded(r, how)
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
	w.barred[order.Task] = max(w.barred[order.Task], order.Run)
	if r := w.runs[order.Task]; r != nil && r.number <= order.Run && !r.stopping {
		r.stopping = true
		w.clock.After(w.world.StopTime, func() { w.end(r, fleet.Stopped, w.newCheckpoint(r)) })
	}
	return reply, nil
}

// hold answers at once, or when a run ends, through done.
func (w *Worker) hold(order fleet.Hold, done func(fleet.Reply, error)) {
	if order.Token < w.token {
		done(fleet.Reply{ClockMillis: w.clockMillis()}, fleet.ErrFenced)
		return
	}
	w.token = order.Token
	w.extend(order.DeadlineMillis)
	kept := w.ended[:0]
	for _, entry := range w.ended {
		if entry.Number > order.LastSeen {
			kept = append(kept, entry)
		} else {
			w.world.Judge.noted(w, entry)
		}
	}
	w.ended = kept
	if order.Wait == 0 || len(w.ended) > 0 {
		done(w.account(), nil)
		return
	}
	answered := false
	answer := func() {
		if !answered && !w.Dead && !w.Cut {
			answered = true
			done(w.account(), nil)
		}
	}
	w.waiters = append(w.waiters, answer)
	w.resets = append(w.resets, func() {
		if !answered {
			answered = true
			done(fleet.Reply{}, fleet.ErrNoAnswer)
		}
	})
	w.clock.After(order.Wait, answer)
}

func (w *Worker) account() fleet.Reply {
	reply := fleet.Reply{Born: w.Born, ClockMillis: w.clockMillis(), Ended: append([]fleet.Ended(nil), w.ended...)}
	for _, r := range w.sortedRuns() {
		if !r.stopping {
			reply.Running = append(reply.Running, fleet.Running{Task: r.name, Run: r.number, Percent: w.percent(r)})
		}
	}
	return reply
}

func (w *Worker) percent(r *run) int {
	if r.working && !w.Standing {
		done := float64(saved(r.checkpoint)) + float64(w.clock.Now().Sub(r.begunAt))/w.slowness()
		share := done / float64(w.world.Work(r.name))
		r.percent = min(99, int(100*share))
	}
	return r.percent
}

// Crash ends the worker's life.
func (w *Worker) Crash() {
	w.Dead = true
	for _, r := range w.sortedRuns() {
		r.over = true
		w.world.Judge.crashed(r)
		w.world.leaveGang(r)
		w.world.Judge.ended(r, fleet.Lapsed)
		w.world.memberEnded(r, fleet.Lapsed)
	}
	w.runs = map[taskgraph.TaskName]*run{}
}

// Runs returns how many runs the worker has.
func (w *Worker) Runs() int { return len(w.runs) }

// RunsOf returns how many runs of a job the worker has.
func (w *Worker) RunsOf(job string) int {
	count := 0
	for name := range w.runs {
		if name.Job == job {
			count++
		}
	}
	return count
}

// RunsOfTask reports whether the worker has a run of a task.
func (w *Worker) RunsOfTask(name taskgraph.TaskName) bool { return w.runs[name] != nil }

// sortedRuns lists the worker's runs in the order of their names.
func (w *Worker) sortedRuns() []*run {
	sorted := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name.String() < sorted[j].name.String() })
	return sorted
}
