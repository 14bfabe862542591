package job

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// State is the place of a job in its life.
type State string

// The states. Running is committed before the first start order leaves, so a
// record in Queued proves that its current attempt was never ordered to start.
const (
	Queued   State = "queued"
	Running  State = "running"
	Stopping State = "stopping"
	Finished State = "finished"
	Failed   State = "failed"
	Canceled State = "cancelled"
)

// Terminal reports whether no further change of state can follow.
func (s State) Terminal() bool {
	return s == Finished || s == Failed || s == Canceled
}

// Assignment puts one member of a gang on a worker.
type Assignment struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// MemberResult identifies the output of one member in the object store.
type MemberResult struct {
	Size   int64  `json:"size"`
	Digest uint64 `json:"digest"`
}

// Record is the one row kept for a job, the whole gang's placement included.
type Record struct {
	Spec   Spec   `json:"spec"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	// Attempt counts from 1; 0 means that none was committed yet.
	Attempt int `json:"attempt"`
	// Epoch is the owner's epoch at the last write of this record.
	Epoch int64 `json:"epoch"`
	// Placement has one entry a member, in member order.
	Placement []Assignment `json:"placement,omitempty"`
	// CancelRequested asks a running job's owner to end it.
	CancelRequested bool           `json:"cancel_requested,omitempty"`
	Preempted       int            `json:"preempted,omitempty"`
	SubmittedAt     time.Time      `json:"submitted_at"`
	StartedAt       time.Time      `json:"started_at,omitzero"`
	FinishedAt      time.Time      `json:"finished_at,omitzero"`
	Outcome         fault.Outcome  `json:"outcome"`
	Reason          fault.Kind     `json:"reason,omitempty"`
	Detail          string         `json:"detail,omitempty"`
	Results         []MemberResult `json:"results,omitempty"`
	// ProgressSeconds is the work kept by checkpoints of earlier attempts.
	ProgressSeconds float64 `json:"progress_seconds,omitempty"`
}

// Key identifies a job across tenants.
type Key struct {
	Tenant string
	ID     string
}

// Key returns the record's key.
func (r *Record) Key() Key { return Key{Tenant: r.Spec.Tenant, ID: r.Spec.ID} }

// String renders the key as "tenant/id".
func (k Key) String() string { return k.Tenant + "/" + k.ID }

// Clone returns a copy that shares no mutable memory with r.
func (r *Record) Clone() *Record {
	clone := *r
	clone.Placement = append([]Assignment(nil), r.Placement...)
	clone.Results = append([]MemberResult(nil), r.Results...)
	return &clone
}
