package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// shortlist keeps the best candidates that together hold a number of tasks. Most requests
// take a few of a thousand workers, so that it costs less than to sort them all.
type shortlist struct {
	count int
	// total is how many tasks the kept candidates hold.
	total int
	// kept is a heap with the worst candidate first.
	kept []candidate
}

// compare orders candidates, the best first.
func (c *candidate) compare(other *candidate) int {
	if order := cmp.Compare(c.rackFree, other.rackFree); order != 0 {
		return order
	}
	if order := cmp.Compare(c.left, other.left); order != 0 {
		return order
	}
	return cmp.Compare(c.position, other.position)
}

// add takes in a candidate and lets go of those that are no longer needed.
func (l *shortlist) add(c candidate) {
	if l.total >= l.count && c.compare(&l.kept[0]) > 0 {
		return
	}
	heap.Push(l, c)
	l.total += c.fits
	for l.total-l.kept[0].fits >= l.count {
		l.total -= l.kept[0].fits
		heap.Pop(l)
	}
}

// sorted returns the kept candidates, the best first.
func (l *shortlist) sorted() []candidate {
	slices.SortFunc(l.kept, func(a, b candidate) int { return a.compare(&b) })
	return l.kept
}

// Len implements heap.Interface.
func (l *shortlist) Len() int { return len(l.kept) }

// Less implements heap.Interface.
func (l *shortlist) Less(i, j int) bool { return l.kept[i].compare(&l.kept[j]) > 0 }

// Swap implements heap.Interface.
func (l *shortlist) Swap(i, j int) { l.kept[i], l.kept[j] = l.kept[j], l.kept[i] }

// Push implements heap.Interface.
func (l *shortlist) Push(c any) {
	added, _ := c.(candidate)
	l.kept = append(l.kept, added)
}

// Pop implements heap.Interface.
func (l *shortlist) Pop() any {
	last := len(l.kept) - 1
	popped := l.kept[last]
	l.kept = l.kept[:last]
	return popped
}
