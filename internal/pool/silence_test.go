package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Symptom: an urgent gang of 18 took 12.7 s for work of 2.6 s, with most of the pool free.
// Sequence: one worker in eighteen went dark, and came back as another instance 4 s later. The gang
// lost a member, and was placed four more times on a worker whose row had not lapsed yet, each of which
// stopped all its other members.
// Cause: idle workers were not asked how they are, so that each dead one was found out by a gang.
// Settled by: "start failed" with reason "other_instance" at 8.83, 9.38, 9.89 and 10.41 s.

// TestGangsAreNotPlacedOnWorkersThatDiedWithOthers: a third of the workers goes, a few of which run
// something. Gangs that come a while later are placed once.
func TestGangsAreNotPlacedOnWorkersThatDiedWithOthers(t *testing.T) {
	w := worldOfGangs(3, 12)
	w.Own()
	w.Run(time.Second)
	for n := 1; n <= 6; n++ {
		w.Submit(spec(n, gang(2)), batch)
	}
	w.Run(500 * time.Millisecond)
	// Their rows stay for as long as they might only have missed heartbeats.
	for i, worker := range w.Workers {
		if i%3 == 0 {
			worker.Crash()
		}
	}
	w.Run(3 * time.Second)
	for n := 11; n <= 16; n++ {
		w.Submit(spec(n, gang(2)), urgent)
	}
	w.Run(gangWork + 500*time.Millisecond)
	requireKept(t, w)
	for n := 11; n <= 16; n++ {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
		require.Equal(t, 1, w.Judge.Starts(taskOf(n, 0, 0)), "job %d", n)
	}
}
