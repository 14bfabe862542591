package writequeue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const partitions = 3

type change struct {
	id       string
	purpose  Purpose
	priority int
	// age is how long ago the row changed.
	age time.Duration
}

// queueOf returns a queue with the given rows, all of them due.
func queueOf(changes ...change) *Queue[int] {
	q := New[int](partitions)
	for _, c := range changes {
		q.Add(Row[int]{ID: c.id, Purpose: c.purpose, ChangedAt: start.Add(-c.age)}, c.priority, 0)
	}
	return q
}

func slowStore() Conditions { return Conditions{Now: start, StoreSlow: true} }

func ids(rows []*Row[int]) []string {
	var names []string
	for _, row := range rows {
		names = append(names, row.ID)
	}
	return names
}

// sendFirst sends a batch of the first candidate and returns it.
func sendFirst(q *Queue[int], c Conditions) []*Row[int] {
	sent := append([]*Row[int](nil), q.Candidates(c)[:1]...)
	q.Send(sent, 0)
	return sent
}

func TestOrderOfRows(t *testing.T) {
	mixed := []change{{id: "note", purpose: Note}, {id: "end", purpose: End}, {id: "low", purpose: Placement, priority: 2},
		{id: "old", purpose: End, age: maxOrderedWait}, {id: "middle", purpose: Placement, priority: 1}, {id: "urgent", purpose: UrgentPlacement}}
	raised := []change{{id: "a", purpose: End}, {id: "b", purpose: Note}, {id: "b", purpose: UrgentPlacement}, {id: "a", purpose: Note}}
	cases := map[string]struct {
		changes []change
		slow    bool
		want    []string
	}{
		"fast store: order of arrival":          {mixed, false, []string{"note", "end", "low", "old", "middle", "urgent"}},
		"slow store: what waits for them":       {mixed, true, []string{"urgent", "old", "middle", "low", "end", "note"}},
		"two purposes: the more urgent one":     {raised, true, []string{"b", "a"}},
		"two purposes, fast store: first place": {raised, false, []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, ids(queueOf(c.changes...).Candidates(Conditions{Now: start, StoreSlow: c.slow})))
		})
	}
}

func TestBatchesInFlight(t *testing.T) {
	cases := map[string]struct {
		change    change
		releasing bool
		want      int
	}{
		"urgent placement":  {change{purpose: UrgentPlacement}, false, 3},
		"other placement":   {change{purpose: Placement}, false, 2},
		"end":               {change{purpose: End}, false, 1},
		"end that is late":  {change{purpose: End, age: maxOrderedWait}, false, 2},
		"end at a release":  {change{purpose: End}, true, 3},
		"note at a release": {change{purpose: Note}, true, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New[int](partitions)
			conditions := slowStore()
			conditions.Releasing = c.releasing
			sent := 0
			for ; sent < 2*partitions; sent++ {
				q.Add(Row[int]{ID: string(rune('a' + sent)), Purpose: c.change.purpose, ChangedAt: start.Add(-c.change.age)}, 0, 0)
				if due, found := q.NextSend(conditions); !found || due.After(start) {
					break
				}
				sendFirst(q, conditions)
			}
			require.Equal(t, c.want, sent)
		})
	}
}

func TestFastStoreGetsOneBatchAtATime(t *testing.T) {
	q := queueOf(change{id: "a", purpose: UrgentPlacement})
	fast := Conditions{Now: start}
	q.Request(start)
	_, found := q.NextSend(fast)
	require.True(t, found)
	sent := sendFirst(q, fast)
	q.Add(Row[int]{ID: "b", Purpose: UrgentPlacement, ChangedAt: start}, 0, 0)
	q.Request(start)
	_, found = q.NextSend(fast)
	require.False(t, found)
	q.Finish(sent, nil)
	_, found = q.NextSend(fast)
	require.True(t, found)
}

// TestRowIsInOneBatch: batches may be written in any order, so that a retry of an older value could
// replace a newer one.
func TestRowIsInOneBatch(t *testing.T) {
	q := queueOf(change{id: "a", purpose: UrgentPlacement})
	sent := sendFirst(q, slowStore())
	q.Add(Row[int]{ID: "a", Purpose: UrgentPlacement, ChangedAt: start}, 0, 0)
	q.Remove("a", start.Add(-MaxRemovalDelay))
	require.Empty(t, q.Candidates(slowStore()))
	_, found := q.NextSend(slowStore())
	require.False(t, found)
	q.Finish(sent, nil)
	require.Equal(t, []string{"a"}, ids(q.Candidates(slowStore())))
	require.Empty(t, q.Send(nil, 1), "the removal follows the write")
	q.Finish(nil, nil)
	q.Finish(sendFirst(q, slowStore()), nil)
	require.Equal(t, []string{"a"}, q.Send(nil, 1))
	q.Add(Row[int]{ID: "a", Purpose: UrgentPlacement, ChangedAt: start}, 0, 0)
	require.Empty(t, q.Candidates(slowStore()), "a write follows the removal")
}

// TestRemovalOfNewerRow: a row that is added again after its removal was put off must stay.
func TestRemovalOfNewerRow(t *testing.T) {
	q := New[int](partitions)
	q.Remove("a", start.Add(-MaxRemovalDelay))
	q.Remove("b", start.Add(-MaxRemovalDelay))
	q.Add(Row[int]{ID: "a", Purpose: UrgentPlacement, ChangedAt: start}, 0, 0)
	q.Finish(sendFirst(q, slowStore()), nil)
	require.Equal(t, []string{"b"}, q.Send(nil, 2))
}

// TestRemovalsOfOneRow: a batch names a row once. A removal of a row whose removal is in flight waits.
func TestRemovalsOfOneRow(t *testing.T) {
	q := New[int](partitions)
	for range 2 {
		q.Remove("a", start)
	}
	sent := q.Send(nil, 2)
	require.Equal(t, []string{"a"}, sent)
	q.Remove("a", start)
	require.Empty(t, q.Send(nil, 2), "the first removal is in flight")
	q.Finish(nil, sent)
	require.Equal(t, []string{"a"}, q.Send(nil, 2))
}

// TestWaitingRowGetsTheNewValue: a job may be replaced by another one of the same identifier.
func TestWaitingRowGetsTheNewValue(t *testing.T) {
	q := New[int](partitions)
	for value := range 2 {
		q.Add(Row[int]{ID: "a", Value: value, Purpose: End, ChangedAt: start}, 0, 0)
	}
	require.Equal(t, 1, q.Candidates(slowStore())[0].Value)
}

func TestWrittenRows(t *testing.T) {
	q := queueOf(change{id: "a", purpose: End}, change{id: "b", purpose: UrgentPlacement})
	mark := q.Mark()
	q.Add(Row[int]{ID: "c", Purpose: End, ChangedAt: start}, 0, 0)
	sent := sendFirst(q, slowStore())
	require.False(t, q.Written("b", mark), "in flight")
	q.Add(Row[int]{ID: "b", Purpose: End, ChangedAt: start}, 0, 0)
	q.Finish(sent, nil)
	require.True(t, q.Written("b", mark), "only the later change is waiting")
	require.False(t, q.Written("b", q.Mark()))
	require.False(t, q.Written("a", mark))
	require.True(t, q.Written("c", mark), "added after the mark")
	require.False(t, q.AllWritten(mark))
	q.Finish(sendFirst(q, slowStore()), nil)
	require.True(t, q.AllWritten(mark))
}

func TestWritesArePutOffWithinBounds(t *testing.T) {
	cases := map[string]struct {
		add  func(q *Queue[int])
		want time.Duration
	}{
		"placement": {func(q *Queue[int]) { q.Add(Row[int]{ID: "a", Purpose: Placement, ChangedAt: start}, 1, 0) }, 0},
		"end":       {func(q *Queue[int]) { q.Add(Row[int]{ID: "a", Purpose: End, ChangedAt: start}, 1, time.Millisecond) }, time.Millisecond},
		"note":      {func(q *Queue[int]) { q.Add(Row[int]{ID: "a", Purpose: Note, ChangedAt: start}, 1, time.Millisecond) }, MaxNoteDelay},
		"removal":   {func(q *Queue[int]) { q.Remove("a", start) }, MaxRemovalDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New[int](partitions)
			c.add(q)
			due, found := q.NextSend(slowStore())
			require.True(t, found)
			require.Equal(t, c.want, due.Sub(start))
		})
	}
}

// TestMoreUrgentRowKeepsItsAge: a change that makes a row more urgent must not put its bound off. A note
// has no such bound.
func TestMoreUrgentRowKeepsItsAge(t *testing.T) {
	cases := map[string]struct {
		first Purpose
		want  []string
	}{
		"end":  {End, []string{"raised", "other"}},
		"note": {Note, []string{"other", "raised"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := queueOf(change{id: "other", purpose: Placement, priority: 1},
				change{id: "raised", purpose: c.first, age: maxOrderedWait})
			q.Add(Row[int]{ID: "raised", Purpose: Placement, ChangedAt: start}, 2, 0)
			require.Equal(t, c.want, ids(q.Candidates(slowStore())))
			require.Equal(t, start, q.byID["raised"].ChangedAt, "histograms tell the time since the placement")
		})
	}
}

// TestRowThatBecomesOverdue: a row that waits for a batch in flight is sent beside it once it is overdue,
// without another event.
func TestRowThatBecomesOverdue(t *testing.T) {
	for _, purpose := range []Purpose{End, Note} {
		q := queueOf(change{id: "first", purpose: End})
		sendFirst(q, slowStore())
		q.Add(Row[int]{ID: "second", Purpose: purpose, ChangedAt: start}, 0, 0)
		due, found := q.NextSend(slowStore())
		require.True(t, found)
		require.Equal(t, start.Add(maxOrderedWait), due)
		sendFirst(q, slowStore())
		q.Add(Row[int]{ID: "third", Purpose: purpose, ChangedAt: start}, 0, 0)
		_, found = q.NextSend(slowStore())
		require.False(t, found, "one partition is kept for urgent placements")
	}
}

func TestStoreLatency(t *testing.T) {
	const fast, answer = 600 * time.Millisecond, 400 * time.Millisecond
	l := &Latency{}
	l.Answered(start, SlowAnswer)
	require.False(t, l.Slow(start))
	_, known := l.FastAt(start)
	require.False(t, known, "the store is fast")
	l.Overdue(start)
	require.True(t, l.Slow(start))
	_, known = l.FastAt(start)
	require.False(t, known, "a write has no answer yet")
	require.Equal(t, fast, l.CopyTimeout(start, fast), "no slow answer has been measured yet")
	l.OverdueEnded(start)
	l.Answered(start, answer)
	require.Equal(t, copyTimeoutAnswers*answer, l.CopyTimeout(start, fast))
	l.Answered(start, 20*answer)
	require.Equal(t, maxCopyTimeout, l.CopyTimeout(start, fast))
	calm, known := l.FastAt(start)
	require.True(t, known)
	require.Equal(t, start.Add(fastAfter), calm)
	require.False(t, l.Slow(calm))
	require.Equal(t, fast, l.CopyTimeout(calm, fast))
	l.Overdue(calm)
	require.Zero(t, l.Typical(), "the next slow phase is measured anew")
}

// TestReturnedRows: rows of a batch that is not written keep their place, and what changed meanwhile keeps the
// newer value.
func TestReturnedRows(t *testing.T) {
	q := New[int](partitions)
	for value, id := range []string{"a", "b", "c"} {
		q.Add(Row[int]{ID: id, Value: value, Purpose: UrgentPlacement, ChangedAt: start}, 0, 0)
	}
	mark := q.Mark()
	q.Remove("gone", start)
	sent := append([]*Row[int](nil), q.Candidates(Conditions{Now: start})[:2]...)
	removals := q.Send(sent, 1)
	require.Equal(t, []string{"gone"}, removals)
	q.Add(Row[int]{ID: "a", Value: 7, Purpose: Note, ChangedAt: start}, 1, 0)
	q.Return(sent, removals, start)
	require.Zero(t, q.Batches())
	returned := q.Candidates(Conditions{Now: start})
	require.Equal(t, []string{"a", "b", "c"}, ids(returned))
	require.Equal(t, 7, returned[0].Value)
	require.Equal(t, UrgentPlacement, returned[0].Purpose)
	require.False(t, q.Written("a", mark), "the older change of the row is not written either")
	require.False(t, q.AllWritten(mark))
	require.Equal(t, []string{"gone"}, q.Send(nil, 1), "the removal waits again")
	q.Drop("b")
	require.Equal(t, []string{"a", "c"}, ids(q.Candidates(Conditions{Now: start})))
	require.Nil(t, q.Row("b"))
	require.True(t, q.Written("b", mark))
}
