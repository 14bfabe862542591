package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown means that a transaction's response was lost: it may have taken effect, or may
// do so later. Reading the rows back does not settle it; see Settle in the operation marker design
// note.
var ErrOutcomeUnknown = errors.New("store: outcome unknown")

// ErrUnavailable means that a read failed, or that a write was rejected and had no effect.
var ErrUnavailable = errors.New("store: unavailable")

// ErrNotFound means that an object does not exist.
var ErrNotFound = errors.New("store: object not found")

// Absent as a condition's revision requires that the row does not exist.
const Absent int64 = 0

// Condition requires that the current revision of the row at Key is Revision.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Write creates, replaces or deletes the row at Key.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the outcome of a transaction.
type CommitResult struct {
	// Committed is false when a condition did not hold.
	Committed bool `json:"committed"`
	// Revision is the revision of the written rows when Committed.
	Revision int64 `json:"revision"`
	// Failed lists the keys whose condition did not hold.
	Failed []string `json:"failed,omitempty"`
}

// Row is a row as read. Deleted rows are returned only by scans since a revision.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ScanResult holds the rows of a scan and the revision at which they were read.
type ScanResult struct {
	Rows     []Row `json:"rows"`
	Revision int64 `json:"revision"`
}

// Table is a client of the transactional table service.
type Table interface {
	// Commit applies a transaction. The error wraps ErrOutcomeUnknown or ErrUnavailable.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Scan returns the rows under prefix written after revision since, including deleted ones
	// unless since is 0. The error wraps ErrUnavailable.
	Scan(ctx context.Context, prefix string, since int64) (ScanResult, error)
	// Get returns a row. A missing row has revision Absent.
	Get(ctx context.Context, key string) (Row, error)
}

// Objects is a client of the object store.
type Objects interface {
	// Put stores an object. It is idempotent.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns an object's content, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}
