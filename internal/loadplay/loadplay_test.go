package loadplay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlaysAreTheSameBySeed and keep all promises.
func TestPlaysAreTheSameBySeed(t *testing.T) {
	load := Loads()[0]
	load.Length /= 6
	first, second := load.Play(3, nil), load.Play(3, nil)
	require.Equal(t, first, second)
	require.Empty(t, first.Broken)
	require.Greater(t, first.Worth, 0.5)
	require.NotEqual(t, first, load.Play(4, nil))
}
