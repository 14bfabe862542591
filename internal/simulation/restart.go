package simulation

import (
	"math/rand/v2"
	"time"
)

// Restart ends the worker process and starts a new one after a delay, with the same identifier and
// address. The new instance's clock starts at clockMillis.
func (w *Worker) Restart(after time.Duration, clockMillis int64) {
	w.crashAndResetConnections()
	w.cluster.scheduleRestart(w, after, clockMillis)
}

// RestartWithoutReset is Restart during a network partition: open connections become unresponsive
// instead of being reset.
func (w *Worker) RestartWithoutReset(after time.Duration, clockMillis int64) {
	w.Crash()
	w.resets = nil
	w.cluster.scheduleRestart(w, after, clockMillis)
}

// ReplaceWithoutReset is CrashAndRestart during a network partition: open connections become
// unresponsive instead of being reset.
func (w *Worker) ReplaceWithoutReset() {
	w.resets = nil
	w.CrashAndRestart()
}

// scheduleRestart starts a new instance of a crashed worker after a delay.
func (w *Cluster) scheduleRestart(former *Worker, after time.Duration, clockMillis int64) {
	if after > rowExpiry {
		w.Clock.After(rowExpiry, func() { w.RemoveWorkerRow(former) })
	}
	w.Clock.After(after, func() {
		next := w.AddWorker(former.ID, former.Rack())
		next.Address = former.Address
		next.clockEpoch = w.Clock.Now().Add(-time.Duration(clockMillis) * time.Millisecond)
		next.OrderOutcome, next.DropPollReply = former.OrderOutcome, former.DropPollReply
		w.PutWorkerRow(next)
	})
}

const (
	// A restart takes minRestartDelay to maxRestartDelay; the longer ones let the worker's row
	// expire.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 4 * time.Second
	// massRestartOneIn is the reciprocal of the share of workers that a mass restart affects.
	massRestartOneIn = 3
	// maxInitialClockMillis bounds the initial clock of a new instance.
	maxInitialClockMillis = 8_000_000
)

// RestartRandomWorkers occasionally restarts a worker: alone, twice in a row, during a partition,
// or with a third of the others. It draws only from random.
func (w *Cluster) RestartRandomWorkers(random *rand.Rand) {
	running := w.RunningWorkers()
	if len(running) == 0 {
		return
	}
	chosen := running[random.IntN(len(running))]
	switch random.IntN(16) {
	case 0, 1:
		chosen.restartAfterRandomDelay(random)
	case 2:
		chosen.Restart(minRestartDelay, randomInitialClock(random))
		w.Clock.After(minRestartDelay+time.Duration(random.Int64N(int64(time.Second))), func() {
			if again := w.worker(chosen.ID); !again.Crashed {
				again.restartAfterRandomDelay(random)
			}
		})
	case 3:
		chosen.Partitioned = true
		chosen.RestartWithoutReset(time.Duration(random.Int64N(int64(maxRestartDelay))), randomInitialClock(random))
	case 4:
		for _, worker := range running {
			if random.IntN(massRestartOneIn) == 0 {
				worker.restartAfterRandomDelay(random)
			}
		}
	}
}

// RunningWorkers returns the workers that have not crashed.
func (w *Cluster) RunningWorkers() []*Worker {
	var living []*Worker
	for _, worker := range w.Workers {
		if !worker.Crashed {
			living = append(living, worker)
		}
	}
	return living
}

func (w *Worker) restartAfterRandomDelay(random *rand.Rand) {
	w.Restart(minRestartDelay+time.Duration(random.Int64N(int64(maxRestartDelay-minRestartDelay))), randomInitialClock(random))
}

// randomInitialClock returns 0 or a random initial clock value.
func randomInitialClock(random *rand.Rand) int64 {
	if random.IntN(2) == 0 {
		return 0
	}
	return random.Int64N(maxInitialClockMillis)
}
