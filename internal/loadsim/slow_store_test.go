package loadsim

import (
	"flag"
	"math"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

var (
	slowStoreSeeds = flag.Int("slow-store-seeds", 2, "number of seeds of TestUrgentStartsWhileTheStoreIsSlow")
	slowStoreScale = flag.Float64("slow-store-scale", 0.5, "size of the pool of TestUrgentStartsWhileTheStoreIsSlow, relative to 112 workers")
)

const (
	// slowTransaction is the time of a transaction while the store is slow.
	slowTransaction = slowFactor * 5 * time.Millisecond
	slowFactor      = 60
)

// slowPhases are the phases in which the store is slow, as times after the owner's takeover.
var slowPhases = [][2]time.Duration{{5 * time.Second, 10 * time.Second}, {15 * time.Second, 20 * time.Second}}

// slowStoreLoad returns urgent jobs in a burst among wide jobs on a small pool.
func slowStoreLoad() *Load {
	load := Loads()[1].scaled(*slowStoreScale)
	load.Length = 22 * time.Second
	load.Bursts = []Burst{{Class: urgentClass, From: slowPhases[0][0], Until: slowPhases[1][1], Factor: 2.6}, {Class: wideClass, Until: load.Length, Factor: 2}}
	return load
}

// simulateSlowStore simulates the load with the slow phases. It returns the result, and the times in
// seconds from the placement to the start of the urgent jobs that were placed in a slow phase.
func simulateSlowStore(seed uint64) (Result, []float64) {
	load := slowStoreLoad()
	var cluster *simulation.Cluster
	result := load.simulateWith(seed, Variant{}, func(c *simulation.Cluster) {
		cluster = c
		c.Checker.Quiet = false
		for _, phase := range slowPhases {
			c.Clock.After(phase[0], func() { c.Store.Latency, c.Store.TransactionTime = slowTransaction, slowTransaction })
			c.Clock.After(phase[1], func() { c.Store.Latency, c.Store.TransactionTime = slowTransaction/slowFactor, 0 })
		}
	})
	urgent := map[string]bool{}
	for _, a := range load.generateArrivals(seed) {
		urgent[a.spec.ID] = load.Classes[a.class].Queue.Name == urgentClass
	}
	return result, startTimes(cluster.Checker.DecisionLog, urgent)
}

var (
	placedLine = regexp.MustCompile(`^(\S+) placed \[job (\w+) step \d+ unit \d+ run (\d+) `)
	begunLine  = regexp.MustCompile(`^(\S+) begun \[task (\w+)\S* run (\d+) `)
)

// startTimes returns the times in seconds from the placements of jobs in a slow phase to their first
// starts, from the lines of the log.
func startTimes(log []string, jobs map[string]bool) []float64 {
	placedAt := map[string]time.Duration{}
	var times []float64
	for _, line := range log {
		if match := placedLine.FindStringSubmatch(line); match != nil && jobs[match[2]] {
			if at, err := time.ParseDuration(match[1]); err == nil && inSlowPhase(at) {
				placedAt[match[2]+" "+match[3]] = at
			}
		}
		if match := begunLine.FindStringSubmatch(line); match != nil {
			run := match[2] + " " + match[3]
			if began, err := time.ParseDuration(match[1]); err == nil && placedAt[run] > 0 {
				times = append(times, (began - placedAt[run]).Seconds())
				delete(placedAt, run)
			}
		}
	}
	return times
}

func inSlowPhase(at time.Duration) bool {
	return slices.ContainsFunc(slowPhases, func(phase [2]time.Duration) bool { return at >= phase[0] && at < phase[1] })
}

// TestUrgentStartsWhileTheStoreIsSlow: an urgent start takes one transaction, and does not wait for
// other batches. The bound leaves a quarter of a transaction for the placements of the moment in which the
// store becomes slow, and for placements that share a partition.
func TestUrgentStartsWhileTheStoreIsSlow(t *testing.T) {
	var means, highest, onTime []float64
	for seed := range uint64(*slowStoreSeeds) {
		result, times := simulateSlowStore(seed + 1)
		require.Empty(t, result.Violations)
		require.Greater(t, len(times), 20)
		slices.Sort(times)
		urgent := result.Classes[0]
		mean := meanOf(times)
		t.Logf("seed %d: %d urgent placements, mean %.3f s, nine of ten %.3f s, longest %.3f s; %d of %d on time; value %.3f",
			seed+1, len(times), mean, times[len(times)*9/10], times[len(times)-1], urgent.OnTime, urgent.Jobs, result.ValueShare)
		assert.Less(t, mean, 1.25*slowTransaction.Seconds())
		means, highest = append(means, mean), append(highest, times[len(times)*9/10])
		onTime = append(onTime, float64(urgent.OnTime)/float64(urgent.Jobs))
	}
	if len(means) != tenSeeds {
		return
	}
	for name, values := range map[string][]float64{"mean start": means, "nine of ten": highest, "on time": onTime} {
		t.Logf("%s: %.3f, 95%% interval of the mean %.3f", name, meanOf(values), halfInterval(values))
	}
}

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// tenSeeds is the number of seeds for which intervals are known.
const tenSeeds = 10

// halfInterval returns half the width of the 95% interval of the mean of ten values, by Student's
// distribution.
func halfInterval(values []float64) float64 {
	const quantile = 2.262
	mean, squares := meanOf(values), 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return quantile * math.Sqrt(squares/float64(len(values)-1)/float64(len(values)))
}
