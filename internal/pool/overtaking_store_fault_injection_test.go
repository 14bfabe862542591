package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// storeDelaysStream is the random stream of the delays of the store's answers.
const storeDelaysStream = 129

// overtakingStore delays the store's answers at random, so that they overtake each other, and makes the
// store forget its history now and then.
func overtakingStore(seed uint64) clusterOption {
	const forgetPeriod = 5 * time.Second
	return func(c *simulation.Cluster) {
		random := rand.New(rand.NewPCG(seed, storeDelaysStream))
		c.Store.AnswerDelay = func(simulation.StoreCall) time.Duration {
			if random.IntN(4) > 0 {
				return 0
			}
			return time.Duration(random.Int64N(int64(400 * time.Millisecond)))
		}
		var forget func()
		forget = func() {
			c.Store.ForgetHistory()
			c.Clock.After(time.Duration(random.Int64N(int64(forgetPeriod))), forget)
		}
		c.Clock.After(forgetPeriod, forget)
	}
}

// TestRandomFaultsWithOvertakingStoreAnswers plays random faults while messages of workers and answers
// of the store overtake each other.
func TestRandomFaultsWithOvertakingStoreAnswers(t *testing.T) {
	for seed := *firstOvertakingSeed; seed < *firstOvertakingSeed+*overtakingSeeds; seed++ {
		t.Run(fmt.Sprintf("workers/seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := runWorkerFaultsWithMaxLease(uint64(seed), pool.DisabledSafeguards{}, false, 0, overtaking(uint64(seed)), overtakingStore(uint64(seed)))
			f.countRegularJobs(t)
			requireInvariants(t, f.Cluster)
		})
		t.Run(fmt.Sprintf("shared workers/seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := runSharedWorkerFaults(uint64(seed), pool.DisabledSafeguards{}, overtaking(uint64(seed)), overtakingStore(uint64(seed)))
			f.countRegularJobs(t)
			requireInvariants(t, f.Cluster)
		})
	}
}

// TestCheckerDetectsUnconditionalWrites lets writes ignore the head rows. At least one seed of the
// random faults must then violate an invariant.
func TestCheckerDetectsUnconditionalWrites(t *testing.T) {
	for seed := range uint64(*overtakingSeeds) {
		f := runWorkerFaultsWithMaxLease(seed, pool.DisabledSafeguards{HeadCondition: true}, false, 0, overtaking(seed), overtakingStore(seed))
		if len(f.Checker.Violations) > 0 {
			t.Logf("seed %d: %s", seed, f.Checker.Violations[0])
			return
		}
	}
	require.Fail(t, "no seed violates an invariant without the safeguard")
}
