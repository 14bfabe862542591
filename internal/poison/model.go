package poison

import (
	"math"
	"time"
)

const (
	// priorOdds are the odds that a task without losses is poison.
	priorOdds = 1e-3
	// replacedRate is the minimum rate of chance losses per worker and second, for workers that
	// were replaced.
	replacedRate = 1e-4
	// unreachableRate applies to workers that only stopped responding; network partitions and
	// stalls look the same.
	unreachableRate = 1e-3
	// unobservedRate applies to workers that were lost before the owner heard from them. The owner
	// has not seen the losses around them, and a failure that takes an owner down often takes
	// workers with it.
	unobservedRate = 3e-3
	// poisonOdds are the odds from which a task is poison, given at least minEvidence losses as
	// evidence. At maxLosses losses it is rejected whatever its odds, and at one less if its odds
	// reach nearLimitOdds, so that one undetected loss does not exceed the limit.
	poisonOdds    = 10
	minEvidence   = 2
	nearLimitOdds = 10 * priorOdds
	maxLosses     = 5
	// doubtfulOdds and suspectedOdds are the odds from which a task is kept apart from other
	// doubtful tasks, or from all newly placed ones.
	doubtfulOdds  = 0.05
	suspectedOdds = 0.3
	// rateWindow is the time around a loss within which others count toward the chance rate.
	rateWindow = 10 * time.Second
	// burstWindow is the same for simultaneous losses. It covers the delay within which workers
	// behind one network partition are found lost.
	burstWindow = 1500 * time.Millisecond
	// minBurstLosses is the number of other losses that are discounted before losses count as a
	// burst.
	minBurstLosses = 4
	// ageOffset and ageHorizon define the density of the age at which poison tasks crash their
	// workers, which is proportional to 1/(age + ageOffset) up to ageHorizon. A run older than
	// ageHorizon is not a suspect.
	ageOffset  = 100 * time.Millisecond
	ageHorizon = 60 * time.Second
)

// densityNorm normalizes the density to an integral of 1.
var densityNorm = math.Log(1 + ageHorizon.Seconds()/ageOffset.Seconds())

// crashDensity returns the probability per second that a poison task crashes its worker at an age
// of its run.
func crashDensity(age time.Duration) float64 {
	if age >= ageHorizon {
		return 0
	}
	return 1 / ((max(0, age) + ageOffset).Seconds() * densityNorm)
}

// probability converts odds into a probability.
func probability(odds float64) float64 { return odds / (1 + odds) }
