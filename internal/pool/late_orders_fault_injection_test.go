package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Seeds of the random fault tests with late orders.
var (
	lateOrderSeeds     = flag.Int("late-order-seeds", 30, "number of seeds of the random fault tests with late orders")
	firstLateOrderSeed = flag.Int("first-late-order-seed", 0, "first seed of the random fault tests with late orders")
)

// The platform carries out an order without an answer 2 to 12 s after it was sent, and a write
// 1 to 6 s after.
const (
	shortestOrderDelay = 2 * time.Second
	longestOrderDelay  = 12 * time.Second
	shortestWriteDelay = time.Second
	longestWriteDelay  = 6 * time.Second
	// lateOrdersStream is the random stream of the late orders' ages.
	lateOrdersStream = 1024
)

// withLateOrders carries out unanswered orders and writes after any time that the platform allows, also
// by the next incarnation of their worker.
func withLateOrders(seed uint64) clusterOption {
	return func(c *simulation.Cluster) {
		random := rand.New(rand.NewPCG(seed, lateOrdersStream))
		c.OrderDelay = simulation.RandomDelay(random, shortestOrderDelay, longestOrderDelay)
		c.Store.LateWriteDelay = simulation.RandomDelay(random, shortestWriteDelay, longestWriteDelay)
		c.LateOrdersReachRestartedWorkers = true
		for _, worker := range c.Workers {
			fate := randomFateFrom(random, 0.02)
			worker.PollOutcome = func(fleet.Poll) simulation.Outcome { return fate() }
		}
	}
}

// runLateOrders simulates random faults drawn from the seed, in which a part of all orders is late and
// workers restart under their identifiers. Tasks are short, so that workers list many ended runs.
func runLateOrders(seed uint64, disabled pool.DisabledSafeguards) *workerFaults {
	f := newWorkerFaults(seed, disabled, false, 0, withLateOrders(seed))
	f.Work = func(taskgraph.TaskName) time.Duration { return f.between(50, 1500) }
	for _, worker := range f.Workers {
		worker.OrderOutcome = f.randomFate(0.1)
	}
	f.submit = func() {
		for range f.random.IntN(3) {
			f.Submit(spec(f.jobs, singleTaskStep(1+f.random.IntN(6)), gangStep(1+f.random.IntN(3))), lateOrdersQueue)
			f.jobs++
		}
		f.RestartRandomWorkers(f.restarts)
	}
	f.play(60, 4, 1200)
	return f
}

// lateOrdersQueue is the queue of the jobs of the random fault tests with late orders.
var lateOrdersQueue = catalog.Queue{Name: "late", Priority: 1, MaxAttempts: 10, Stretch: 4, TargetMillis: 1000}

// TestRandomFaultsWithLateOrders guards against orders without an answer that are carried out by the next
// incarnation of their worker, at any age that the platform allows.
func TestRandomFaultsWithLateOrders(t *testing.T) {
	var regular, failed atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := *firstLateOrderSeed; seed < *firstLateOrderSeed+*lateOrderSeeds; seed++ {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				f := runLateOrders(uint64(seed), pool.DisabledSafeguards{})
				requireInvariants(t, f.Cluster)
				regularHere, failedHere := f.countRegularJobs(t)
				regular.Add(int64(regularHere))
				failed.Add(int64(failedHere))
			})
		}
	})
	t.Logf("%d jobs, %d of them failed", regular.Load(), failed.Load())
	require.LessOrEqual(t, failed.Load()*500, regular.Load(), "jobs failed for lost workers")
}
