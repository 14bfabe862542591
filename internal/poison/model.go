package poison

import (
	"math"
	"time"
)

const (
	// priorOdds are the odds that a task without losses is poison, while few tasks were found to be.
	priorOdds = 1e-3
	// The next three constants are the minimum rates of chance losses per worker and second. A
	// chance loss is a loss that no task on the worker caused.

	// replacedLossRate applies to lost workers that another instance has replaced. It means one
	// loss in 200 s among 48 workers.
	replacedLossRate = 1e-4
	// unreachableLossRate applies to workers that only stopped responding. Network partitions and
	// stalls have the same symptom.
	unreachableLossRate = 1e-3
	// unobservedLossRate applies to workers that were lost before the owner heard from them, and to
	// those lost soon after a takeover if the losses before it are unknown. The owner has not seen
	// the losses around them. A failure of the previous owner's machine often affects workers too.
	unobservedLossRate = 3e-3
	// A task is poison if its odds reach poisonOdds and at least minEvidence losses are evidence. With
	// just minEvidence losses that other suspects may have caused, the odds must reach
	// inconclusiveOdds.
	// A task with maxLosses losses is rejected whatever its odds, because the platform allows only
	// two more starts after three losses. For a task with one loss less, of which one is
	// conclusive, the odds of nearLimitRatio times the prior odds are sufficient instead of
	// poisonOdds, in case one loss was not detected.
	poisonOdds       = 10
	inconclusiveOdds = 1000
	minEvidence      = 2
	nearLimitRatio   = 10
	maxLosses        = 5
	// A task is Doubtful if its odds reach doubtfulOdds.
	doubtfulOdds = 0.05
	// A task is Suspected if its odds reach suspectedOdds or minEvidence losses are evidence.
	suspectedOdds = 0.3
	// rateWindow is the time before and after a loss within which other losses count toward the
	// rate of chance losses.
	rateWindow = 10 * time.Second
	// burstWindow is the time before and after a loss within which other losses count as one burst.
	// Workers behind one network partition are detected as lost within 2 s, the wait of a poll.
	burstWindow = 1500 * time.Millisecond
	// minBurstLosses is subtracted from the number of other losses within burstWindow, so that few
	// losses do not count as a burst.
	minBurstLosses = 4
	// ageOffset and ageHorizon define the probability density of the age at which poison tasks crash
	// their workers. The density is proportional to 1/(age + ageOffset) up to ageHorizon, because
	// most poison tasks crash their workers at once and some after a while of work. A task
	// whose run is older than ageHorizon is not a suspect.
	ageOffset  = 100 * time.Millisecond
	ageHorizon = 60 * time.Second
)

// densityNorm normalizes the density of crash ages to an integral of 1.
var densityNorm = math.Log(1 + ageHorizon.Seconds()/ageOffset.Seconds())

// crashDensity returns the probability density, per second, of a poison task crashing its worker
// at the given age of the run.
func crashDensity(age time.Duration) float64 {
	if age >= ageHorizon {
		return 0
	}
	return 1 / ((max(0, age) + ageOffset).Seconds() * densityNorm)
}

// probability converts odds into a probability.
func probability(odds float64) float64 { return odds / (1 + odds) }
