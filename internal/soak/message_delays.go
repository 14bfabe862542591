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
type MessageDelays struct {
	// All are the delays of messages of any kind.
	All []simulation.DelayClass `json:"all,omitempty"`
	// Starts and StartAnswers are additional delays of starts before and after they are carried out.
	Starts       []simulation.DelayClass `json:"starts,omitempty"`
	StartAnswers []simulation.DelayClass `json:"start_answers,omitempty"`
	// Reports are additional delays of the answers to polls.
	Reports []simulation.DelayClass `json:"reports,omitempty"`
}

const (
	// One in messageDelaysEvery seeds has message delays: those that draw messageDelaysDrawn from the
	// random stream messageDelaysStream.
	messageDelaysEvery  = 2
	messageDelaysDrawn  = 1
	messageDelaysStream = 128
	// singleDelaysStream is the random stream of the delays of the messages.
	singleDelaysStream = 129
	// longestMessageDelay exceeds the time within which daemons expect an answer to an order.
	longestMessageDelay = 600 * time.Millisecond
)

// messageDelayProfiles are the message delays that seeds choose from.
var messageDelayProfiles = []MessageDelays{
	{All: []simulation.DelayClass{{Probability: 0.1, Longest: longestMessageDelay}, {Probability: 0.2, Longest: 60 * time.Millisecond}}},
	{All: []simulation.DelayClass{{Probability: 0.25, Longest: longestMessageDelay}}},
	slowStarts,
}

// slowStarts delays every start and its answer, so that reports overtake both. Daemons send another
// copy of a start that is not answered soon, and one fast copy is enough to confirm the run.
var slowStarts = MessageDelays{
	Starts:       []simulation.DelayClass{{Probability: 1, Longest: 250 * time.Millisecond}},
	StartAnswers: []simulation.DelayClass{{Probability: 1, Longest: 500 * time.Millisecond}},
	Reports:      []simulation.DelayClass{{Probability: 0.5, Longest: 380 * time.Millisecond}},
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
		return MessageDelays{}
	}
	return messageDelayProfiles[random.IntN(len(messageDelayProfiles))]
}

// none reports whether no message is delayed.
func (d *MessageDelays) none() bool {
	return len(d.All)+len(d.Starts)+len(d.StartAnswers)+len(d.Reports) == 0
}

// delayOf returns a function that draws the delay of each message from random.
func (d *MessageDelays) delayOf(random *rand.Rand) func(simulation.Message) time.Duration {
	all := simulation.RandomDelays(random, d.All...)
	starts := simulation.RandomDelays(random, d.Starts...)
	startAnswers := simulation.RandomDelays(random, d.StartAnswers...)
	reports := simulation.RandomDelays(random, d.Reports...)
	return func(message simulation.Message) time.Duration {
		delay := all(message)
		switch {
		case message.Kind == simulation.StartMessage && message.Answer:
			delay += startAnswers(message)
		case message.Kind == simulation.StartMessage:
			delay += starts(message)
		case message.Kind == simulation.PollMessage && message.Answer:
			delay += reports(message)
		}
		return delay
	}
}

// applyMessageDelays delays messages until the end of the run, so that all jobs can complete.
func (r *run) applyMessageDelays(delays MessageDelays, began time.Time, pending *sync.WaitGroup) {
	if delays.none() {
		return
	}
	cluster := r.platform.Cluster
	random := rand.New(rand.NewPCG(r.options.Seed, singleDelaysStream))
	r.platform.WithLock(func() { cluster.MessageDelay = delays.delayOf(random) })
	r.scheduleLocked(began.Add(r.options.FaultDuration), pending, func() { cluster.MessageDelay = nil })
}
