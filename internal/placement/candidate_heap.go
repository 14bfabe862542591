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
func (l *candidateHeap) add(c candidate) {
	if l.tasks >= l.count && c.compare(&l.candidates[0]) > 0 {
		return
	}
	heap.Push(l, c)
	l.tasks += c.fits
	for l.tasks-l.candidates[0].fits >= l.count {
		l.tasks -= l.candidates[0].fits
		heap.Pop(l)
	}
}

// sorted returns the candidates, best first.
func (l *candidateHeap) sorted() []candidate {
	slices.SortFunc(l.candidates, func(a, b candidate) int { return a.compare(&b) })
	return l.candidates
}

// Len implements heap.Interface.
func (l *candidateHeap) Len() int { return len(l.candidates) }

// Less implements heap.Interface.
func (l *candidateHeap) Less(i, j int) bool { return l.candidates[i].compare(&l.candidates[j]) > 0 }

// Swap implements heap.Interface.
func (l *candidateHeap) Swap(i, j int) {
	l.candidates[i], l.candidates[j] = l.candidates[j], l.candidates[i]
}

// Push implements heap.Interface.
func (l *candidateHeap) Push(c any) {
	added, _ := c.(candidate)
	l.candidates = append(l.candidates, added)
}

// Pop implements heap.Interface.
func (l *candidateHeap) Pop() any {
	last := len(l.candidates) - 1
	popped := l.candidates[last]
	l.candidates = l.candidates[:last]
	return popped
}
