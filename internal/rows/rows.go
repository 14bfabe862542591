// Package rows defines the interface to the platform's transactional table service: rows in
// partitioned tables, conditional transactions within one partition, and change feeds.
package rows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoEffect means that a call had no effect.
var ErrNoEffect = errors.New("rows: call had no effect")

// ErrOutcomeUnknown means that a call may have had an effect, or may have one later.
var ErrOutcomeUnknown = errors.New("rows: no answer")

// ErrHistoryExpired means that the store no longer has the changes since a feed's version. The
// caller must scan again.
var ErrHistoryExpired = errors.New("rows: change history expired; scan again")

// Absent as a condition's version requires that the row does not exist.
const Absent int64 = 0

// Key identifies a row.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row as read. Gone marks deleted rows, which only feeds return.
type Row struct {
	Key
	Value   []byte
	Version int64
	Gone    bool
}

// Condition requires that a row's current version is Version.
type Condition struct {
	Key
	Version int64
}

// Put creates or replaces a row.
type Put struct {
	Key
	Value []byte
}

// Transaction applies all changes if all conditions hold, and none otherwise. All keys must be in
// the same partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool
	// Version is the version of the written rows if Committed.
	Version int64
	// Current holds the conditions' rows as found if not Committed.
	Current []Row
}

// Listing holds the rows of a partition, or the changes to a table, at a version.
type Listing struct {
	Rows    []Row
	Version int64
	// AsOf is a local time by which the store had composed the listing. It is zero if the arrival
	// was not timed.
	AsOf time.Time `json:"-"`
}

// Store is a client of the table service. Its errors wrap one of this package's errors.
type Store interface {
	Commit(ctx context.Context, transaction Transaction) (Result, error)
	// Scan returns the rows of a partition whose names start with prefix. It reads in pages; the
	// listing has the lowest version of them.
	Scan(ctx context.Context, table, part, prefix string) (Listing, error)
	// Page returns up to limit rows of a partition in name order, starting at name from.
	Page(ctx context.Context, table, part, from string, limit int) (Listing, error)
	// Feed returns the rows of a table that changed after a version. It waits up to wait for a
	// change.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Listing, error)
}
