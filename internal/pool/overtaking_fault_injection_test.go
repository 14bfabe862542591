package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Seeds of the random fault tests with messages that overtake each other.
var (
	overtakingSeeds     = flag.Int("overtaking-seeds", 8, "number of seeds of the random fault tests with overtaking messages, for each kind of faults")
	firstOvertakingSeed = flag.Int("first-overtaking-seed", 0, "first seed of the random fault tests with overtaking messages")
)

// clusterOption changes a simulated cluster before its random faults begin.
type clusterOption func(*simulation.Cluster)

// messageDelaysStream is the random stream of the delays of single messages.
const messageDelaysStream = 128

// overtaking delays single messages at random, so that they overtake each other. Every third seed has
// a few messages that take about as long as a call may, every third many, and the rest short delays.
func overtaking(seed uint64) clusterOption {
	return func(c *simulation.Cluster) {
		random := rand.New(rand.NewPCG(seed, messageDelaysStream))
		classes := []simulation.DelayClass{{Probability: 0.1, Longest: 450 * time.Millisecond}, {Probability: 0.2, Longest: 60 * time.Millisecond}}
		switch seed % 3 {
		case 1:
			classes = []simulation.DelayClass{{Probability: 0.25, Longest: 690 * time.Millisecond}}
		case 2:
			classes = []simulation.DelayClass{{Probability: 0.5, Longest: 20 * time.Millisecond}}
		}
		c.MessageDelay = simulation.RandomDelays(random, classes...)
	}
}

// faultPlays are the kinds of random faults that are played with delayed messages. Each play requires
// that all jobs end.
var faultPlays = map[string]func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster{
	"owners and store": func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster {
		return playOwnerFaults(t, seed, disabled, fastStore, delays)
	},
	"slow store": func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster {
		return playOwnerFaults(t, seed, disabled, slowStore, delays)
	},
	"workers": func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster {
		f := runWorkerFaultsWithMaxLease(seed, disabled, false, 0, delays)
		f.countRegularJobs(t)
		return f.Cluster
	},
	"long leases": func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster {
		f := runWorkerFaultsWithMaxLease(seed, disabled, false, 10*time.Second, delays)
		f.countRegularJobs(t)
		return f.Cluster
	},
	"shared workers": func(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, delays clusterOption) *simulation.Cluster {
		f := runSharedWorkerFaults(seed, disabled, delays)
		f.countRegularJobs(t)
		return f.Cluster
	},
}

func playOwnerFaults(t *testing.T, seed uint64, disabled pool.DisabledSafeguards, store storeSpeed, delays clusterOption) *simulation.Cluster {
	w, jobs := randomFaults(seed, disabled, store, delays)
	for n := range jobs {
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(n)), "job %d", n)
	}
	return w
}

// TestRandomFaultsWithOvertakingMessages plays all kinds of random faults while messages between
// owners and workers overtake each other.
func TestRandomFaultsWithOvertakingMessages(t *testing.T) {
	for name, play := range faultPlays {
		for seed := *firstOvertakingSeed; seed < *firstOvertakingSeed+*overtakingSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				requireInvariants(t, play(t, uint64(seed), pool.DisabledSafeguards{}, overtaking(uint64(seed))))
			})
		}
	}
}

// keptOvertakingSeeds are seeds of the random faults with overtaking messages that have violated an
// invariant, by the kind of faults.
var keptOvertakingSeeds = map[string][]uint64{
	"shared workers": {
		60106,  // The first worker that the task crashed was draining, so its loss was not counted.
		200441, // The first worker restarted during a takeover, before a row said that it had confirmed the run.
	},
}

// TestRandomFaultsWithOvertakingMessagesOfKeptSeeds plays the seeds that have violated an invariant.
func TestRandomFaultsWithOvertakingMessagesOfKeptSeeds(t *testing.T) {
	for name, seeds := range keptOvertakingSeeds {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				requireInvariants(t, faultPlays[name](t, seed, pool.DisabledSafeguards{}, overtaking(seed)))
			})
		}
	}
}

// TestCheckerDetectsReportsOutOfOrder lets reports prove the end of runs that may be younger. At least
// one seed of the random faults must then violate an invariant.
func TestCheckerDetectsReportsOutOfOrder(t *testing.T) {
	for seed := range uint64(*overtakingSeeds) {
		f := runSharedWorkerFaults(seed, pool.DisabledSafeguards{ReportOrder: true}, overtaking(seed))
		if len(f.Checker.Violations) > 0 {
			t.Logf("seed %d: %s", seed, f.Checker.Violations[0])
			return
		}
	}
	require.Fail(t, "no seed violates an invariant without the safeguard")
}
