package schedule

import (
	"container/heap"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
)

// Decide runs one cycle and returns what to start and what to push out. The
// caller reports the end of each started or pushed-out job by Ended or Requeue.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.now = now
	s.holds.expire()
	s.witness.repair()
	if s.freed || !s.policy.Backfill || s.now.Sub(s.fullAt) >= fullCyclePause {
		s.freed = false
		s.fullAt = s.now
		s.fresh = s.fresh[:0]
		s.fullCycle()
		s.consolidate()
	} else {
		s.freshCycle()
	}
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// fullCyclePause is how long a cycle may go on trying only new jobs: others become
// overdue as time passes.
const fullCyclePause = 10 * time.Second

// freshCycle tries only the jobs queued since the last cycle: nothing was freed,
// so whatever did not fit then does not fit now.
func (s *Scheduler) freshCycle() {
	fresh := s.fresh
	s.fresh = nil
	for _, e := range fresh {
		if e.phase == waiting && s.entries[e.key] == e && e.queueIndex == 0 {
			s.try(e)
		}
	}
}

func (s *Scheduler) fullCycle() {
	s.guaranteedCycle()
	heads := classHeap{classes: s.queue.heads()}
	for len(heads.classes) > 0 {
		c := heads.classes[0]
		if !s.try(c.entries[0]) {
			if !s.policy.Backfill {
				return
			}
			heap.Pop(&heads)
			continue
		}
		if len(c.entries) == 0 {
			heap.Pop(&heads)
			continue
		}
		heap.Fix(&heads, 0)
	}
}

// guaranteedCycle serves claims first, so that no other job books the capacity
// that a guarantee could have had without pushing anything out.
func (s *Scheduler) guaranteedCycle() {
	failed := map[*class]bool{}
	for _, e := range slices.Clone(s.queue.guaranteed) {
		if !failed[e.class] && !s.claim(e) {
			failed[e.class] = true
		}
	}
}

// try starts or books one waiting job and reports whether it left the queue.
func (s *Scheduler) try(e *entry) bool {
	if e.spec.Guaranteed && s.claim(e) {
		return true
	}
	if !s.withinQuota(e) {
		return false
	}
	s.Considered++
	placement := s.find(e)
	if placement != nil {
		s.begin(e, placement, !e.spec.Repeatable)
		return true
	}
	if s.pushOut(e) {
		return true
	}
	if !e.spec.Repeatable && s.placeAfterRepack(e) {
		return true
	}
	if s.overdue(e) {
		s.holds.reserve(e)
	}
	return false
}

// placeAfterRepack makes room for a job that may not be pushed out by bringing the
// guarantees' unused places together.
func (s *Scheduler) placeAfterRepack(e *entry) bool {
	if !s.witness.mayRepack() {
		return false
	}
	s.witness.repack()
	placement := s.find(e)
	if placement == nil {
		return false
	}
	s.begin(e, placement, true)
	return true
}

func (s *Scheduler) withinQuota(e *entry) bool {
	quota := s.quotas[e.spec.Tenant]
	return quota == 0 || s.usage[e.spec.Tenant]+e.accelerators() <= quota
}

func (s *Scheduler) overdue(e *entry) bool {
	return s.policy.Reservations > 0 && !s.now.Before(e.due)
}

// begin takes a job off the queue and books its placement. It starts at once
// when nothing has to leave first.
func (s *Scheduler) begin(e *entry, placement []cluster.WorkerID, firm bool) {
	s.queue.remove(e)
	s.holds.release(e)
	e.firm = firm
	e.blockers = s.blockersOf(e, placement)
	s.occupy(e, placement)
	e.phase = booked
	e.endsAt = s.now.Add(e.remaining)
	s.startIfReady(e)
}

// blockersOf lists the vacating jobs on workers that lack room right now.
func (s *Scheduler) blockersOf(e *entry, placement []cluster.WorkerID) map[*entry]bool {
	blockers := map[*entry]bool{}
	members := map[cluster.WorkerID]int{}
	for _, id := range placement {
		members[id]++
	}
	for id, count := range members {
		if s.cluster.Workers[id].Free.Holds(e.need) >= count {
			continue
		}
		for _, other := range s.occupants[id] {
			if other.phase == vacating {
				blockers[other] = true
			}
		}
	}
	return blockers
}

// classHeap orders classes by their first job.
type classHeap struct{ classes []*class }

func (h classHeap) Len() int           { return len(h.classes) }
func (h classHeap) Less(i, j int) bool { return compareClasses(h.classes[i], h.classes[j]) < 0 }
func (h classHeap) Swap(i, j int)      { h.classes[i], h.classes[j] = h.classes[j], h.classes[i] }

// Push satisfies heap.Interface; classes never join during a cycle.
func (h *classHeap) Push(x any) { h.classes = append(h.classes, x.(*class)) }

// Pop satisfies heap.Interface.
func (h *classHeap) Pop() any {
	last := h.classes[len(h.classes)-1]
	h.classes = h.classes[:len(h.classes)-1]
	return last
}
