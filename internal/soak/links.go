package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Links is what a run draws beside its faults: slow links between daemons and the
// platform, and growth of the configuration that crosses them. It is empty for most seeds.
type Links struct {
	// Rates are bytes per second, one for each daemon; zero is no limit.
	Rates []int `json:"rates,omitempty"`
	// Growths are in the order of their time.
	Growths []Growth `json:"growths,omitempty"`
}

// Growth adds queues to the configuration; all later versions keep them.
type Growth struct {
	At     time.Duration `json:"at"`
	Queues int           `json:"queues"`
}

const (
	// linksEvery is one in how many seeds has slow links.
	linksEvery = 3
	// linksDrawn is the draw that gives a seed slow links: one that leaves the seeds of
	// soak/regressions.txt without.
	linksDrawn = 2
	// unlimitedEvery is one in how many daemons of such a seed has no limit.
	unlimitedEvery = 3
	slowestLink    = 300_000
	fastestLink    = 1_500_000
	mostGrowths    = 2
	smallestGrowth = 500
	largestGrowth  = 3000
	// queueBytes is what an extra queue takes of a row on the wire: 189 bytes as JSON,
	// which base64 turns into 252.
	queueBytes = 252
	// longestTransfer is how long the grown configuration may take over the slowest link.
	// It is shorter than the age at which callers begin to use a new key, so that a key
	// refused by a daemon without trouble stays a broken promise.
	longestTransfer = 2 * time.Second
)

// NewLinks draws the links of a run: the same for the same seed, length and number of
// daemons. It takes nothing from the numbers that NewPlan draws.
func NewLinks(seed uint64, length time.Duration, daemons int) Links {
	random := rand.New(rand.NewPCG(seed, 3))
	if random.IntN(linksEvery) != linksDrawn {
		return Links{}
	}
	var links Links
	for range 1 + random.IntN(mostGrowths) {
		links.Growths = append(links.Growths, Growth{
			At:     time.Duration(random.Int64N(int64(length))),
			Queues: smallestGrowth + random.IntN(largestGrowth-smallestGrowth+1),
		})
	}
	slices.SortStableFunc(links.Growths, func(a, b Growth) int { return cmp.Compare(a.At, b.At) })
	slowest := max(slowestLink, links.minRate())
	for range daemons {
		rate := slowest + random.IntN(fastestLink-slowest+1)
		if random.IntN(unlimitedEvery) == 0 {
			rate = 0
		}
		links.Rates = append(links.Rates, rate)
	}
	return links
}

// minRate returns the rate at which the whole growth takes the longest transfer.
func (l Links) minRate() int {
	queues := 0
	for _, growth := range l.Growths {
		queues += growth.Queues
	}
	return queues * queueBytes / int(longestTransfer/time.Second)
}
