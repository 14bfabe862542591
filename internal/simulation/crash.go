package simulation

import (
	"fmt"
	"time"
)

// CrashTrigger is the event from which the delay of a crash counts.
type CrashTrigger int

const (
	// AtStart is the start of the run.
	AtStart CrashTrigger = iota
	// AtWorkStart is the start of the work. Gang members start work once the gang is complete.
	AtWorkStart
)

// Crash describes a task that crashes each worker that starts it.
type Crash struct {
	From  CrashTrigger
	After time.Duration
}

const (
	// rowExpiry is the time from the crash of a worker to the removal of its row.
	rowExpiry = 3 * time.Second
	// restartDelay is the time from the crash of a worker to the start of its next instance.
	restartDelay = 3300 * time.Millisecond
)

// scheduleCrash schedules a crash of the worker if the run's task crashes workers and the delay
// counts from the given event.
func (w *Worker) scheduleCrash(r *run, point CrashTrigger) {
	crash, configured := w.cluster.Crashing[r.name]
	if !configured || crash.From != point {
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

// CrashAndRestart ends the worker process and resets its connections. After restartDelay a new
// instance starts at the same address, or at a new one if another worker has taken it, under a new
// identifier and without runs. Until then the address refuses connections, unless another worker gets it.
func (w *Worker) CrashAndRestart() {
	w.crashAndResetConnections()
	w.clock.After(rowExpiry, func() { w.cluster.RemoveWorkerRow(w) })
	w.clock.After(restartDelay, func() {
		w.Unreachable, w.Replaced = false, true
		successor := w.cluster.addWorkerAt(w.cluster.unusedAddress(w.Address), w.Pool, w.cluster.newWorkerID(w.Address), w.Rack())
		successor.OrderOutcome, successor.PollOutcome, successor.DropPollReply, successor.Labels = w.OrderOutcome, w.PollOutcome, w.DropPollReply, w.Labels
		w.cluster.PutWorkerRow(successor)
	})
}

// newWorkerID returns an identifier that no worker has had.
func (c *Cluster) newWorkerID(prefix string) string {
	c.restarts++
	return fmt.Sprintf("%s+%d", prefix, c.restarts)
}

// crashAndResetConnections ends the worker process and resets its open connections. The worker
// refuses new connections.
func (w *Worker) crashAndResetConnections() {
	w.Crash()
	w.Unreachable = true
	for _, reset := range w.resets {
		w.clock.After(orderLatency/2, reset)
	}
	w.resets = nil
}
