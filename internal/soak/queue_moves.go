package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/platform/standin"
)

// QueueMove is a version of the configuration in which the queue for submissions leads to a pool.
type QueueMove struct {
	At time.Duration `json:"at"`
	// Pool is the pool to which the queue leads; empty if the queue is left out.
	Pool string `json:"pool,omitempty"`
	// OnlyPool lists no pool but Pool.
	OnlyPool bool `json:"only_pool,omitempty"`
}

const (
	// One in queueMovesEvery seeds moves its queue.
	queueMovesEvery = 3
	// queueMovesStream separates the random stream from those of other faults.
	queueMovesStream = 66
	// A run has minQueueMoves to maxQueueMoves moves. Two moves are about queueMoveGap apart, and one
	// in quickMovesEvery follows the one before within quickMoveGap.
	minQueueMoves   = 2
	maxQueueMoves   = 8
	queueMoveGap    = 2 * time.Second
	quickMovesEvery = 3
	quickMoveGap    = 150 * time.Millisecond
	// One in queueRemovedEvery moves leaves the queue out for up to maxQueueAbsence, and one in
	// onlyPoolEvery leaves the other pools out.
	queueRemovedEvery = 4
	maxQueueAbsence   = time.Second
	onlyPoolEvery     = 4
	// extraPoolWorkers is the number of workers in each pool but the first.
	extraPoolWorkers = 6
)

// queuePools are the pools to which the queue may lead. The first is that of all other workers.
var queuePools = []string{simulation.PoolName, "workers-2", "workers-3"}

// seedsWithoutQueueMoves are seeds of regressions and tests whose faults must not change.
var seedsWithoutQueueMoves = []uint64{
	1, 2, 3, 619, 10113, 12000, 60601, 72014, 73019, 10001, 120341, 777047, 920100, 930004, 950000, 970011, 970020,
}

// NewQueueMoves returns the moves of a run's queue in the order of their times. They depend only on
// the seed and the length of the run, and are drawn from a separate random stream. If always is set,
// the queue of every seed moves.
func NewQueueMoves(seed uint64, length time.Duration, always bool) []QueueMove {
	random := rand.New(rand.NewPCG(seed, queueMovesStream))
	drawsSome := random.IntN(queueMovesEvery) == 0 && !slices.Contains(seedsWithoutQueueMoves, seed)
	if !drawsSome && !always {
		return nil
	}
	var moves []QueueMove
	at, current := time.Second, 0
	for range minQueueMoves + random.IntN(maxQueueMoves-minQueueMoves+1) {
		if random.IntN(queueRemovedEvery) == 0 {
			moves = append(moves, QueueMove{At: at})
			at += time.Duration(random.Int64N(int64(maxQueueAbsence)))
		}
		current = (current + 1 + random.IntN(len(queuePools)-1)) % len(queuePools)
		moves = append(moves, QueueMove{At: at, Pool: queuePools[current], OnlyPool: random.IntN(onlyPoolEvery) == 0})
		gap := time.Duration(random.ExpFloat64() * float64(queueMoveGap))
		if random.IntN(quickMovesEvery) == 0 {
			gap = time.Duration(random.Int64N(int64(quickMoveGap)))
		}
		at += gap
	}
	return slices.DeleteFunc(moves, func(move QueueMove) bool { return move.At >= length })
}

// addQueuePools adds the workers of the pools to which the queue may move.
func (r *run) addQueuePools() {
	r.platform.WithLock(func() {
		for i, name := range queuePools[1:] {
			for k := range extraPoolWorkers {
				r.platform.Cluster.AddWorkerTo(name, fmt.Sprintf("x-%d-%d", i, k), fmt.Sprintf("r-%d", k%racks))
			}
		}
	})
}

// applyQueueMoves schedules the moves. At the end of the run the queue leads to the pool of its last
// move, and all pools are listed again.
func (r *run) applyQueueMoves(moves []QueueMove, began time.Time, pending *sync.WaitGroup) {
	if len(moves) == 0 {
		return
	}
	last := queuePools[0]
	for _, move := range moves {
		if move.Pool != "" {
			last = move.Pool
		}
	}
	moves = append(slices.Clone(moves), QueueMove{At: r.options.FaultDuration, Pool: last})
	pending.Go(func() {
		for _, move := range moves {
			time.Sleep(time.Until(began.Add(move.At)))
			r.putConfiguration(move.apply)
		}
	})
}

// apply changes the configuration to that of the move.
func (m QueueMove) apply(c *standin.Configuration) {
	c.WithoutQueue = m.Pool == ""
	if c.Pools = queuePools; m.OnlyPool {
		c.Pools = []string{m.Pool}
	}
	if m.Pool != "" {
		c.Pool = m.Pool
	}
}
