package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown means that the response to a transaction was lost. The transaction may have
// taken effect, or may take effect later. Reading the rows back does not settle the outcome,
// because the transaction may take effect after the read.
var ErrOutcomeUnknown = errors.New("store: outcome unknown")

// ErrUnavailable means that a read failed, or that a write was rejected and had no effect.
var ErrUnavailable = errors.New("store: unavailable")

// ErrNotFound means that an object does not exist.
var ErrNotFound = errors.New("store: object not found")

// Absent is the revision in a condition that requires that the row does not exist.
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
	// Committed is false if a condition did not hold.
	Committed bool `json:"committed"`
	// Revision is the revision of the written rows if Committed is true.
	Revision int64 `json:"revision"`
	// Failed lists the keys whose condition did not hold.
	Failed []string `json:"failed,omitempty"`
}

// Row is a row that was read from the table service. Only a scan since a revision returns deleted
// rows.
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
	// Scan returns the rows whose keys start with prefix and that were written after the revision
	// since. The result includes deleted rows unless since is 0. The error wraps ErrUnavailable.
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
