package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// Seeds of the random fault tests with harsh message delays.
var (
	harshSeeds     = flag.Int("harsh-seeds", 1, "number of seeds of the random fault tests with harsh message delays, for each kind of delays and faults")
	firstHarshSeed = flag.Int("first-harsh-seed", 0, "first seed of the random fault tests with harsh message delays")
)

// harshDelaysStream is the random stream of harsh message delays and of the faults that go with them.
const harshDelaysStream = 256

// callTimeout is about the time after which a call to a worker counts as unanswered.
const callTimeout = 700 * time.Millisecond

// harshDelays are kinds of message delays, each of which favors one order of messages. Those named in
// losingWorkers also restart workers.
var harshDelays = map[string]func(c *simulation.Cluster, random *rand.Rand){
	"slow starts": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.6, 650*time.Millisecond, func(message simulation.Message) bool {
			return message.Kind == simulation.StartMessage && !message.Answer
		})
	},
	"slow answers": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.5, 690*time.Millisecond, func(message simulation.Message) bool { return message.Answer })
	},
	"slow requests": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.5, 690*time.Millisecond, func(message simulation.Message) bool { return !message.Answer })
	},
	"slow answers of waiting polls": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.6, 690*time.Millisecond, func(message simulation.Message) bool {
			return message.Kind == simulation.PollMessage && message.Answer && message.Wait > 0
		})
	},
	"near the time-out": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delaysBetween(random, 0.15, callTimeout-200*time.Millisecond, callTimeout+200*time.Millisecond)
	},
	"beyond the time-out": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delaysBetween(random, 0.05, callTimeout, 4*time.Second)
	},
	"bursts": func(c *simulation.Cluster, random *rand.Rand) {
		bursts := simulation.Bursts{LongestQuiet: time.Second, LongestPause: 600 * time.Millisecond, Spread: 60 * time.Millisecond}
		c.MessageDelay = bursts.DelayMessages(c, random)
	},
	"long bursts": func(c *simulation.Cluster, random *rand.Rand) {
		bursts := simulation.Bursts{LongestQuiet: 3 * time.Second, LongestPause: 1500 * time.Millisecond, Spread: 300 * time.Millisecond}
		c.MessageDelay = bursts.DelayMessages(c, random)
	},
	"late time-outs": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.2, 3*time.Second, func(simulation.Message) bool { return true })
		c.TimeoutDelay = func() time.Duration { return time.Duration(random.Int64N(int64(3 * time.Second))) }
		pollRepeatedly(c, random)
	},
	"broken connections": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.3, 690*time.Millisecond, func(simulation.Message) bool { return true })
		c.BreakCall = func() (time.Duration, bool) {
			return time.Duration(random.Int64N(int64(100 * time.Millisecond))), random.Float64() < 0.1
		}
	},
	"suspended owners": func(c *simulation.Cluster, random *rand.Rand) {
		suspendOwners(c, random)
		c.TimeoutDelay = func() time.Duration { return time.Duration(random.Int64N(int64(2 * time.Second))) }
	},
	"several polls": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.4, 690*time.Millisecond, func(simulation.Message) bool { return true })
		pollRepeatedly(c, random)
	},
	"restarts": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.3, 690*time.Millisecond, func(simulation.Message) bool { return true })
		repeatedly(c, 700*time.Millisecond, func() { c.RestartRandomWorkers(random) })
	},
	"restarts and takeovers": func(c *simulation.Cluster, random *rand.Rand) {
		c.MessageDelay = delayIf(random, 0.3, 690*time.Millisecond, func(simulation.Message) bool { return true })
		repeatedly(c, 700*time.Millisecond, func() { c.RestartRandomWorkers(random) })
		repeatedly(c, 2500*time.Millisecond, func() { c.AcquirePool() })
		pollRepeatedly(c, random)
	},
}

// losingWorkers are the kinds of delays that go with restarts of workers. Some jobs may then fail for
// lost workers, so they are not played with random faults that all jobs must survive.
var (
	losingWorkers       = map[string]bool{"restarts": true, "restarts and takeovers": true}
	allJobsMustComplete = map[string]bool{"owners and store": true, "slow store": true}
)

// delayIf delays the messages that match by up to longest, with the given probability.
func delayIf(random *rand.Rand, probability float64, longest time.Duration, matches func(simulation.Message) bool) func(simulation.Message) time.Duration {
	delay := simulation.RandomDelays(random, simulation.DelayClass{Probability: probability, Longest: longest})
	return func(message simulation.Message) time.Duration {
		if !matches(message) {
			return 0
		}
		return delay(message)
	}
}

// delaysBetween delays messages by at least shortest and less than longest, with the given
// probability.
func delaysBetween(random *rand.Rand, probability float64, shortest, longest time.Duration) func(simulation.Message) time.Duration {
	return func(simulation.Message) time.Duration {
		if random.Float64() >= probability {
			return 0
		}
		return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	}
}

// suspendOwners suspends each owner now and then. What arrives meanwhile is received in random order.
func suspendOwners(c *simulation.Cluster, random *rand.Rand) {
	const (
		interval = 800 * time.Millisecond
		longest  = 900 * time.Millisecond
		spread   = 40 * time.Millisecond
	)
	owners := map[string]*simulation.Owner{}
	c.OwnerStarted = func(owner *simulation.Owner) {
		owners[owner.Name] = owner
		repeatedly(c, interval, func() {
			if now := c.Clock.Now(); random.IntN(2) == 0 && now.After(owner.Process.PausedUntil()) {
				owner.Process.Suspend(now.Add(time.Duration(random.Int64N(int64(longest)))))
			}
		})
	}
	c.MessageDelay = func(message simulation.Message) time.Duration {
		left := owners[message.Owner].Process.PausedUntil().Sub(c.Clock.Now())
		if left <= 0 || !message.Answer {
			return 0
		}
		return left + time.Duration(random.Int64N(int64(spread)))
	}
}

// pollRepeatedly lets owners poll random workers in addition to the polls that may be in flight.
func pollRepeatedly(c *simulation.Cluster, random *rand.Rand) {
	c.OwnerStarted = func(owner *simulation.Owner) {
		repeatedly(c, 50*time.Millisecond, func() {
			worker := c.Workers[random.IntN(len(c.Workers))]
			owner.Process.Post(func() { owner.PollNow(worker.ID) })
		})
	}
}

// repeatedFaultsEnd is the age of a simulation at which faults no longer repeat, so that the jobs can
// end.
const repeatedFaultsEnd = 40 * time.Second

// repeatedly injects a fault at a fixed interval until repeatedFaultsEnd.
func repeatedly(c *simulation.Cluster, interval time.Duration, inject func()) {
	c.Clock.After(interval, func() {
		if c.Clock.Now().Sub(c.StartedAt()) < repeatedFaultsEnd {
			inject()
			repeatedly(c, interval, inject)
		}
	})
}

// TestRandomFaultsWithHarshMessages plays all kinds of random faults with each kind of harsh message
// delays.
func TestRandomFaultsWithHarshMessages(t *testing.T) {
	for delays, configure := range harshDelays {
		for faults, play := range faultPlays {
			if losingWorkers[delays] && allJobsMustComplete[faults] {
				continue
			}
			for seed := uint64(*firstHarshSeed); seed < uint64(*firstHarshSeed+*harshSeeds); seed++ {
				t.Run(fmt.Sprintf("%s/%s/seed %d", delays, faults, seed), func(t *testing.T) {
					t.Parallel()
					requireInvariants(t, play(t, seed, pool.DisabledSafeguards{}, func(c *simulation.Cluster) {
						configure(c, rand.New(rand.NewPCG(seed, harshDelaysStream)))
					}))
				})
			}
		}
	}
}
