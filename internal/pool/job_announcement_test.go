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

// Regression tests: jobs started late while the change feed stalled, because owners learned of
// them only from the feed.

// acceptedRow returns the stored row of an accepted job.
func acceptedRow(w *simulation.Cluster, id string) rows.Row {
	part := pool.JobPartitions(simulation.PoolName, id)[0]
	return w.Store.List(pool.JobTable, part, id).Rows[0]
}

func TestAnnouncedJobStartsWhileFeedsAreUnresponsive(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.Store.FeedsUnresponsive = true
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	w.Run(100 * time.Millisecond)
	require.Zero(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
	row := acceptedRow(w, jobID(1))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	w.Run(100 * time.Millisecond)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	w.Store.FeedsUnresponsive = false
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}), "the second announcement and the feed start nothing")
}

// TestLateAnnouncementIsIgnored: a job must not run again when it is announced after its rows
// were removed.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	owner := w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(1)), urgent)
	row := acceptedRow(w, jobID(1))
	w.Run(5 * time.Minute)
	require.Empty(t, w.Store.List(pool.JobTable, row.Part, jobID(1)).Rows, "removed")
	owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	w.Run(5 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(1)}))
}
