package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCandidateHeapMatchesFullSort compares the heap's selection with that of a full sort.
func TestCandidateHeapMatchesFullSort(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		count := 1 + random.IntN(12)
		heap := candidateHeap{count: count}
		var all []candidate
		total := 0
		for position := range 1 + random.IntN(40) {
			c := candidate{
				worker: 100 + position, position: position, fits: 1 + random.IntN(4),
				rackFree: float64(random.IntN(4)), remaining: float64(random.IntN(4)),
			}
			all = append(all, c)
			total += c.fits
			heap.add(c)
		}
		slices.SortFunc(all, func(a, b candidate) int { return a.compare(&b) })
		require.Equal(t, assignTasks(all, count), assignTasks(heap.sorted(), count), "seed %d", seed)
		require.GreaterOrEqual(t, heap.tasks, min(count, total), "seed %d", seed)
	}
}
