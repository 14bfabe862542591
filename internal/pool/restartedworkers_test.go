package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Workers crashed and started again half a second later under the identifiers that they had. For
// seconds after that nobody noticed how runs ended on them: tasks that were done ran again, and a
// gang whose runs had failed as often as it may was started twice more.
//
// A worker numbers its ends from 1 in each life. The owner kept the highest number that it had
// taken in by the worker's identifier, skipped the ends of the next life up to that number, and
// acknowledged them, so that the worker dropped them. A run that is neither running nor listed as
// ended counts as gone, and was placed again.
//
// What settled it: eight times "run ended" on a worker before its restart and none after, though
// 25 runs were placed there; "start failed" with reason late for all eight starts right after the
// restart, as deadlines were given by the clock of the former life; and tasks "placed" again some
// 150 ms after their runs had ended, without a line about those.

// restartTime is how long the workers were away.
const restartTime = 500 * time.Millisecond

// clocksOfNextLives has where the clock of a worker stands when it starts again.
var clocksOfNextLives = map[string]int64{"clock from the beginning": 0, "clock far ahead": 7_000_000}

// restartAfterEnds lets the only worker of a pool list eight ends, start again while eight tasks
// run on it, and run what is placed on it then.
func restartAfterEnds(clockMillis int64, queue catalog.Queue, afterwards func(*simulation.Worker)) *simulation.World {
	w := simulation.NewWorld(1, 1)
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.Own()
	w.Submit(spec(1, single(8)), batch)
	w.Run(3 * time.Second)
	w.Submit(spec(2, single(8)), queue)
	w.Run(time.Second)
	w.Workers[0].Restart(restartTime, clockMillis)
	w.Run(restartTime + time.Millisecond)
	afterwards(w.Workers[1])
	w.Run(40 * time.Second)
	return w
}

func TestEndsOfARestartedWorkerAreTakenIn(t *testing.T) {
	for name, clockMillis := range clocksOfNextLives {
		t.Run(name, func(t *testing.T) {
			w := restartAfterEnds(clockMillis, batch, func(*simulation.Worker) {})
			requireKept(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
			for index := range 8 {
				require.LessOrEqual(t, w.Judge.Starts(taskOf(2, 0, index)), 2, "one start in each life")
			}
		})
	}
}

func TestFailuresOnARestartedWorkerAreCounted(t *testing.T) {
	for name, clockMillis := range clocksOfNextLives {
		t.Run(name, func(t *testing.T) {
			queue := batch
			queue.MaxAttempts = 1
			w := restartAfterEnds(clockMillis, queue, func(next *simulation.Worker) { next.Failing = true })
			requireKept(t, w)
			require.Equal(t, taskgraph.Failed, w.StoredState(jobID(2)))
		})
	}
}
