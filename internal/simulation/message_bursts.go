package simulation

import (
	"math/rand/v2"
	"time"
)

// Bursts describes pauses in the input of an owner's process. The messages that arrive during a pause
// are received in random order after it, as when the process is descheduled and its connections are
// then read in any order.
type Bursts struct {
	// LongestQuiet and LongestPause bound the times between pauses and the pauses.
	LongestQuiet, LongestPause time.Duration
	// Spread is the time within which the messages are received after a pause.
	Spread time.Duration
}

// pause is a time during which an owner's process receives no messages.
type pause struct{ from, to time.Time }

// DelayMessages returns a function that delays the messages of each owner to the end of the pause in
// which they would arrive. Each owner has its own pauses, drawn from random.
func (b Bursts) DelayMessages(c *Cluster, random *rand.Rand) func(Message) time.Duration {
	pauses := map[string]pause{}
	return func(message Message) time.Duration {
		arrival := c.Clock.Now().Add(orderLatency / 2)
		current, known := pauses[message.Owner]
		if !known {
			current = b.next(random, arrival)
		}
		for !arrival.Before(current.to) {
			current = b.next(random, current.to)
		}
		pauses[message.Owner] = current
		if arrival.Before(current.from) {
			return 0
		}
		return current.to.Sub(arrival) + randomBelow(random, b.Spread)
	}
}

// next draws the pause that follows a time.
func (b Bursts) next(random *rand.Rand, after time.Time) pause {
	from := after.Add(randomBelow(random, b.LongestQuiet))
	return pause{from: from, to: from.Add(randomBelow(random, b.LongestPause))}
}

// randomBelow draws a duration of at least one nanosecond and at most longest.
func randomBelow(random *rand.Rand, longest time.Duration) time.Duration {
	return 1 + time.Duration(random.Int64N(int64(longest)))
}
