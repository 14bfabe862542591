package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Symptom: jobs that were accepted in one second were first looked at 1.2 s later, when an
// empty pool had waited for them; urgent ones ended late.
// Sequence: the store's feeds tell nothing for a second before its history is cut, while
// jobs are accepted and their rows written.
// Cause: an owner learned of jobs by its feed only, though the accepting node knew.
// Settled by: the lines of such jobs: accepted at 1.009 s, placed at 2.250 s after a wait
// of 4 ms.

// acceptedRow is the row of an accepted job as the store holds it.
func acceptedRow(w *simulation.World, id string) rows.Row {
	part := pool.JobParts(simulation.PoolName, id)[0]
	return w.Store.List(pool.JobTable, part, id).Rows[0]
}

func TestAnnouncedJobStartsThoughFeedsAreSilent(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	owner := w.Own()
	w.Run(time.Second)
	w.Store.FeedsSilent = true
	w.Submit(spec(1, single(1)), urgent)
	w.Run(100 * time.Millisecond)
	require.Zero(t, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}))
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	w.Run(100 * time.Millisecond)
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}))
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	w.Store.FeedsSilent = false
	w.Run(5 * time.Second)
	requireKept(t, w)
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}), "told twice, and by the feed")
}

// TestLateAnnouncementIsIgnored: a job whose rows were removed long after its end must not
// begin anew.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	w := simulation.NewWorld(1, 2)
	owner := w.Own()
	w.Submit(spec(1, single(1)), urgent)
	row := acceptedRow(w, jobID(1))
	w.Run(5 * time.Minute)
	require.Empty(t, w.Store.List(pool.JobTable, row.Part, jobID(1)).Rows, "removed")
	owner.Process.Post(func() { owner.TakeAnnounced(row) })
	w.Run(5 * time.Second)
	requireKept(t, w)
	require.Equal(t, 1, w.Judge.Starts(taskgraph.TaskName{Job: jobID(1)}))
}
