package simulation

import (
	"math/rand/v2"
	"time"
)

// Restart ends the worker process and resets its connections. After a delay it starts a new
// instance with the same identifier and address, whose clock starts at clockMillis.
func (w *Worker) Restart(after time.Duration, clockMillis int64) {
	w.crashAndResetConnections()
	w.cluster.scheduleRestart(w, after, clockMillis)
}

// RestartWithoutReset is like Restart but leaves open connections unresponsive, as in a network
// partition.
func (w *Worker) RestartWithoutReset(after time.Duration, clockMillis int64) {
	w.Crash()
	w.resets = nil
	w.cluster.scheduleRestart(w, after, clockMillis)
}

// ReplaceWithoutReset is like CrashAndRestart but leaves open connections unresponsive, as in a
// network partition.
func (w *Worker) ReplaceWithoutReset() {
	w.resets = nil
	w.CrashAndRestart()
}

// scheduleRestart starts a new instance of a crashed worker after a delay, under its identifier and at
// its address.
func (c *Cluster) scheduleRestart(former *Worker, after time.Duration, clockMillis int64) {
	c.scheduleSuccessor(former, successor{id: former.ID, address: former.Address, after: after, clockMillis: clockMillis})
}

// successor is the worker instance that follows a crashed one on the same machine.
type successor struct {
	id string
	// address is where the instance listens, unless another worker does.
	address string
	// after is the time until the instance starts, and clockMillis its clock at that time.
	after       time.Duration
	clockMillis int64
}

// scheduleSuccessor starts the instance that follows a crashed one. The crashed worker's row expires
// unless the instance overwrites it.
func (c *Cluster) scheduleSuccessor(former *Worker, next successor) {
	if next.after > rowExpiry || next.id != former.ID {
		c.Clock.After(rowExpiry, func() { c.RemoveWorkerRow(former) })
	}
	c.Clock.After(next.after, func() {
		instance := c.addWorkerAt(c.unusedAddress(next.address), former.Pool, next.id, former.Rack())
		instance.clockEpoch = c.Clock.Now().Add(-time.Duration(next.clockMillis) * time.Millisecond)
		instance.OrderOutcome, instance.PollOutcome, instance.DropPollReply, instance.Labels = former.OrderOutcome, former.PollOutcome, former.DropPollReply, former.Labels
		c.PutWorkerRow(instance)
	})
}

const (
	// A restart takes minRestartDelay to maxRestartDelay. The worker's row expires during restarts
	// that take longer than rowExpiry.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 4 * time.Second
	// massRestartOneIn: a mass restart affects each worker with a probability of one in
	// massRestartOneIn.
	massRestartOneIn = 3
	// maxInitialClockMillis is the upper bound on the initial clock of a new instance.
	maxInitialClockMillis = 8_000_000
)

// RestartRandomWorkers occasionally restarts one worker, one worker twice in a row, a partitioned
// worker, or about a third of the workers. All its random numbers come from random.
func (c *Cluster) RestartRandomWorkers(random *rand.Rand) {
	running := c.RunningWorkers()
	if len(running) == 0 {
		return
	}
	chosen := running[random.IntN(len(running))]
	switch random.IntN(16) {
	case 0, 1:
		chosen.restartAfterRandomDelay(random)
	case 2:
		chosen.Restart(minRestartDelay, randomInitialClock(random))
		c.Clock.After(minRestartDelay+time.Duration(random.Int64N(int64(time.Second))), func() {
			if again := c.worker(chosen.ID); !again.Crashed {
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
func (c *Cluster) RunningWorkers() []*Worker {
	var running []*Worker
	for _, worker := range c.Workers {
		if !worker.Crashed {
			running = append(running, worker)
		}
	}
	return running
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
