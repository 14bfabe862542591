package simulation

import (
	"fmt"
	"time"
)

// CrashPoint says from when on the time to a task's crash counts.
type CrashPoint int

const (
	// AtStart counts from the start, AtWork from when all members of a gang are present.
	AtStart CrashPoint = iota
	AtWork
)

// Crash describes a task that takes down each worker that starts it.
type Crash struct {
	From  CrashPoint
	After time.Duration
}

// Times of a worker whose process crashes: its row lapses after three heartbeats, and a new
// instance is up at the same address a little later.
const (
	rowLapse    = 3 * time.Second
	restartTime = 3300 * time.Millisecond
)

// crashUnder lets the worker crash if the run is of a task that crashes workers.
func (w *Worker) crashUnder(r *run, point CrashPoint) {
	crash, guilty := w.world.Crashing[r.name]
	if !guilty || crash.From != point {
		return
	}
	w.clock.After(crash.After, func() {
		switch {
		case r.over || w.Dead:
		case w.world.RestartsInPlace:
			w.Restart(restartTime, 0)
		default:
			w.CrashAndRestart()
		}
	})
}

// CrashAndRestart ends the worker's process: connections are reset and new ones refused
// until another instance, with nothing running, is up at its address.
func (w *Worker) CrashAndRestart() {
	w.crashVisibly()
	w.clock.After(rowLapse, func() { w.world.RemoveWorkerRow(w) })
	w.clock.After(restartTime, func() {
		w.Unreachable, w.Replaced = false, true
		w.world.restarts++
		id := fmt.Sprintf("%s+%d", w.Address, w.world.restarts)
		successor := w.world.AddWorker(id, w.Rack())
		successor.Address = w.Address
		successor.LoseOrder, successor.LoseAnswer = w.LoseOrder, w.LoseAnswer
		w.world.PutWorkerRow(successor)
	})
}

// crashVisibly ends the worker's process: open connections are reset and new ones refused.
func (w *Worker) crashVisibly() {
	w.Crash()
	w.Unreachable = true
	for _, reset := range w.resets {
		w.clock.After(orderLatency/2, reset)
	}
	w.resets = nil
}
