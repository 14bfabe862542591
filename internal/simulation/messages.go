package simulation

import (
	"math/rand/v2"
	"time"
)

// MessageKind says which call between an owner and a worker a message belongs to.
type MessageKind int

// Kinds of messages.
const (
	StartMessage MessageKind = iota
	StopMessage
	PollMessage
)

// Message describes a message between an owner and a worker.
type Message struct {
	Kind MessageKind
	// Owner is the name of the owner's process that sends or receives the message.
	Owner string
	// Worker is the identifier of the worker that sends or receives the message.
	Worker string
	// Answer is true for messages of the worker, and false for those of the owner.
	Answer bool
	// Wait is how long a poll may wait at the worker; 0 for other calls.
	Wait time.Duration
}

// answer returns the message that answers a request.
func (m Message) answer() Message {
	m.Answer = true
	return m
}

// deliver calls receive when a message arrives. Messages with different delays overtake each other.
func (c *Cluster) deliver(message Message, receive func()) {
	latency := orderLatency / 2
	if c.MessageDelay != nil {
		latency += c.MessageDelay(message)
	}
	c.Clock.After(latency, receive)
}

// limitCall calls fail once the connection of a call breaks or the call times out.
func (c *Cluster) limitCall(timeout time.Duration, fail func()) {
	if c.TimeoutDelay != nil {
		timeout += c.TimeoutDelay()
	}
	c.Clock.After(timeout, fail)
	if c.BreakCall == nil {
		return
	}
	if after, breaks := c.BreakCall(); breaks {
		c.Clock.After(after, fail)
	}
}

// DelayClass is a class of delayed messages: each message belongs to it with the given probability,
// and is then delayed by up to Longest.
type DelayClass struct {
	Probability float64
	Longest     time.Duration
}

// RandomDelays returns a function that draws the delay of each message from random.
func RandomDelays(random *rand.Rand, classes ...DelayClass) func(Message) time.Duration {
	return func(Message) time.Duration {
		drawn := random.Float64()
		for _, class := range classes {
			if drawn < class.Probability {
				return time.Duration(random.Int64N(int64(class.Longest)))
			}
			drawn -= class.Probability
		}
		return 0
	}
}
