package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// MessageDelays are the classes of delays of single messages between daemons and workers. Orders
// then overtake each other before the worker carries them out, and its answers do on their way back.
type MessageDelays []simulation.DelayClass

const (
	// One in messageDelaysEvery seeds has message delays: those that draw messageDelaysDrawn from the
	// random stream messageDelaysStream.
	messageDelaysEvery  = 2
	messageDelaysDrawn  = 1
	messageDelaysStream = 128
	// singleDelaysStream is the random stream of the delays of the messages.
	singleDelaysStream = 129
	// longestMessageDelay is close to the time within which daemons expect an answer to an order.
	longestMessageDelay = 600 * time.Millisecond
)

// messageDelayProfiles are the message delays that seeds choose from.
var messageDelayProfiles = []MessageDelays{
	{{Probability: 0.1, Longest: longestMessageDelay}, {Probability: 0.2, Longest: 60 * time.Millisecond}},
	{{Probability: 0.25, Longest: longestMessageDelay}},
	{{Probability: 0.5, Longest: 40 * time.Millisecond}},
}

// seedsWithoutMessageDelays are seeds of regressions, tests and CI whose faults must not change.
var seedsWithoutMessageDelays = []uint64{
	1, 2, 619, 10001, 10113, 12000, 20063, 60601, 72014, 73019, 120341, 777047, 920100, 930004, 950000,
}

// NewMessageDelays returns the message delays of a run. They depend only on the seed and are drawn
// from a separate random stream.
func NewMessageDelays(seed uint64) MessageDelays {
	random := rand.New(rand.NewPCG(seed, messageDelaysStream))
	if random.IntN(messageDelaysEvery) != messageDelaysDrawn || slices.Contains(seedsWithoutMessageDelays, seed) {
		return nil
	}
	return messageDelayProfiles[random.IntN(len(messageDelayProfiles))]
}

// applyMessageDelays delays messages until the end of the run, so that all jobs can complete.
func (r *run) applyMessageDelays(delays MessageDelays, began time.Time, pending *sync.WaitGroup) {
	if len(delays) == 0 {
		return
	}
	cluster := r.platform.Cluster
	random := rand.New(rand.NewPCG(r.options.Seed, singleDelaysStream))
	r.platform.WithLock(func() { cluster.MessageDelay = simulation.RandomDelays(random, delays...) })
	r.scheduleLocked(began.Add(r.options.FaultDuration), pending, func() { cluster.MessageDelay = nil })
}
