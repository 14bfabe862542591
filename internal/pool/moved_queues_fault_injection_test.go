package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

var (
	movedSeeds     = flag.Int("moved-seeds", 60, "number of seeds of the random fault test of moved queues")
	firstMovedSeed = flag.Int("first-moved-seed", 0, "first seed of the random fault test of moved queues")
)

const (
	movedGateways = 3
	// movedTime is how long jobs are submitted, and movedSettleTime how long they then may take.
	movedTime       = 20 * time.Second
	movedSettleTime = 40 * time.Second
	// A gateway applies a version of the configuration up to maxVersionLag after it was written.
	maxVersionLag = 2 * time.Second
	// hedgeDelay is how long a gateway waits for one partition before it writes to the next.
	hedgeDelay = 600 * time.Millisecond
)

// movedQueue plays a queue that moves between pools while callers submit jobs again and again
// through gateways that hold different versions of the configuration.
type movedQueue struct {
	*simulation.Cluster
	random *rand.Rand
	pools  []string
	owners map[string]*simulation.Owner
	// leadsTo is the pool to which the queue leads, by gateway.
	leadsTo []string
	jobs    []*movedJob
}

// movedJob is a job and what its callers know of it.
type movedJob struct {
	taskgraph.Spec
	accepted bool
}

func playMovedQueue(seed uint64) *movedQueue {
	m := &movedQueue{
		Cluster: simulation.NewCluster(1, 3), random: rand.New(rand.NewPCG(seed, 66)),
		pools:  []string{simulation.PoolName, otherPool, "workers-3"},
		owners: map[string]*simulation.Owner{}, leadsTo: make([]string, movedGateways),
	}
	for i, poolName := range m.pools[1:] {
		for k := range 3 {
			m.AddWorkerTo(poolName, fmt.Sprintf("x-%d-%d", i, k), "r-0")
		}
	}
	for i := range m.leadsTo {
		m.leadsTo[i] = m.pools[0]
	}
	for _, poolName := range m.pools {
		m.owners[poolName] = m.Acquire(poolName)
	}
	m.Run(500 * time.Millisecond)
	m.repeat(2*time.Second, m.moveQueue)
	m.repeat(300*time.Millisecond, m.submitJob)
	m.repeat(900*time.Millisecond, m.injectFault)
	m.Run(movedTime + movedSettleTime)
	return m
}

// repeat calls work at random times, on average once per pause, until movedTime has passed.
func (m *movedQueue) repeat(pause time.Duration, work func()) {
	for at := time.Duration(0); at < movedTime; at += m.upTo(2 * pause) {
		m.Clock.After(at, work)
	}
}

func (m *movedQueue) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

func (m *movedQueue) moveQueue() {
	next := m.pools[m.random.IntN(len(m.pools))]
	for gateway := range m.leadsTo {
		m.Clock.After(m.upTo(maxVersionLag), func() { m.leadsTo[gateway] = next })
	}
}

// submitJob submits a new job up to four times, at once or over some seconds.
func (m *movedQueue) submitJob() {
	job := &movedJob{Spec: spec(len(m.jobs)+1, singleTaskStep(1+m.random.IntN(3)))}
	m.jobs = append(m.jobs, job)
	m.RegisterJob(job.Spec, batch)
	spread := []time.Duration{50 * time.Millisecond, 4 * time.Second}[m.random.IntN(2)]
	for range 1 + m.random.IntN(4) {
		m.Clock.After(m.upTo(spread), func() { m.writeJob(job, m.leadsTo[m.random.IntN(movedGateways)], 0) })
	}
}

// writeJob writes a job into one of its partitions in a pool, and into the next one if the write
// fails or takes long.
func (m *movedQueue) writeJob(job *movedJob, poolName string, choice int) {
	if choice == len(pool.JobPartitions(poolName, job.ID)) {
		return
	}
	transaction := m.Acceptance("tenant", job.Spec, leadingTo(batch, poolName), choice)
	answered, next := false, func() { m.writeJob(job, poolName, choice+1) }
	m.Store.Commit(transaction, func(result rows.Result, err error) {
		switch {
		case err == nil:
			job.accepted, answered = true, true
			m.announce(poolName, transaction.Puts[0], result)
		case !answered:
			answered = true
			next()
		}
	})
	m.Clock.After(hedgeDelay, func() {
		if !answered {
			answered = true
			next()
		}
	})
}

// announce sends a committed row to the owner of its pool, unless the message is lost.
func (m *movedQueue) announce(poolName string, put rows.Put, result rows.Result) {
	if !result.Committed || m.random.IntN(4) == 0 {
		return
	}
	row := rows.Row{Key: put.Key, Value: put.Value, Version: result.Version}
	m.Clock.After(m.upTo(10*time.Millisecond), func() {
		owner := m.owners[poolName]
		owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
	})
}

// injectFault injects a random fault of an owner or of the store for up to two seconds.
func (m *movedQueue) injectFault() {
	store, length := m.Store, m.upTo(2*time.Second)
	poolName := m.pools[m.random.IntN(len(m.pools))]
	switch m.random.IntN(8) {
	case 0, 1:
		m.owners[poolName].Process.Kill()
		m.Clock.After(length, func() { m.owners[poolName] = m.Acquire(poolName) })
	case 2:
		part := pool.JobPartitions(poolName, jobID(len(m.jobs)+1))[m.random.IntN(2)]
		store.UnavailablePartitions[part] = true
		m.Clock.After(length, func() { delete(store.UnavailablePartitions, part) })
	case 3:
		part := pool.JobPartitions(poolName, jobID(len(m.jobs)+1))[0]
		store.UnresponsivePartitions[part] = true
		m.Clock.After(length, func() { delete(store.UnresponsivePartitions, part) })
	case 4:
		store.FeedsUnresponsive = true
		m.Clock.After(length, func() { store.FeedsUnresponsive = false })
	case 5:
		store.WriteOutcome = func() simulation.Outcome {
			return simulation.Outcome(max(0, m.random.IntN(8)-4))
		}
		m.Clock.After(length, func() { store.WriteOutcome = nil })
	case 6:
		store.ForgetHistory()
	case 7:
		owner := m.owners[poolName]
		owner.PartitionedFromStore = true
		m.Clock.After(length, func() { owner.PartitionedFromStore = false })
	}
}

// requireOnePoolPerJob requires that each accepted job has completed and has rows in one pool only.
func (m *movedQueue) requireOnePoolPerJob(t *testing.T) {
	t.Helper()
	for _, job := range m.jobs {
		holders := 0
		for _, poolName := range m.pools {
			held := false
			for _, part := range pool.JobPartitions(poolName, job.ID) {
				held = held || len(m.Store.List(pool.JobTable, part, job.ID).Rows) > 0
			}
			if held {
				holders++
			}
		}
		require.LessOrEqual(t, holders, 1, "pools that hold job %s", job.ID)
		if job.accepted {
			require.Equal(t, taskgraph.Completed, m.StoredState(job.ID), "job %s", job.ID)
			require.Equal(t, 1, holders, "pools that hold job %s", job.ID)
		}
	}
}

// TestRandomFaultsOfMovedQueues guards against jobs that run in two pools (TWICE), or in none, while
// their queue moves, nodes hold different configurations and owners and the store fail.
func TestRandomFaultsOfMovedQueues(t *testing.T) {
	for seed := range *movedSeeds {
		t.Run(fmt.Sprintf("seed %d", *firstMovedSeed+seed), func(t *testing.T) {
			t.Parallel()
			m := playMovedQueue(uint64(*firstMovedSeed + seed))
			requireInvariants(t, m.Cluster)
			m.requireOnePoolPerJob(t)
		})
	}
}
