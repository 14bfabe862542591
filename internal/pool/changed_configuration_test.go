package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// TestEarliestRowSetsTheJobsQueue guards against owners that disagree on a job's attempts and
// priority, because its rows were accepted under different configurations of its queue.
func TestEarliestRowSetsTheJobsQueue(t *testing.T) {
	w := simulation.NewCluster(1, 4)
	job := spec(1, singleTaskStep(1))
	first, later := leadingTo(batch, simulation.PoolName), leadingTo(urgent, simulation.PoolName)
	later.MaxAttempts = 1
	w.RegisterJob(job, first)
	// The partition of the later row is read first.
	w.Store.Apply(w.Acceptance("tenant", job, first, 1))
	w.Store.Apply(w.Acceptance("tenant", job, later, 0))
	setFailing(w, func(*simulation.Worker) bool { return true })
	w.AcquirePool()
	w.Run(100 * time.Millisecond)
	setFailing(w, func(*simulation.Worker) bool { return false })
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Greater(t, w.Checker.Starts(taskOf(1, 0, 0)), 1, "the first run fails")
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)), "the job has the attempts of its first acceptance")
}

// TestTakeoverOfReturningPool checks that a pool which is taken out of the configuration, and listed
// again later, goes on with its jobs and with what its owners have learned.
func TestTakeoverOfReturningPool(t *testing.T) {
	w := newClusterWithTwoPools()
	w.Catalog = &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: simulation.PoolName, EnforcesCapacity: true}, {Name: otherPool, EnforcesCapacity: true}}}
	first := w.Acquire(otherPool)
	w.Run(time.Second)
	job := spec(1, singleTaskStep(2))
	w.RegisterJob(job, batch)
	accept(w, job, otherPool, 0)
	w.Run(1500 * time.Millisecond)
	w.Catalog = &catalog.Catalog{Version: 2, Pools: []catalog.Pool{{Name: simulation.PoolName, EnforcesCapacity: true}}}
	first.Process.Kill()
	w.Run(time.Second)
	w.Acquire(otherPool)
	w.Run(500 * time.Millisecond)
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)), "the run goes on")
	w.Run(10 * time.Second)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	w.Catalog = &catalog.Catalog{Version: 3, Pools: []catalog.Pool{{Name: simulation.PoolName, EnforcesCapacity: true}, {Name: otherPool, EnforcesCapacity: true}}}
	w.Acquire(otherPool)
	next := spec(2, singleTaskStep(2))
	w.RegisterJob(next, batch)
	accept(w, next, otherPool, 0)
	w.Run(10 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(2)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
	require.NotEmpty(t, w.Store.List(pool.KnowledgeTable, pool.KnowledgeKey(otherPool).Part, "").Rows)
}

// TestUnlistedPoolGuardsCapacityItself guards against starts beyond the capacity of workers (LIMIT)
// whose pool the configuration no longer lists, so that nothing says that they refuse such starts.
func TestUnlistedPoolGuardsCapacityItself(t *testing.T) {
	w := newClusterWithTwoPools()
	w.SkipCapacityCheck = true
	w.Catalog = &catalog.Catalog{Version: 2, Pools: []catalog.Pool{{Name: simulation.PoolName, EnforcesCapacity: true}}}
	w.Acquire(otherPool)
	for n := range 6 {
		job := spec(n+1, singleTaskStep(8))
		w.RegisterJob(job, batch)
		accept(w, job, otherPool, 0)
	}
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	for n := range 6 {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n+1)))
	}
}
