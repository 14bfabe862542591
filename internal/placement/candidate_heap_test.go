package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCandidateHeapMatchesFullSort checks that the heap selects the same workers as a full sort.
func TestCandidateHeapMatchesFullSort(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		count := 1 + random.IntN(12)
		heap := candidateHeap{requestedTasks: count}
		var all []candidate
		offeredCapacity := 0
		for position := range 1 + random.IntN(40) {
			c := candidate{
				worker: 100 + position, position: position, maxTasks: 1 + random.IntN(4),
				rackFree: float64(random.IntN(4)), remainingCores: float64(random.IntN(4)),
			}
			all = append(all, c)
			offeredCapacity += c.maxTasks
			heap.add(c)
		}
		slices.SortFunc(all, func(a, b candidate) int { return a.compare(&b) })
		require.Equal(t, assignTasks(all, count), assignTasks(heap.sorted(), count), "seed %d", seed)
		require.GreaterOrEqual(t, heap.totalCapacity, min(count, offeredCapacity), "seed %d", seed)
	}
}
