package simulation

import (
	"math/rand/v2"
	"time"
)

// Restart ends the worker's process and starts it again after some time, under its identifier and
// at its address. The next life's clock stands at clockMillis at its start.
func (w *Worker) Restart(after time.Duration, clockMillis int64) {
	w.crashVisibly()
	w.world.startAgain(w, after, clockMillis)
}

// RestartUnseen is Restart behind a cut: open connections are not reset but stay silent.
func (w *Worker) RestartUnseen(after time.Duration, clockMillis int64) {
	w.Crash()
	w.resets = nil
	w.world.startAgain(w, after, clockMillis)
}

// ReplaceUnseen is CrashAndRestart behind a cut: open connections are not reset but stay silent.
func (w *Worker) ReplaceUnseen() {
	w.resets = nil
	w.CrashAndRestart()
}

// startAgain starts the next life of a worker that has crashed.
func (w *World) startAgain(former *Worker, after time.Duration, clockMillis int64) {
	if after > rowLapse {
		w.Clock.After(rowLapse, func() { w.RemoveWorkerRow(former) })
	}
	w.Clock.After(after, func() {
		next := w.AddWorker(former.ID, former.Rack())
		next.Address = former.Address
		next.clockEpoch = w.Clock.Now().Add(-time.Duration(clockMillis) * time.Millisecond)
		next.LoseOrder, next.LoseAnswer = former.LoseOrder, former.LoseAnswer
		w.PutWorkerRow(next)
	})
}

const (
	// A restart takes leastRestart to mostRestart; longer ones let the worker's row lapse.
	leastRestart = 50 * time.Millisecond
	mostRestart  = 4 * time.Second
	// restartSeries is one in how many workers starts again in a series.
	restartSeries = 3
	// mostClock is how far the clock of a next life may be ahead, in milliseconds.
	mostClock = 8_000_000
)

// RestartSome lets a worker start again under its identifier, now and then: alone, twice in a row,
// behind a cut, or with a third of the others. It changes nothing that is drawn elsewhere.
func (w *World) RestartSome(random *rand.Rand) {
	living := w.Living()
	if len(living) == 0 {
		return
	}
	chosen := living[random.IntN(len(living))]
	switch random.IntN(16) {
	case 0, 1:
		chosen.restartAnyhow(random)
	case 2:
		chosen.Restart(leastRestart, nextClock(random))
		w.Clock.After(leastRestart+time.Duration(random.Int64N(int64(time.Second))), func() {
			if again := w.worker(chosen.ID); !again.Dead {
				again.restartAnyhow(random)
			}
		})
	case 3:
		chosen.Cut = true
		chosen.RestartUnseen(time.Duration(random.Int64N(int64(mostRestart))), nextClock(random))
	case 4:
		for _, worker := range living {
			if random.IntN(restartSeries) == 0 {
				worker.restartAnyhow(random)
			}
		}
	}
}

// Living lists the workers that have not crashed.
func (w *World) Living() []*Worker {
	var living []*Worker
	for _, worker := range w.Workers {
		if !worker.Dead {
			living = append(living, worker)
		}
	}
	return living
}

func (w *Worker) restartAnyhow(random *rand.Rand) {
	w.Restart(leastRestart+time.Duration(random.Int64N(int64(mostRestart-leastRestart))), nextClock(random))
}

// nextClock draws where the clock of a next life begins: at 0, or anywhere.
func nextClock(random *rand.Rand) int64 {
	if random.IntN(2) == 0 {
		return 0
	}
	return random.Int64N(mostClock)
}
