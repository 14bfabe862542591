package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// candidateHeap keeps the best candidates that together can run count tasks. Most requests need a
// few of many workers, which makes this cheaper than a full sort.
type candidateHeap struct {
	count int
	// tasks is the total number of tasks that the candidates can run.
	tasks int
	// candidates is a heap with the worst candidate at the root.
	candidates []candidate
}

// compare orders candidates from best to worst.
func (c *candidate) compare(other *candidate) int {
	if order := cmp.Compare(c.rackFree, other.rackFree); order != 0 {
		return order
	}
	if order := cmp.Compare(c.remaining, other.remaining); order != 0 {
		return order
	}
	return cmp.Compare(c.position, other.position)
}

// add inserts a candidate and removes those that are no longer needed.
func (h *candidateHeap) add(c candidate) {
	if h.tasks >= h.count && c.compare(&h.candidates[0]) > 0 {
		return
	}
	heap.Push(h, c)
	h.tasks += c.fits
	for h.tasks-h.candidates[0].fits >= h.count {
		h.tasks -= h.candidates[0].fits
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
