package poison

import "time"

// Workers are lost by chance in two ways: now and then, and many at once, as when a rack, a zone or a
// link goes. The rate of losses by chance around a loss is the higher of the two that are seen: within
// rateWindow, and within burstWindow. By the wider one alone, losses of a third of the workers in a
// second, four times in 20 s, left innocent tasks with odds of 0.01 to 0.14.

// rateWindows are how far from a loss others count for the rate at its time.
var rateWindows = [...]time.Duration{rateWindow, burstWindow}

// chanceSums adds up, for each of rateWindows, the probabilities that losses came by chance.
type chanceSums [len(rateWindows)]float64

// rate is the rate per worker and second that the sums stand for, without what is left out.
func (s chanceSums) rate(excluded chanceSums, workers int) float64 {
	highest := 0.0
	for i, window := range rateWindows {
		count := s[i] - excluded[i]
		if window == burstWindow {
			count -= minBurstLosses
		}
		highest = max(highest, count/(float64(max(1, workers))*window.Seconds()))
	}
	return highest
}

func withinWindow(a, b *workerLoss, window time.Duration) bool { return a.at.Sub(b.at).Abs() <= window }

// updateChanceRates finds what counts for the rate of chance losses at the time of each loss.
func (l *Ledger) updateChanceRates() {
	for i, window := range rateWindows {
		sum, first, next := 0.0, 0, 0
		for _, loss := range l.losses {
			for ; next < len(l.losses) && withinWindow(l.losses[next], loss, window); next++ {
				sum += l.losses[next].chanceProbability
			}
			for ; !withinWindow(l.losses[first], loss, window); first++ {
				sum -= l.losses[first].chanceProbability
			}
			loss.nearbyChance[i] = max(0, sum-loss.chanceProbability)
		}
	}
	for _, loss := range l.losses {
		loss.chanceRate = loss.baseRate() + loss.nearbyChance.rate(chanceSums{}, l.workers)
	}
}

// baseRate is the rate of chance losses of which no other one tells.
func (loss *workerLoss) baseRate() float64 {
	switch {
	case loss.unobserved:
		return unobservedRate
	case loss.replaced:
		return replacedRate
	}
	return unreachableRate
}

// groupChance is what other losses under the group count at the time of one: they have the
// same cause, if the group is one.
func (g *Group) groupChance(loss *workerLoss) chanceSums {
	var sums chanceSums
	for _, other := range g.losses {
		for i, window := range rateWindows {
			if other != loss && withinWindow(other, loss, window) {
				sums[i] += other.chanceProbability
			}
		}
	}
	return sums
}
