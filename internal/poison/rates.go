package poison

import "time"

// A chance loss is a loss that no task on the worker caused. Chance losses are isolated, or they
// occur in bursts when a rack, a zone or a link fails. The rate of chance losses is the higher of
// the rates within rateWindow and within burstWindow. Repeated bursts therefore do not make healthy
// tasks look like poison.

// rateWindows are the windows over which chance losses are counted.
var rateWindows = [...]time.Duration{rateWindow, burstWindow}

// chanceSums holds one sum for each of rateWindows. A sum adds up the probabilities of losses being
// chance losses, which gives the expected number of chance losses.
type chanceSums [len(rateWindows)]float64

// rate returns the rate of chance losses per worker and second around a loss, after subtracting the
// excluded sums. followedFor is the time from the loss to the latest loss.
func (s chanceSums) rate(excluded chanceSums, workers int, followedFor time.Duration) float64 {
	highest := 0.0
	for i, window := range rateWindows {
		count := s[i] - excluded[i]
		// Losses are counted on both sides of this one. A burst is shorter than one side.
		span := window + min(window, followedFor)
		if window == burstWindow {
			count -= minBurstLosses
			span = window
		}
		highest = max(highest, count/(float64(max(1, workers))*span.Seconds()))
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
		loss.surroundingsUnknown = loss.at.Sub(l.watchedFrom) < rateWindow
		loss.followedFor = l.losses[len(l.losses)-1].at.Sub(loss.at)
		loss.chanceRate = loss.baseChanceRate() + loss.nearbyChance.rate(chanceSums{}, l.workers, loss.followedFor)
	}
}

// baseChanceRate returns the rate of chance losses that applies if no other worker was lost.
func (loss *workerLoss) baseChanceRate() float64 {
	switch {
	case loss.unobserved, loss.surroundingsUnknown:
		return unobservedLossRate
	case loss.replaced:
		return replacedLossRate
	}
	return unreachableLossRate
}

// groupChance returns the contribution of the group's other losses to the rate of chance losses at
// the time of the given loss. If the group caused this loss, the group caused the other losses too,
// and none of them is a chance loss.
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
