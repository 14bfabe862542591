// Package rows is the edge to the platform's transactional table service: rows in
// tables and parts, conditional transactions over one part, and feeds of changes.
package rows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused says that a call surely had no effect.
var ErrRefused = errors.New("rows: refused")

// ErrNoAnswer says that a call may have had an effect, or may have one later.
var ErrNoAnswer = errors.New("rows: no answer")

// ErrHistoryGone says that a feed must be started anew from a scan.
var ErrHistoryGone = errors.New("rows: history is gone")

// Absent as a condition's version requires that the row does not exist.
const Absent int64 = 0

// Key identifies a row.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row as read. Gone rows appear in feeds only.
type Row struct {
	Key
	Value   []byte
	Version int64
	Gone    bool
}

// Condition requires that a row was last written at a version.
type Condition struct {
	Key
	Version int64
}

// Put replaces a row.
type Put struct {
	Key
	Value []byte
}

// Transaction applies all changes if all conditions hold, and nothing otherwise.
// All keys share one part.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Result is the definite answer to a transaction.
type Result struct {
	Committed bool
	// Version is what the written rows carry when Committed.
	Version int64
	// Current has the rows of the conditions as they stand when not Committed.
	Current []Row
}

// Listing is the content of a part, or the changes of a table, at a version.
type Listing struct {
	Rows    []Row
	Version int64
	// AsOf is a time of this process by which the store had composed the listing. It is
	// the zero time if nobody watched the listing arrive.
	AsOf time.Time `json:"-"`
}

// Store is the table service. Errors wrap one of the package's errors.
type Store interface {
	Commit(ctx context.Context, transaction Transaction) (Result, error)
	// Scan returns the rows of a part whose names begin with prefix, as one
	// listing; its version is the lowest of its pages.
	Scan(ctx context.Context, table, part, prefix string) (Listing, error)
	// Page returns the first rows of a part whose names are from or later ones, limit of them
	// at most.
	Page(ctx context.Context, table, part, from string, limit int) (Listing, error)
	// Feed waits up to wait for rows of a table that changed after a version.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Listing, error)
}
