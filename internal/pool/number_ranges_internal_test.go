package pool

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNumberRangesAreASet adds numbers in random order and compares with a map.
func TestNumberRangesAreASet(t *testing.T) {
	const limit = 60
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var set numberRanges
		known := map[int]bool{}
		for _, n := range random.Perm(limit)[:random.IntN(limit+1)] {
			set = set.with(n).with(n)
			known[n] = true
			require.True(t, set.valid(limit), "%v", set)
		}
		require.Equal(t, len(known), set.count())
		highest := 0
		for n := range limit {
			require.Equal(t, known[n], set.contains(n), "%d in %v", n, set)
			if known[n] {
				highest = n + 1
			}
		}
		require.Equal(t, highest, set.end())
	}
}

func TestInvalidNumberRanges(t *testing.T) {
	for _, bounds := range []numberRanges{{0}, {1, 1}, {2, 1}, {-1, 2}, {0, 2, 2, 3}, {0, 11}} {
		require.False(t, bounds.valid(10), "%v", bounds)
	}
	require.True(t, numberRanges{0, 2, 3, 10}.valid(10))
	require.True(t, numberRanges(nil).valid(10))
}
