package writequeue

import (
	"cmp"
	"slices"
	"time"
)

// Row is a changed row that has not been written yet.
type Row[T any] struct {
	ID    string
	Value T
	// Purpose and ChangedAt say what waits for the row, and since when.
	Purpose   Purpose
	ChangedAt time.Time
	// waitsSince is when the oldest change began to wait, notes left out if there are other ones.
	waitsSince time.Time
	priority   int
	// due is when the row is to be sent at the latest while the store is fast.
	due time.Time
	// sequence numbers the changed rows in the order in which they were added.
	sequence int64
}

// removal is the deletion of a row.
type removal struct {
	id    string
	since time.Time
}

// Conditions are the circumstances of a decision.
type Conditions struct {
	Now time.Time
	// StoreSlow is true while the store is slow. Otherwise one batch is sent at a time, with the rows
	// in the order in which they were added.
	StoreSlow bool
	// Releasing is true once the owner waits for its last writes. No write is put off then.
	Releasing bool
}

// Queue holds the rows to be written. A row is in at most one batch in flight, because the batches
// may be written in any order.
type Queue[T any] struct {
	// partitions is the number of partitions, which is the maximum number of batches in flight.
	partitions int
	// RowsInSeveralBatches lets a row be in several batches in flight. It is for tests that show what
	// this breaks.
	RowsInSeveralBatches bool
	// rows are the changed rows in the order in which they were added, and byID the same by
	// identifier.
	rows []*Row[T]
	byID map[string]*Row[T]
	// removals are the waiting removals, and removalWaits holds their identifiers.
	removals     []removal
	removalWaits map[string]bool
	// inFlight holds the sequence numbers of the rows in flight by identifier, and removing the
	// identifiers of the removals in flight.
	inFlight map[string]int64
	removing map[string]bool
	batches  int
	// due is when the next batch is to be sent while the store is fast; zero if none is.
	due      time.Time
	sequence int64
}

// New returns an empty queue for the given number of partitions.
func New[T any](partitions int) *Queue[T] {
	return &Queue[T]{
		partitions:   partitions,
		byID:         map[string]*Row[T]{},
		removalWaits: map[string]bool{},
		inFlight:     map[string]int64{},
		removing:     map[string]bool{},
	}
}

// Add adds a changed row, to be sent within delay. A row that is waiting already keeps its place and
// gets the new value and the more urgent purpose. A waiting removal of the row is dropped, since it
// would delete the new row. The older row that it leaves has a lower serial and is ignored at load.
func (q *Queue[T]) Add(row Row[T], priority int, delay time.Duration) {
	q.DropRemoval(row.ID)
	row.priority, row.waitsSince = priority, row.ChangedAt
	row.due = row.ChangedAt.Add(delay)
	waiting := q.byID[row.ID]
	if waiting == nil {
		q.sequence++
		row.sequence = q.sequence
		q.byID[row.ID] = &row
		q.rows = append(q.rows, &row)
		return
	}
	waiting.Value = row.Value
	if row.due.Before(waiting.due) {
		waiting.due = row.due
	}
	if row.Purpose < waiting.Purpose {
		if waiting.Purpose == Note {
			waiting.waitsSince = row.ChangedAt
		}
		waiting.Purpose, waiting.ChangedAt, waiting.priority = row.Purpose, row.ChangedAt, priority
	}
}

// Remove adds the deletion of a row, unless it is waiting already.
func (q *Queue[T]) Remove(id string, now time.Time) {
	if q.removalWaits[id] {
		return
	}
	q.removalWaits[id] = true
	q.removals = append(q.removals, removal{id: id, since: now})
}

// DropRemoval withdraws the waiting deletion of a row.
func (q *Queue[T]) DropRemoval(id string) {
	if !q.removalWaits[id] {
		return
	}
	delete(q.removalWaits, id)
	q.removals = slices.DeleteFunc(q.removals, func(r removal) bool { return r.id == id })
}

// Request asks for a batch at the given time at the latest. It reports whether the time of the next
// batch has changed.
func (q *Queue[T]) Request(due time.Time) bool {
	if !q.due.IsZero() && !due.Before(q.due) {
		return false
	}
	q.due = due
	return true
}

// ClearRequest withdraws the request for a batch.
func (q *Queue[T]) ClearRequest() { q.due = time.Time{} }

// Requested reports whether a batch has been requested since the last one was taken.
func (q *Queue[T]) Requested() bool { return !q.due.IsZero() }

// Waiting reports whether rows or removals are waiting to be sent.
func (q *Queue[T]) Waiting() bool { return len(q.rows) > 0 || len(q.removals) > 0 }

// Batches returns the number of batches in flight.
func (q *Queue[T]) Batches() int { return q.batches }

// NextSend returns when the next batch is to be sent; false if none is to be sent before another
// row is added or a batch is finished.
func (q *Queue[T]) NextSend(c Conditions) (time.Time, bool) {
	if !c.StoreSlow {
		return q.due, q.batches == 0 && !q.due.IsZero()
	}
	var next time.Time
	found := false
	consider := func(at time.Time, batches int) {
		if q.batches < batches && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	for _, row := range q.rows {
		if q.sendable(row) {
			consider(row.dueWhenSlow(c), q.batchesFor(row, c))
			consider(row.overdueAt(), q.batchesForOverdue())
		}
	}
	for _, r := range q.removals {
		if q.removable(r) {
			consider(r.dueWhenSlow(c), leastBatches)
		}
	}
	return next, found
}

// sendable reports whether a row may be put into a batch now.
func (q *Queue[T]) sendable(row *Row[T]) bool {
	_, sent := q.inFlight[row.ID]
	return !sent && !q.removing[row.ID] || q.RowsInSeveralBatches
}

// removable reports whether a row may be deleted now. A deletion follows all writes and earlier
// deletions of the row.
func (q *Queue[T]) removable(r removal) bool {
	_, sent := q.inFlight[r.id]
	return !sent && !q.removing[r.id] && q.byID[r.id] == nil
}

// dueWhenSlow returns when a row is to be sent at the latest while the store is slow.
func (r *Row[T]) dueWhenSlow(c Conditions) time.Time {
	switch {
	case c.Releasing:
		return c.Now
	case r.Purpose == Note:
		return r.ChangedAt.Add(MaxNoteDelay)
	}
	return r.due
}

func (r *removal) dueWhenSlow(c Conditions) time.Time {
	if c.Releasing {
		return c.Now
	}
	return r.since.Add(MaxRemovalDelay)
}

// leastBatches is the number of batches in flight that are allowed for any row.
const leastBatches = 1

// batchesFor returns how many batches may be in flight when a batch is sent for a row. One partition
// is kept free for urgent placements, and one more for other placements.
func (q *Queue[T]) batchesFor(row *Row[T], c Conditions) int {
	switch {
	case row.Purpose == UrgentPlacement || c.Releasing:
		return q.partitions
	case row.Purpose == Placement || row.overdue(c):
		return q.batchesForOverdue()
	}
	return leastBatches
}

// batchesForOverdue returns how many batches may be in flight when a batch is sent for a row that is
// overdue.
func (q *Queue[T]) batchesForOverdue() int { return max(leastBatches, q.partitions-1) }

// overdueAt returns when a row begins to precede placements other than urgent ones.
func (r *Row[T]) overdueAt() time.Time { return r.waitsSince.Add(maxOrderedWait) }

// overdue reports whether a row has waited so long that it precedes placements other than urgent
// ones.
func (r *Row[T]) overdue(c Conditions) bool { return !c.Now.Before(r.overdueAt()) }

// Candidates returns the rows for the next batch in the order in which they are to be sent. The
// caller takes as many as fit and passes them to Send.
func (q *Queue[T]) Candidates(c Conditions) []*Row[T] {
	if !c.StoreSlow {
		return q.rows
	}
	candidates := make([]*Row[T], 0, len(q.rows))
	for _, row := range q.rows {
		if q.sendable(row) {
			candidates = append(candidates, row)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Row[T]) int {
		if order := cmp.Compare(a.rank(c), b.rank(c)); order != 0 {
			return order
		}
		if a.rank(c) != rankPlacement {
			return 0
		}
		return cmp.Compare(a.priority, b.priority)
	})
	return candidates
}

// Ranks of rows in a batch, the first one first.
const (
	rankUrgentPlacement = iota
	rankOverdue
	rankPlacement
	rankEnd
	rankNote
)

func (r *Row[T]) rank(c Conditions) int {
	switch {
	case r.Purpose == UrgentPlacement:
		return rankUrgentPlacement
	case r.overdue(c):
		return rankOverdue
	case r.Purpose == Placement:
		return rankPlacement
	case r.Purpose == End:
		return rankEnd
	}
	return rankNote
}

// Send records that a batch with the given rows is in flight. It returns the removals that go with
// the batch, at most limit.
func (q *Queue[T]) Send(sent []*Row[T], limit int) (removals []string) {
	q.batches++
	q.due = time.Time{}
	for _, row := range sent {
		delete(q.byID, row.ID)
		q.inFlight[row.ID] = row.sequence
	}
	q.rows = slices.DeleteFunc(q.rows, func(row *Row[T]) bool { return q.byID[row.ID] != row })
	var remaining []removal
	for _, r := range q.removals {
		if len(removals) == limit || !q.removable(r) {
			remaining = append(remaining, r)
			continue
		}
		removals = append(removals, r.id)
		q.removing[r.id] = true
		delete(q.removalWaits, r.id)
	}
	q.removals = remaining
	return removals
}

// Finish records that a batch is written.
func (q *Queue[T]) Finish(written []*Row[T], removals []string) {
	q.batches--
	for _, row := range written {
		delete(q.inFlight, row.ID)
	}
	for _, id := range removals {
		delete(q.removing, id)
	}
}

// Return puts the rows and removals of a batch back that is not written and will not be. A row that has
// changed meanwhile keeps the new value, and gets the place and the purpose of the older change if
// that is more urgent.
func (q *Queue[T]) Return(rows []*Row[T], removals []string, now time.Time) {
	q.batches--
	for _, row := range rows {
		delete(q.inFlight, row.ID)
		if newer := q.byID[row.ID]; newer != nil {
			newer.precede(row)
			continue
		}
		q.byID[row.ID] = row
		q.rows = append(q.rows, row)
	}
	slices.SortFunc(q.rows, func(a, b *Row[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, id := range removals {
		delete(q.removing, id)
		if q.byID[id] == nil {
			q.Remove(id, now)
		}
	}
}

// precede gives a row the place of an older change of the same row.
func (r *Row[T]) precede(older *Row[T]) {
	r.sequence, r.due, r.waitsSince = older.sequence, older.due, older.waitsSince
	if older.Purpose <= r.Purpose {
		r.Purpose, r.ChangedAt, r.priority = older.Purpose, older.ChangedAt, older.priority
	}
}

// Row returns the waiting row with an identifier, or nil if there is none.
func (q *Queue[T]) Row(id string) *Row[T] { return q.byID[id] }

// Drop withdraws a waiting row, which is not written.
func (q *Queue[T]) Drop(id string) {
	if q.byID[id] == nil {
		return
	}
	delete(q.byID, id)
	q.rows = slices.DeleteFunc(q.rows, func(row *Row[T]) bool { return row.ID == id })
}

// Mark is a point in the order in which rows were added.
type Mark int64

// Mark returns the mark that follows all rows added so far.
func (q *Queue[T]) Mark() Mark { return Mark(q.sequence) }

// Written reports whether the changes that a row had at a mark are written.
func (q *Queue[T]) Written(id string, mark Mark) bool {
	if row := q.byID[id]; row != nil && row.sequence <= int64(mark) {
		return false
	}
	sequence, sent := q.inFlight[id]
	return !sent || sequence > int64(mark)
}

// AllWritten reports whether all rows added before a mark are written.
func (q *Queue[T]) AllWritten(mark Mark) bool {
	if len(q.rows) > 0 && q.rows[0].sequence <= int64(mark) {
		return false
	}
	for _, sequence := range q.inFlight {
		if sequence <= int64(mark) {
			return false
		}
	}
	return true
}
