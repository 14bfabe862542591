package soak

import (
	"math/rand/v2"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// The platform carries out an order without an answer 2 to 12 s after its arrival, and a write 1 to 6 s
// after, in whatever incarnation the worker then is.
const (
	shortestOrderDelay = 2 * time.Second
	longestOrderDelay  = 12 * time.Second
	shortestWriteDelay = time.Second
	longestWriteDelay  = 6 * time.Second
	lateOrdersStream   = 130
	latePollsStream    = 131
	// pollLoss is the share of polls without an answer during the fault LateOrders.
	pollLoss = 0.1
)

// drawLateDelays draws how late orders and writes are from the seed, unless a daemon of another version
// takes part: earlier versions rely on orders that are late by 5 s at most.
func drawLateDelays(cluster *simulation.Cluster, options *Options) {
	if options.OtherDaemonPath != "" {
		return
	}
	random := rand.New(rand.NewPCG(options.Seed, lateOrdersStream))
	cluster.OrderDelay = simulation.RandomDelay(random, shortestOrderDelay, longestOrderDelay)
	cluster.Store.LateWriteDelay = simulation.RandomDelay(random, shortestWriteDelay, longestWriteDelay)
	cluster.LateOrdersReachRestartedWorkers = true
}

// loseOrders leaves a part of a worker's orders without an answer.
func (r *run) loseOrders(worker *simulation.Worker) {
	worker.OrderOutcome = r.randomOutcomes(orderLoss, outcomesStream)
	if r.options.OtherDaemonPath != "" {
		return
	}
	polls := r.randomOutcomes(pollLoss, latePollsStream)
	worker.PollOutcome = func(fleet.Poll) simulation.Outcome { return polls() }
}

// answerOrders ends loseOrders.
func answerOrders(worker *simulation.Worker) {
	worker.OrderOutcome, worker.PollOutcome = nil, nil
}
