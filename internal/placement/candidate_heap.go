package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// candidateHeap keeps the best candidates that together can run requestedTasks tasks. Most requests
// need only a few of many workers, so that a heap is cheaper than a full sort.
type candidateHeap struct {
	requestedTasks int
	// totalCapacity is the sum of maxTasks over the candidates.
	totalCapacity int
	// candidates is a heap with the worst candidate at the root.
	candidates []candidate
}

// compare orders candidates from best to worst: the candidate in the fullest rack first, then the
// candidate with the fewest remaining cores.
func (c *candidate) compare(other *candidate) int {
	if order := cmp.Compare(c.rackFree, other.rackFree); order != 0 {
		return order
	}
	if order := cmp.Compare(c.remainingCores, other.remainingCores); order != 0 {
		return order
	}
	return cmp.Compare(c.position, other.position)
}

// add inserts a candidate, and removes the worst candidates while the others can run all requested
// tasks.
func (h *candidateHeap) add(c candidate) {
	if h.totalCapacity >= h.requestedTasks && c.compare(&h.candidates[0]) > 0 {
		return
	}
	heap.Push(h, c)
	h.totalCapacity += c.maxTasks
	for h.totalCapacity-h.candidates[0].maxTasks >= h.requestedTasks {
		h.totalCapacity -= h.candidates[0].maxTasks
		heap.Pop(h)
	}
}

// sorted returns the candidates, best first.
func (h *candidateHeap) sorted() []candidate {
	slices.SortFunc(h.candidates, func(a, b candidate) int { return a.compare(&b) })
	return h.candidates
}

// Len implements heap.Interface.
func (h *candidateHeap) Len() int { return len(h.candidates) }

// Less implements heap.Interface.
func (h *candidateHeap) Less(i, j int) bool { return h.candidates[i].compare(&h.candidates[j]) > 0 }

// Swap implements heap.Interface.
func (h *candidateHeap) Swap(i, j int) {
	h.candidates[i], h.candidates[j] = h.candidates[j], h.candidates[i]
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(c any) {
	added, _ := c.(candidate)
	h.candidates = append(h.candidates, added)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(h.candidates) - 1
	popped := h.candidates[last]
	h.candidates = h.candidates[:last]
	return popped
}
