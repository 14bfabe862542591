package simulation

import (
	"fmt"
	"time"
)

// CrashTrigger is the event from which the delay of a crash counts.
type CrashTrigger int

const (
	// AtStart is the start of the run; AtWorkStart is when all members of a gang are present.
	AtStart CrashTrigger = iota
	AtWorkStart
)

// Crash describes a task that crashes each worker that starts it.
type Crash struct {
	From  CrashTrigger
	After time.Duration
}

// Times after the crash of a worker process: when its row expires, and when a new instance listens
// at the same address.
const (
	rowExpiry    = 3 * time.Second
	restartDelay = 3300 * time.Millisecond
)

// scheduleCrash schedules a crash of the worker if the task of the run is configured to crash
// workers.
func (w *Worker) scheduleCrash(r *run, point CrashTrigger) {
	crash, guilty := w.cluster.Crashing[r.name]
	if !guilty || crash.From != point {
		return
	}
	w.clock.After(crash.After, func() {
		switch {
		case r.over || w.Crashed:
		case w.cluster.RestartWithSameID:
			w.Restart(restartDelay, 0)
		default:
			w.CrashAndRestart()
		}
	})
}

// CrashAndRestart ends the worker process: connections are reset and new ones refused until a new
// instance without runs listens at the same address.
func (w *Worker) CrashAndRestart() {
	w.crashAndResetConnections()
	w.clock.After(rowExpiry, func() { w.cluster.RemoveWorkerRow(w) })
	w.clock.After(restartDelay, func() {
		w.Unreachable, w.Replaced = false, true
		w.cluster.restarts++
		id := fmt.Sprintf("%s+%d", w.Address, w.cluster.restarts)
		successor := w.cluster.AddWorker(id, w.Rack())
		successor.Address = w.Address
		successor.OrderOutcome, successor.DropPollReply = w.OrderOutcome, w.DropPollReply
		w.cluster.PutWorkerRow(successor)
	})
}

// crashAndResetConnections ends the worker process: open connections are reset and new ones
// refused.
func (w *Worker) crashAndResetConnections() {
	w.Crash()
	w.Unreachable = true
	for _, reset := range w.resets {
		w.clock.After(orderLatency/2, reset)
	}
	w.resets = nil
}
