package soak

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

func TestMessageDelaysAreDeterministicPerSeed(t *testing.T) {
	const seeds = 300
	drawn, profiles := 0, make([]int, len(messageDelayProfiles))
	for seed := range uint64(seeds) {
		delays := NewMessageDelays(seed)
		require.Equal(t, delays, NewMessageDelays(seed))
		if delays.none() {
			continue
		}
		drawn++
		for i, profile := range messageDelayProfiles {
			if reflect.DeepEqual(delays, profile) {
				profiles[i]++
			}
		}
	}
	require.InDelta(t, seeds/messageDelaysEvery, drawn, seeds/10)
	for i, count := range profiles {
		require.InDelta(t, drawn/len(profiles), count, seeds/10, "profile %d", i)
	}
	for _, kept := range seedsWithoutMessageDelays {
		require.Empty(t, NewMessageDelays(kept), "faults of kept seeds must not change")
	}
}

// longestDelayOf draws delays of a message and returns the longest.
func longestDelayOf(delays MessageDelays, message simulation.Message) time.Duration {
	delayOf := delays.delayOf(rand.New(rand.NewPCG(1, 1)))
	var longest time.Duration
	for range 1000 {
		longest = max(longest, delayOf(message))
	}
	return longest
}

// TestMessageDelaysByKind checks which messages each kind of delays affects, and the bounds of the
// drawn delays.
func TestMessageDelaysByKind(t *testing.T) {
	classes := []simulation.DelayClass{{Probability: 0.5, Longest: 100 * time.Millisecond}}
	start := simulation.Message{Kind: simulation.StartMessage}
	startAnswer := simulation.Message{Kind: simulation.StartMessage, Answer: true}
	stop := simulation.Message{Kind: simulation.StopMessage}
	stopAnswer := simulation.Message{Kind: simulation.StopMessage, Answer: true}
	poll := simulation.Message{Kind: simulation.PollMessage}
	report := simulation.Message{Kind: simulation.PollMessage, Answer: true}
	messages := []simulation.Message{start, startAnswer, stop, stopAnswer, poll, report}
	cases := map[string]struct {
		delays  MessageDelays
		delayed []simulation.Message
	}{
		"none":          {},
		"all":           {MessageDelays{All: classes}, messages},
		"starts":        {MessageDelays{Starts: classes}, []simulation.Message{start}},
		"start answers": {MessageDelays{StartAnswers: classes}, []simulation.Message{startAnswer}},
		"reports":       {MessageDelays{Reports: classes}, []simulation.Message{report}},
	}
	for name, c := range cases {
		require.Equal(t, len(c.delayed) == 0, c.delays.none(), name)
		for _, message := range messages {
			longest := longestDelayOf(c.delays, message)
			require.Less(t, longest, classes[0].Longest, "%s: %+v", name, message)
			want := false
			for _, delayed := range c.delayed {
				want = want || delayed == message
			}
			require.Equal(t, want, longest > classes[0].Longest/2, "%s: %+v", name, message)
		}
	}
}

// TestShortSoakOfMessageDelays runs a seed in which reports overtake starts.
func TestShortSoakOfMessageDelays(t *testing.T) {
	report := runShortSoak(t, 970020)
	require.Equal(t, slowStarts, report.MessageDelays)
	require.Positive(t, report.Overtaken.Requests)
	require.Positive(t, report.Overtaken.Answers)
}
