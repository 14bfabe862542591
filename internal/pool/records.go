package pool

import (
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Tables of the store. Partitions are named after the pool, except for the partition of the node
// rows.
const (
	// NodeTable holds the lease row of each pool and, in the partition with the empty name, a
	// row for each node.
	NodeTable = "nodes"
	// JobTable holds accepted jobs and cancellations. All nodes write it.
	JobTable = "jobs"
	// ProgressTable holds the progress of jobs and the head rows. Only the owner writes it.
	ProgressTable = "progress"
	// KnowledgeTable holds what the owner of each pool has learned. Only the owner writes it.
	KnowledgeTable = "knowledge"
	// FenceTable holds the row that the owner of each pool writes to raise its token, in the partition of
	// the pool's lease row.
	FenceTable = "fences"
)

// Names of rows.
const (
	LeaseRow = "owner"
	headRow  = "!head"
	// knowledgeRow is also the last part of the row's partition name.
	knowledgeRow = "knowledge"
	// durationsRow has knowledgeRow as a prefix, so that one scan reads both.
	durationsRow = knowledgeRow + "-durations"
	// The suffixes are appended to the job's identifier.
	acceptedSuffix  = ".accepted"
	cancelledSuffix = ".cancelled"
)

// Lease is the row that names the owner of a pool.
type Lease struct {
	// Owner is empty once the pool was released.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Address is the owner's address for other nodes.
	Address string `json:"address"`
	// Nonce is unique to this acquisition.
	Nonce string `json:"nonce"`
	// Weight is the CPU share of the owner's node; 0 in leases of older versions.
	Weight float64 `json:"weight,omitempty"`
	// Format is the format of the pool's rows; 0 in leases of older versions.
	Format compatibility.Format `json:"format,omitempty"`
	// ComparesPools is true if the owner runs no job that another pool has accepted before. Owners of
	// older versions do not compare.
	ComparesPools bool `json:"compares_pools,omitempty"`
}

// Accepted is the row of an accepted job. It is immutable.
type Accepted struct {
	Spec   taskgraph.Spec `json:"spec"`
	Tenant string         `json:"tenant,omitempty"`
	// Queue is the queue's configuration when the job was accepted.
	Queue catalog.Queue `json:"queue"`
	// AcceptedMillis is the Unix time in milliseconds on the accepting node.
	AcceptedMillis int64 `json:"accepted_ms"`
}

// AcceptedAt returns when the job was accepted.
func (a *Accepted) AcceptedAt() time.Time { return time.UnixMilli(a.AcceptedMillis) }

// headRecord is the content of the head row of a progress partition.
type headRecord struct {
	// Token is the owner's fencing token; Nonce identifies the transaction.
	Token int64  `json:"token"`
	Nonce string `json:"nonce"`
	// Durations holds the learned duration models of queues, within maxHeadModelBytes. Rows of earlier
	// versions may hold the models of any number of queues.
	Durations map[string]*durationModel `json:"durations,omitempty"`
	// LostAfterSerial is the serial of the last row of kept knowledge that does not hold the owner's
	// last loss of a worker. Versions before the field ignore it.
	LostAfterSerial int `json:"lost_after_serial,omitempty"`
}

// mustEncode encodes a record as JSON. Records have only fields that can be encoded.
func mustEncode(record any) []byte {
	document, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return document
}

// Encode encodes a record as the value of its row.
func Encode(record any) []byte { return mustEncode(record) }
