package poison

import "time"

// Chance losses are either isolated or simultaneous, as when a rack, a zone or a link fails. The
// chance rate at a loss is the higher of the rates within rateWindow and within burstWindow, so
// that repeated bursts do not make sound tasks look like poison.

// rateWindows are the windows over which chance losses are counted.
var rateWindows = [...]time.Duration{rateWindow, burstWindow}

// chanceSums holds, for each of rateWindows, the sum of the probabilities that losses were chance
// losses.
type chanceSums [len(rateWindows)]float64

// rate returns the rate per worker and second that the sums represent, less the excluded ones.
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

// updateChanceRates recomputes the rate of chance losses at the time of each loss.
func (l *LossTracker) updateChanceRates() {
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

// baseRate returns the chance rate that applies without any other loss.
func (loss *workerLoss) baseRate() float64 {
	switch {
	case loss.unobserved:
		return unobservedRate
	case loss.replaced:
		return replacedRate
	}
	return unreachableRate
}

// groupChance returns what the group's other losses contribute at the time of one: if the group is
// the cause of one, it is the cause of all, and they are not chance losses.
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
