package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Tables of the store. The part of a row is the pool's name, except for members.
const (
	// NodeTable holds the lease row of each pool and, under the empty part, a row
	// for each node.
	NodeTable = "nodes"
	// JobTable holds accepted jobs and cancellations; any node writes it.
	JobTable = "jobs"
	// ProgressTable holds what only the owner writes: progress and the head row.
	ProgressTable = "progress"
)

// Names of rows.
const (
	LeaseRow = "owner"
	headRow  = "!head"
	// Suffixes follow a job's identifier.
	acceptedSuffix  = ".accepted"
	cancelledSuffix = ".cancelled"
)

// Lease is the row that names the owner of a pool.
type Lease struct {
	// Owner is empty when the pool was handed back.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Address is where other nodes reach the owner.
	Address string `json:"address"`
	// Nonce tells this acquisition from all others.
	Nonce string `json:"nonce"`
}

// Accepted is the row of an accepted job. It never changes.
type Accepted struct {
	Spec   taskgraph.Spec `json:"spec"`
	Tenant string         `json:"tenant,omitempty"`
	// Queue is the queue's configuration when the job was accepted.
	Queue catalog.Queue `json:"queue"`
	// AcceptedMillis is the time of day on the accepting node, since 1970.
	AcceptedMillis int64 `json:"accepted_ms"`
}

// AcceptedAt returns when the job was accepted.
func (a *Accepted) AcceptedAt() time.Time { return time.UnixMilli(a.AcceptedMillis) }

// head is the content of the head row.
type head struct {
	Nonce string `json:"nonce"`
}

// Progress is the owner's row of a job.
type Progress struct {
	State taskgraph.State `json:"state"`
	// EndedMillis is the time of day at which the job ended, since 1970.
	EndedMillis int64          `json:"ended_ms,omitempty"`
	Steps       []stepProgress `json:"steps,omitempty"`
}

// stepProgress is the progress of one step of one time.
type stepProgress struct {
	Time     int  `json:"k,omitempty"`
	Step     int  `json:"s"`
	Complete bool `json:"c,omitempty"`
	// Ended has a bit for each unit that has ended.
	Ended []byte         `json:"e,omitempty"`
	Units []unitProgress `json:"u,omitempty"`
}

// unitProgress is the progress of a unit that was started at least once.
type unitProgress struct {
	Index      int    `json:"i"`
	Run        int    `json:"r"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"p,omitempty"`
	// Workers has the worker of each member that may run, or an empty text.
	Workers []string `json:"w,omitempty"`
}

// jobParts is over how many parts a pool's accepted jobs are spread, so that
// submissions do not wait for each other or for the owner's writes.
const jobParts = 8

// partSeparator stands between a pool's name and the number of a part.
const partSeparator = "/"

// JobPart is the part that holds a job's accepted row.
func JobPart(pool, id string) string {
	return jobPart(pool, int(xxhash.Sum64String(id)%jobParts))
}

func jobPart(pool string, number int) string {
	return pool + partSeparator + strconv.Itoa(number)
}

// AcceptedKey is the key of an accepted job's row.
func AcceptedKey(pool, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: JobPart(pool, id), Name: id + acceptedSuffix}
}

// CancelledKey is the key of a job's cancellation.
func CancelledKey(pool, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: JobPart(pool, id), Name: id + cancelledSuffix}
}

// ProgressKey is the key of a job's progress.
func ProgressKey(pool, id string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: pool, Name: id}
}

// LeaseKey is the key of a pool's lease.
func LeaseKey(pool string) rows.Key {
	return rows.Key{Table: NodeTable, Part: pool, Name: LeaseRow}
}

func headKey(pool string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: pool, Name: headRow}
}

// mustEncode renders a record. Records are structs of plain fields.
func mustEncode(record any) []byte {
	document, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return document
}

// Encode renders a record for its row.
func Encode(record any) []byte { return mustEncode(record) }

type bitset []byte

func newBitset(size int) bitset { return make(bitset, (size+7)/8) }

func (b bitset) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
