package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestReportOlderThanUnexpectedRunDoesNotFreeItsRoom guards against runs beyond a worker's capacity: a
// report that was requested before an unexpected run was listed does not prove that the run is being
// stopped.
func TestReportOlderThanUnexpectedRunDoesNotFreeItsRoom(t *testing.T) {
	p, l, _ := newWriterPool()
	name := taskgraph.TaskName{Job: "unknown"}
	capacity := taskgraph.Resources{GPUs: 8}
	w := p.addUnlistedWorker(fleet.Incarnation{ID: "w"})
	requestedAt := l.Now()
	l.advance(time.Second)
	w.unexpected[runID{task: name, run: 1}] = unexpectedRun{resources: taskgraph.Resources{GPUs: 3}, listedAt: l.Now()}
	afterStop := l.Now().Add(p.longestStop() + stopMargin)

	p.updateUnexpected(w, workerReport{requestedAt: requestedAt})
	require.Equal(t, 5, w.subtractUnexpected(capacity, afterStop).GPUs)

	p.updateUnexpected(w, workerReport{requestedAt: l.Now()})
	require.Equal(t, 8, w.subtractUnexpected(capacity, afterStop).GPUs)
}
