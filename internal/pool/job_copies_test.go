package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// otherPool is a second pool of the simulated cluster.
const otherPool = "workers-2"

// newClusterWithTwoPools returns a cluster with workers in two pools and tasks of three seconds.
func newClusterWithTwoPools() *simulation.Cluster {
	w := simulation.NewCluster(1, 2)
	w.AddWorkerTo(otherPool, "x-0", "r-0")
	w.AddWorkerTo(otherPool, "x-1", "r-0")
	w.Work = func(taskgraph.TaskName) time.Duration { return 3 * time.Second }
	return w
}

// leadingTo returns a queue that leads to a pool.
func leadingTo(queue catalog.Queue, poolName string) catalog.Queue {
	queue.Pool = poolName
	return queue
}

// accept writes a job's accepted row into the given one of its partitions in a pool, as a node does
// whose configuration leads the queue there. It returns the row.
func accept(w *simulation.Cluster, job taskgraph.Spec, poolName string, choice int) rows.Row {
	transaction := w.Acceptance("tenant", job, leadingTo(batch, poolName), choice)
	put := transaction.Puts[0]
	return rows.Row{Key: put.Key, Value: put.Value, Version: w.Store.Apply(transaction).Version}
}

// acceptNew registers job n, which has one task, and accepts it into the given one of its partitions
// in a pool. It returns the job and its row.
func acceptNew(w *simulation.Cluster, n int, poolName string, choice int) (taskgraph.Spec, rows.Row) {
	job := spec(n, singleTaskStep(1))
	w.RegisterJob(job, batch)
	return job, accept(w, job, poolName, choice)
}

// hasAcceptedRow reports whether a row is in the store.
func hasAcceptedRow(w *simulation.Cluster, row rows.Row) bool {
	return len(w.Store.List(row.Table, row.Part, row.Name).Rows) > 0
}

// requireRunOnce requires that a job of one task has run once, completed in the pool of its first
// row, and that the copy is gone.
func requireRunOnce(t *testing.T, w *simulation.Cluster, first, copied rows.Row) {
	t.Helper()
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.True(t, hasAcceptedRow(w, first))
	require.False(t, hasAcceptedRow(w, copied), "the copy's pool must not run it once the first row has expired")
}

// TestJobOfTwoPoolsRunsInTheFirst guards against a job that runs in two pools at once (TWICE),
// because its queue moved between two submissions or nodes held different configurations.
func TestJobOfTwoPoolsRunsInTheFirst(t *testing.T) {
	cases := map[string]struct {
		firstChoice, copyChoice int
		before, between         time.Duration
	}{
		"seconds later":                             {0, 0, time.Second, 2 * time.Second},
		"at once":                                   {0, 0, time.Second, 0},
		"after the end":                             {0, 0, time.Second, 10 * time.Second},
		"first row in another partition":            {2, 0, time.Second, time.Second},
		"copy in another partition":                 {0, 1, time.Second, time.Second},
		"both rows before the pools have an owner":  {0, 0, 0, 0},
		"first row before the pools have an owner":  {1, 0, 0, time.Second},
		"first row in a pool that never had a job":  {0, 0, 5 * time.Second, 0},
		"first row is the last choice, copy second": {2, 1, time.Second, 100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithTwoPools()
			if c.before > 0 {
				w.Acquire(simulation.PoolName)
				w.Acquire(otherPool)
			}
			w.Run(c.before)
			job, first := acceptNew(w, 1, simulation.PoolName, c.firstChoice)
			w.Run(c.between)
			copied := accept(w, job, otherPool, c.copyChoice)
			if c.before == 0 {
				w.Acquire(otherPool)
				w.Acquire(simulation.PoolName)
			}
			w.Run(10 * time.Second)
			requireRunOnce(t, w, first, copied)
		})
	}
}

// TestTakeoverIgnoresCopyOfAnotherPoolsJob guards against a new owner that starts a job which
// another pool has accepted before (TWICE).
func TestTakeoverIgnoresCopyOfAnotherPoolsJob(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Acquire(simulation.PoolName)
	w.Run(time.Second)
	job, first := acceptNew(w, 1, simulation.PoolName, 0)
	w.Run(time.Second)
	copied := accept(w, job, otherPool, 0)
	w.Acquire(otherPool)
	w.Run(10 * time.Second)
	requireRunOnce(t, w, first, copied)
}

// TestAnnouncedCopyDoesNotRun guards against an announced job that starts before the feed has
// delivered the row of the pool that accepted it first (TWICE).
func TestAnnouncedCopyDoesNotRun(t *testing.T) {
	w := newClusterWithTwoPools()
	firstOwner, otherOwner := w.Acquire(simulation.PoolName), w.Acquire(otherPool)
	w.Run(time.Second)
	w.Store.FeedsUnresponsive = true
	job, first := acceptNew(w, 1, simulation.PoolName, 1)
	copied := accept(w, job, otherPool, 0)
	otherOwner.Process.Post(func() { otherOwner.HandleJobAnnouncement(copied) })
	w.Run(500 * time.Millisecond)
	require.Zero(t, w.Checker.Starts(taskOf(1, 0, 0)))
	firstOwner.Process.Post(func() { firstOwner.HandleJobAnnouncement(first) })
	w.Run(500 * time.Millisecond)
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
	w.Store.FeedsUnresponsive = false
	w.Run(10 * time.Second)
	requireRunOnce(t, w, first, copied)
}

// TestCancellationBesideACopyCancelsTheJob guards against a job that runs on (UNASKED) after its
// cancellation was written beside a copy of the job in another pool.
func TestCancellationBesideACopyCancelsTheJob(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Acquire(simulation.PoolName)
	w.Run(time.Second)
	job, _ := acceptNew(w, 1, simulation.PoolName, 0)
	w.Run(time.Second)
	copied := accept(w, job, otherPool, 0)
	key := pool.CancelledKey(copied.Part, jobID(1))
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: []byte("{}")}}})
	w.Checker.Cancelled(jobID(1))
	w.Run(time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Cancelled, w.StoredState(jobID(1)))
}

// TestCopyIsRemovedOnceItsPartitionIsBack guards against a copy that stays in the store, and runs
// once the first row has expired, because its removal failed.
func TestCopyIsRemovedOnceItsPartitionIsBack(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Acquire(simulation.PoolName)
	w.Acquire(otherPool)
	w.Run(time.Second)
	job, first := acceptNew(w, 1, simulation.PoolName, 0)
	copied := accept(w, job, otherPool, 0)
	w.Store.UnavailablePartitions[copied.Part] = true
	w.Run(5 * time.Second)
	require.True(t, hasAcceptedRow(w, copied))
	delete(w.Store.UnavailablePartitions, copied.Part)
	w.Run(5 * time.Second)
	requireRunOnce(t, w, first, copied)
}

// TestJobIsKeptWhileAnotherPoolHasACopy guards against a job that runs again (TWICE) because its rows
// expired before the owner of another pool could remove a copy.
func TestJobIsKeptWhileAnotherPoolHasACopy(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Acquire(simulation.PoolName)
	w.Run(time.Second)
	job, first := acceptNew(w, 1, simulation.PoolName, 0)
	copied := accept(w, job, otherPool, 0)
	w.Run(5 * time.Minute)
	require.True(t, hasAcceptedRow(w, first), "the other pool has no owner")
	w.Acquire(otherPool)
	w.Run(10 * time.Second)
	require.False(t, hasAcceptedRow(w, copied))
	w.Run(5 * time.Minute)
	require.False(t, hasAcceptedRow(w, first))
	requireInvariants(t, w)
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
}

// TestAnnouncementsDuringAVerificationAreVerifiedToo guards against a job that does not start while
// the feed is silent, because it was announced while other announcements were being verified.
func TestAnnouncementsDuringAVerificationAreVerifiedToo(t *testing.T) {
	w := newClusterWithTwoPools()
	owner := w.Acquire(otherPool)
	w.Run(time.Second)
	w.Store.FeedsUnresponsive = true
	for n := range 4 {
		_, row := acceptNew(w, n+1, otherPool, 0)
		owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
		w.Run(42 * time.Millisecond)
	}
	w.Run(300 * time.Millisecond)
	for n := range 4 {
		require.Equal(t, 1, w.Checker.Starts(taskOf(n+1, 0, 0)), "job %d", n+1)
	}
	requireInvariants(t, w)
}

// TestAnnouncedJobIsKeptIfTheOtherPoolsJobHasExpired guards against a job that is never run (LOST),
// because a job with its identifier had expired in another pool and the feed has not told so yet.
func TestAnnouncedJobIsKeptIfTheOtherPoolsJobHasExpired(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Acquire(simulation.PoolName)
	owner := w.Acquire(otherPool)
	w.Run(time.Second)
	job, expired := acceptNew(w, 1, simulation.PoolName, 0)
	w.Run(5 * time.Second)
	w.Store.FeedsUnresponsive = true
	w.Run(2 * time.Second)
	w.Store.Apply(rows.Transaction{Removes: []rows.Key{expired.Key}})
	again := accept(w, job, otherPool, 0)
	owner.Process.Post(func() { owner.HandleJobAnnouncement(again) })
	w.Run(time.Second)
	require.True(t, hasAcceptedRow(w, again))
	w.Store.FeedsUnresponsive = false
	w.Run(2 * time.Second)
	require.True(t, hasAcceptedRow(w, again), "a new job")
	require.Equal(t, 2, w.Checker.Starts(taskOf(1, 0, 0)))
}

// TestPoolNameIsNoPrefixOfAnother guards against an owner that takes the rows of a pool whose name
// begins with its own pool's name and a slash.
func TestPoolNameIsNoPrefixOfAnother(t *testing.T) {
	w := simulation.NewCluster(1, 2)
	w.Acquire(simulation.PoolName)
	w.Run(time.Second)
	acceptNew(w, 1, simulation.PoolName+"/x", 0)
	w.Run(5 * time.Second)
	require.Zero(t, w.Checker.Starts(taskOf(1, 0, 0)))
}

func TestPoolOfJobPartition(t *testing.T) {
	for _, part := range pool.JobPartitions("a/b", jobID(1)) {
		name, ok := pool.PoolOfJobPartition(part)
		require.True(t, ok)
		require.Equal(t, "a/b", name)
	}
	for _, part := range []string{"", "a", "/1", "a/", "a/x", "a/-1", "a/32", "a/p1", "a/knowledge"} {
		_, ok := pool.PoolOfJobPartition(part)
		require.False(t, ok, part)
	}
}
