package schedule

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/wheatroad/wheatroad/internal/job"
)

// classKey groups jobs that fit or fail together within one cycle.
type classKey struct {
	tenant     string
	priority   int
	shape      job.Shape
	zone       string
	firm       bool
	guaranteed bool
}

// class is the queue of one group, by due time.
type class struct {
	key     classKey
	entries entryHeap
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return earlier(h[i], h[j]) < 0 }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex = i
	h[j].queueIndex = j
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.queueIndex = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// earlier orders jobs by due time, then submission, then key.
func earlier(a, b *entry) int {
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	if c := a.submitted.Compare(b.submitted); c != 0 {
		return c
	}
	if c := cmp.Compare(a.key.Tenant, b.key.Tenant); c != 0 {
		return c
	}
	return cmp.Compare(a.key.ID, b.key.ID)
}

// queue holds all waiting jobs by class.
type queue struct {
	classes map[classKey]*class
	size    int
	// guaranteed lists the jobs that may claim a guarantee, in the order in which
	// claims are served: by priority, then by submission.
	guaranteed []*entry
}

func compareClaims(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.spec.Priority.Rank(), a.spec.Priority.Rank()),
		a.submitted.Compare(b.submitted),
		cmp.Compare(a.key.Tenant, b.key.Tenant),
		cmp.Compare(a.key.ID, b.key.ID),
	)
}

func newQueue() *queue { return &queue{classes: map[classKey]*class{}} }

func classOf(e *entry) classKey {
	return classKey{
		tenant: e.spec.Tenant, priority: e.spec.Priority.Rank(), shape: e.spec.Shape,
		zone: e.spec.Zone, firm: !e.spec.Repeatable, guaranteed: e.spec.Guaranteed,
	}
}

func (q *queue) push(e *entry) {
	key := classOf(e)
	c, ok := q.classes[key]
	if !ok {
		c = &class{key: key}
		q.classes[key] = c
	}
	e.class = c
	e.phase = waiting
	heap.Push(&c.entries, e)
	q.size++
	if e.spec.Guaranteed {
		index, _ := slices.BinarySearchFunc(q.guaranteed, e, compareClaims)
		q.guaranteed = slices.Insert(q.guaranteed, index, e)
	}
}

func (q *queue) remove(e *entry) {
	heap.Remove(&e.class.entries, e.queueIndex)
	if e.spec.Guaranteed {
		index, _ := slices.BinarySearchFunc(q.guaranteed, e, compareClaims)
		q.guaranteed = slices.Delete(q.guaranteed, index, index+1)
	}
	if len(e.class.entries) == 0 {
		delete(q.classes, e.class.key)
	}
	e.class = nil
	q.size--
}

// heads returns the classes by priority, then by their first job's due time.
func (q *queue) heads() []*class {
	heads := make([]*class, 0, len(q.classes))
	for _, c := range q.classes {
		heads = append(heads, c)
	}
	slices.SortFunc(heads, compareClasses)
	return heads
}

func compareClasses(a, b *class) int {
	if a.key.priority != b.key.priority {
		return b.key.priority - a.key.priority
	}
	return earlier(a.entries[0], b.entries[0])
}
