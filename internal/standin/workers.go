package standin

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// Payload is the part of a job's payload that simulated workers interpret.
type Payload struct {
	// RunSeconds is the run time of a member.
	RunSeconds float64 `json:"run_seconds"`
	// OutputBytes is the size of each member's output.
	OutputBytes int `json:"output_bytes"`
	// Fail makes the member fail at the end of its run time.
	Fail bool `json:"fail"`
}

// Execution is an entry of the execution history: the start or end of an attempt.
type Execution struct {
	At      time.Time        `json:"at"`
	Worker  string           `json:"worker"`
	Tenant  string           `json:"tenant"`
	Job     string           `json:"job"`
	Attempt int              `json:"attempt"`
	Epoch   int64            `json:"epoch"`
	Members []int            `json:"members"`
	Began   bool             `json:"began"`
	State   worker.TaskState `json:"state"`
}

// SimulatedWorker is a simulated worker that runs no processes. It is not safe for concurrent use.
type SimulatedWorker struct {
	machine machines.Machine
	leaving bool
	epochs  map[string]int64
	tasks   map[taskKey]*task
	used    job.Shape
	slots   int
	// Fencing rejects orders with stale epochs. It can be switched off to verify that tests detect
	// its absence.
	Fencing bool
	// RefuseLeaving makes a leaving worker refuse reservations. Without it the worker only states
	// in replies and reports that it is leaving.
	RefuseLeaving bool
	// Report is called for each change of a task.
	Report func(domain string, report worker.Report)
	// Output is called with the output of a finished member.
	Output func(name string, content []byte)
	// Record is called for each start and end of an attempt.
	Record func(Execution)
}

type taskKey struct {
	tenant  string
	job     string
	attempt int
}

type task struct {
	worker.Task
	order worker.Order
	// deadline is the expiry of the reservation or lease.
	deadline time.Time
	// endsAt is when running members finish or a checkpoint is complete.
	endsAt        time.Time
	started       time.Time
	checkpointing bool
	payload       Payload
}

// NewWorker returns an idle worker on the given machine.
func NewWorker(machine machines.Machine) *SimulatedWorker {
	return &SimulatedWorker{
		machine: machine,
		epochs:  map[string]int64{},
		tasks:   map[taskKey]*task{},
		Fencing: true, RefuseLeaving: true,
		Report: func(string, worker.Report) {},
		Output: func(string, []byte) {},
		Record: func(Execution) {},
	}
}

// Machine returns the entry of the worker in the machine list.
func (w *SimulatedWorker) Machine() machines.Machine { return w.machine }

// SetLeaving sets whether the worker is leaving. It reports the start of leaving to all domains.
func (w *SimulatedWorker) SetLeaving(leaving bool) {
	if leaving && !w.leaving {
		for domain := range w.epochs {
			w.Report(domain, worker.Report{Worker: w.machine.Name, Draining: true})
		}
	}
	w.leaving = leaving
}

// Leaving reports whether the worker is leaving.
func (w *SimulatedWorker) Leaving() bool { return w.leaving }

// Restart discards all state, like a machine after a power loss.
func (w *SimulatedWorker) Restart(now time.Time) {
	for _, t := range w.sortedTasks() {
		if t.State == worker.TaskRunning {
			w.record(now, t, false)
		}
	}
	w.tasks = map[taskKey]*task{}
	w.epochs = map[string]int64{}
	w.used = job.Shape{}
	w.slots = 0
	w.leaving = false
}

// Handle executes or refuses an order.
func (w *SimulatedWorker) Handle(now time.Time, order worker.Order) worker.Reply {
	w.Advance(now)
	if w.Fencing && order.Epoch < w.epochs[order.Domain] {
		return w.reply(order, worker.RefusedStaleEpoch)
	}
	w.epochs[order.Domain] = max(w.epochs[order.Domain], order.Epoch)
	key := taskKey{tenant: order.Tenant, job: order.Job, attempt: order.Attempt}
	switch order.Action {
	case worker.Reserve:
		return w.reply(order, w.reserve(now, key, order))
	case worker.Start:
		return w.reply(order, w.start(now, key, order))
	case worker.Release:
		w.release(key)
	case worker.Checkpoint:
		return w.reply(order, w.checkpoint(now, key, order))
	case worker.Stop:
		return w.reply(order, w.stop(now, key))
	case worker.Renew:
		return w.renew(now, order)
	case worker.DeleteEnded:
		w.forget(key)
	case worker.Throttle:
	}
	return w.reply(order, worker.RefusedNone)
}

func (w *SimulatedWorker) reply(order worker.Order, refusal worker.Refusal) worker.Reply {
	return worker.Reply{Refusal: refusal, Epoch: w.epochs[order.Domain], Draining: w.leaving}
}

func (w *SimulatedWorker) reserve(now time.Time, key taskKey, order worker.Order) worker.Refusal {
	if _, exists := w.tasks[key]; exists {
		return worker.RefusedNone
	}
	if w.leaving && w.RefuseLeaving {
		return worker.RefusedDraining
	}
	if !w.fits(order) {
		return worker.RefusedNoCapacity
	}
	t := &task{
		Task:     worker.Task{Tenant: order.Tenant, Job: order.Job, Attempt: order.Attempt, Members: order.Members, State: worker.TaskReserved},
		order:    order,
		deadline: now.Add(seconds(order.ReserveSeconds)),
	}
	w.tasks[key] = t
	w.updateUsage(t, 1)
	return worker.RefusedNone
}

func (w *SimulatedWorker) fits(order worker.Order) bool {
	members := len(order.Members)
	return w.used.Accelerators+members*order.Accelerators <= w.machine.Accelerators &&
		w.used.CPUs+members*order.CPUs <= w.machine.CPUs &&
		w.used.MemoryGB+members*order.MemoryGB <= w.machine.MemoryGB &&
		w.slots+members <= w.machine.Slots
}

func (w *SimulatedWorker) updateUsage(t *task, sign int) {
	members := sign * len(t.Members)
	w.used.Accelerators += members * t.order.Accelerators
	w.used.CPUs += members * t.order.CPUs
	w.used.MemoryGB += members * t.order.MemoryGB
	w.slots += members
}

func (w *SimulatedWorker) start(now time.Time, key taskKey, order worker.Order) worker.Refusal {
	t, ok := w.tasks[key]
	if !ok {
		return worker.RefusedNoReservation
	}
	if t.State != worker.TaskReserved {
		return worker.RefusedNone
	}
	// Other payloads have no run time.
	_ = json.Unmarshal([]byte(order.Payload), &t.payload)
	t.order.Payload = order.Payload
	t.order.ProgressSeconds = order.ProgressSeconds
	t.order.Epoch = order.Epoch
	t.State = worker.TaskRunning
	t.started = now
	t.deadline = now.Add(seconds(order.LeaseSeconds))
	t.endsAt = now.Add(seconds(max(0, t.payload.RunSeconds-order.ProgressSeconds)))
	w.record(now, t, true)
	return worker.RefusedNone
}

func (w *SimulatedWorker) release(key taskKey) {
	t, ok := w.tasks[key]
	if ok && t.State == worker.TaskReserved {
		w.updateUsage(t, -1)
		delete(w.tasks, key)
	}
}

func (w *SimulatedWorker) checkpoint(now time.Time, key taskKey, order worker.Order) worker.Refusal {
	t, ok := w.tasks[key]
	if !ok {
		return worker.RefusedUnknownTask
	}
	if t.State != worker.TaskRunning || t.checkpointing {
		return worker.RefusedNone
	}
	t.checkpointing = true
	t.ProgressSeconds = t.order.ProgressSeconds + now.Sub(t.started).Seconds()
	t.endsAt = now.Add(seconds(order.CheckpointSeconds))
	return worker.RefusedNone
}

func (w *SimulatedWorker) stop(now time.Time, key taskKey) worker.Refusal {
	t, ok := w.tasks[key]
	if !ok {
		return worker.RefusedUnknownTask
	}
	switch t.State {
	case worker.TaskReserved:
		w.release(key)
	case worker.TaskRunning:
		w.end(now, t, worker.TaskStopped)
	default:
	}
	return worker.RefusedNone
}

func (w *SimulatedWorker) forget(key taskKey) {
	t, ok := w.tasks[key]
	if ok && t.State != worker.TaskReserved && t.State != worker.TaskRunning {
		delete(w.tasks, key)
	}
}

func (w *SimulatedWorker) renew(now time.Time, order worker.Order) worker.Reply {
	reply := w.reply(order, worker.RefusedNone)
	for _, t := range w.sortedTasks() {
		if t.order.Domain != order.Domain {
			continue
		}
		if t.State == worker.TaskRunning && order.LeaseSeconds > 0 {
			t.deadline = now.Add(seconds(order.LeaseSeconds))
		}
		reply.Tasks = append(reply.Tasks, t.Task)
	}
	if worker.Digest(reply.Tasks) == order.Digest {
		reply.Tasks = nil
		reply.TasksUnchanged = true
	}
	return reply
}

// Advance processes all events up to now in time order.
func (w *SimulatedWorker) Advance(now time.Time) {
	for {
		t, at, ok := w.nextEvent()
		if !ok || at.After(now) {
			return
		}
		w.expire(at, t)
	}
}

// NextEvent returns the time at which a task next finishes or expires.
func (w *SimulatedWorker) NextEvent() (time.Time, bool) {
	_, at, ok := w.nextEvent()
	return at, ok
}

func (w *SimulatedWorker) nextEvent() (*task, time.Time, bool) {
	var first *task
	var at time.Time
	for _, t := range w.sortedTasks() {
		due, ok := t.due()
		if ok && (first == nil || due.Before(at)) {
			first, at = t, due
		}
	}
	return first, at, first != nil
}

func (t *task) due() (time.Time, bool) {
	switch t.State {
	case worker.TaskReserved:
		return t.deadline, true
	case worker.TaskRunning:
		if t.endsAt.Before(t.deadline) {
			return t.endsAt, true
		}
		return t.deadline, true
	default:
		return time.Time{}, false
	}
}

func (w *SimulatedWorker) expire(at time.Time, t *task) {
	if t.State == worker.TaskReserved {
		w.release(taskKey{tenant: t.Tenant, job: t.Job, attempt: t.Attempt})
		return
	}
	switch {
	case t.endsAt.After(at) || t.checkpointing:
		w.end(at, t, worker.TaskStopped)
	case t.payload.Fail:
		w.end(at, t, worker.TaskFailed)
	default:
		w.finish(at, t)
	}
}

func (w *SimulatedWorker) finish(at time.Time, t *task) {
	for _, member := range t.Members {
		content := Output(t.Job, t.Attempt, member, t.payload.OutputBytes)
		w.Output(worker.ResultName(t.Tenant, t.Job, t.Attempt, member), content)
		t.Results = append(t.Results, worker.Result{Size: int64(len(content)), Digest: xxhash.Sum64(content)})
	}
	w.end(at, t, worker.TaskFinished)
}

func (w *SimulatedWorker) end(at time.Time, t *task, state worker.TaskState) {
	w.updateUsage(t, -1)
	t.State = state
	w.record(at, t, false)
	w.Report(t.order.Domain, worker.Report{Worker: w.machine.Name, Task: t.Task})
}

func (w *SimulatedWorker) record(at time.Time, t *task, began bool) {
	w.Record(Execution{
		At: at, Worker: w.machine.Name, Tenant: t.Tenant, Job: t.Job, Attempt: t.Attempt,
		Epoch: t.order.Epoch, Members: t.Members, Began: began, State: t.State,
	})
}

func (w *SimulatedWorker) sortedTasks() []*task {
	sorted := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *task) int {
		if c := strings.Compare(a.Tenant, b.Tenant); c != 0 {
			return c
		}
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Attempt - b.Attempt
	})
	return sorted
}

// Output returns the output of a simulated member: a repeated line with its identity, truncated to
// size.
func Output(jobID string, attempt, member, size int) []byte {
	line, _ := json.Marshal(struct {
		Job     string `json:"job"`
		Attempt int    `json:"attempt"`
		Member  int    `json:"member"`
	}{jobID, attempt, member})
	line = append(line, '\n')
	if size <= 0 {
		return line
	}
	content := make([]byte, 0, size+len(line))
	for len(content) < size {
		content = append(content, line...)
	}
	return content[:size]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
