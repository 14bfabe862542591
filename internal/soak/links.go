package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Links are the rates of the links between daemons and the platform, and the growth of the
// configuration that the platform sends over them. Most seeds have no slow links.
type Links struct {
	// Rates are the bytes per second of each daemon; zero means unlimited.
	Rates []int `json:"rates,omitempty"`
	// Growths are sorted by time.
	Growths []Growth `json:"growths,omitempty"`
}

// Growth adds queues to the configuration; all later versions contain them.
type Growth struct {
	At     time.Duration `json:"at"`
	Queues int           `json:"queues"`
}

const (
	// One in linksEvery seeds has slow links.
	linksEvery = 3
	// linksDrawn is the drawn number that selects a seed. The seeds of soak/regressions.txt draw
	// another number.
	linksDrawn = 2
	// In a seed with slow links, one in unlimitedEvery daemons has an unlimited link.
	unlimitedEvery = 3
	slowestLink    = 300_000
	fastestLink    = 1_500_000
	maxGrowths     = 2
	smallestGrowth = 500
	largestGrowth  = 3000
	// queueBytes is the size of an extra queue on the wire: 189 bytes of JSON, 252 in base64.
	queueBytes = 252
	// maxTransferTime is the maximum time that the grown configuration takes over the slowest link.
	// It is shorter than the delay before callers use a new key, so that every daemon without
	// faults knows the key by then.
	maxTransferTime = 2 * time.Second
)

// NewLinks returns the links of a run. They depend only on the seed, the length of the run and the
// number of daemons, and are drawn from a separate random stream.
func NewLinks(seed uint64, length time.Duration, daemons int) Links {
	random := rand.New(rand.NewPCG(seed, 3))
	if random.IntN(linksEvery) != linksDrawn {
		return Links{}
	}
	var links Links
	for range 1 + random.IntN(maxGrowths) {
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

// minRate returns the rate, in bytes per second, at which the grown configuration takes
// maxTransferTime.
func (l Links) minRate() int {
	queues := 0
	for _, growth := range l.Growths {
		queues += growth.Queues
	}
	return queues * queueBytes / int(maxTransferTime/time.Second)
}
