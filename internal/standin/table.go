package standin

import (
	"slices"
	"strings"

	"github.com/wheatroad/wheatroad/internal/store"
)

// Table implements the table service. It is not safe for concurrent use.
type Table struct {
	revision int64
	rows     map[string]store.Row
	// changes contains keys by the revision that wrote them, for scans since a revision. Entries
	// of rows that were written again are skipped.
	changes []tableChange
	reads   int64
	writes  int64
}

type tableChange struct {
	revision int64
	key      string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]store.Row{}}
}

// Commit applies a transaction atomically.
func (t *Table) Commit(transaction store.Transaction) store.CommitResult {
	t.writes++
	var failed []string
	for _, condition := range transaction.Conditions {
		if t.liveRevision(condition.Key) != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return store.CommitResult{Failed: failed, Revision: t.revision}
	}
	t.revision++
	for _, write := range transaction.Writes {
		t.rows[write.Key] = store.Row{Key: write.Key, Value: write.Value, Revision: t.revision, Deleted: write.Delete}
		t.changes = append(t.changes, tableChange{revision: t.revision, key: write.Key})
	}
	return store.CommitResult{Committed: true, Revision: t.revision}
}

func (t *Table) liveRevision(key string) int64 {
	row, ok := t.rows[key]
	if !ok || row.Deleted {
		return store.Absent
	}
	return row.Revision
}

// Get returns the row at key.
func (t *Table) Get(key string) store.Row {
	t.reads++
	row, ok := t.rows[key]
	if !ok || row.Deleted {
		return store.Row{Key: key}
	}
	return row
}

// Scan returns the rows under prefix written after since, in key order.
func (t *Table) Scan(prefix string, since int64) store.ScanResult {
	t.reads++
	result := store.ScanResult{Revision: t.revision}
	if since == 0 {
		for key, row := range t.rows {
			if !row.Deleted && strings.HasPrefix(key, prefix) {
				result.Rows = append(result.Rows, row)
			}
		}
	} else {
		result.Rows = t.changedRows(prefix, since)
	}
	slices.SortFunc(result.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return result
}

func (t *Table) changedRows(prefix string, since int64) []store.Row {
	start, _ := slices.BinarySearchFunc(t.changes, since+1, func(c tableChange, r int64) int { return int(c.revision - r) })
	var rows []store.Row
	for _, change := range t.changes[start:] {
		row := t.rows[change.key]
		if row.Revision == change.revision && strings.HasPrefix(change.key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// Counts returns the number of reads and transactions.
func (t *Table) Counts() (reads, writes int64) { return t.reads, t.writes }
