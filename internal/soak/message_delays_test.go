package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMessageDelaysAreDeterministicPerSeed(t *testing.T) {
	const seeds = 300
	drawn, profiles := 0, map[int]int{}
	for seed := range uint64(seeds) {
		delays := NewMessageDelays(seed)
		require.Equal(t, delays, NewMessageDelays(seed))
		if len(delays) == 0 {
			continue
		}
		drawn++
		for i, profile := range messageDelayProfiles {
			if delays[0] == profile[0] {
				profiles[i]++
			}
		}
		probability := 0.0
		for _, class := range delays {
			probability += class.Probability
			require.Positive(t, class.Longest)
			require.LessOrEqual(t, class.Longest, longestMessageDelay)
		}
		require.LessOrEqual(t, probability, 1.0)
	}
	require.InDelta(t, seeds/messageDelaysEvery, drawn, seeds/10)
	require.Len(t, profiles, len(messageDelayProfiles), "every profile is drawn")
	for _, kept := range seedsWithoutMessageDelays {
		require.Empty(t, NewMessageDelays(kept), "faults of kept seeds must not change")
	}
}

// TestShortSoakOfMessageDelays runs a seed in which messages between daemons and workers overtake
// each other.
func TestShortSoakOfMessageDelays(t *testing.T) {
	report := runShortSoak(t, 960002)
	require.NotEmpty(t, report.MessageDelays)
	require.Positive(t, report.Overtaken.Requests)
	require.Positive(t, report.Overtaken.Answers)
}
