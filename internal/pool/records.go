package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/rows"
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
)

// Names of rows.
const (
	LeaseRow = "owner"
	headRow  = "!head"
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
	// Durations holds the learned duration model of each queue.
	Durations map[string]*durationModel `json:"durations,omitempty"`
}

// Progress is the progress row of a job. If several partitions have one, the newest is valid.
type Progress struct {
	// Token is the owner's fencing token, and Serial the number of the owner's batch.
	Token  int64           `json:"token"`
	Serial int             `json:"serial"`
	State  taskgraph.State `json:"state"`
	// EndedMillis is the Unix time in milliseconds at which the job ended.
	EndedMillis int64          `json:"ended_ms,omitempty"`
	Steps       []stepProgress `json:"steps,omitempty"`
}

// NewerThan reports whether the row was written after another.
func (p *Progress) NewerThan(other *Progress) bool {
	if p.Token != other.Token {
		return p.Token > other.Token
	}
	return p.Serial > other.Serial
}

// maxRunNumber is the largest run number or failure count of a valid row.
const maxRunNumber = 1 << 30

// validFor reports whether the row is consistent with the job's spec. Otherwise the row is corrupt
// or was not written by an owner.
func (p *Progress) validFor(spec *taskgraph.Spec) bool {
	for i := range p.Steps {
		saved := &p.Steps[i]
		if saved.Repetition < 0 || saved.Repetition >= spec.RepetitionCount() || saved.Step < 0 || saved.Step >= len(spec.Steps) {
			return false
		}
		for k := range saved.Units {
			if !saved.Units[k].validFor(&spec.Steps[saved.Step]) {
				return false
			}
		}
	}
	return true
}

func (r *unitProgress) validFor(step *taskgraph.Step) bool {
	numbered := r.Index >= 0 && r.Index < step.Count && r.Run >= 0 && r.Run <= maxRunNumber
	return numbered && r.Failures >= 0 && r.Failures <= maxRunNumber && len(r.Workers) <= step.Count
}

// stepProgress is the progress of one step of a repetition.
type stepProgress struct {
	Repetition int  `json:"k,omitempty"`
	Step       int  `json:"s"`
	Complete   bool `json:"c,omitempty"`
	// Ended is a bit set of the units that have finished.
	Ended []byte         `json:"e,omitempty"`
	Units []unitProgress `json:"u,omitempty"`
}

// unitProgress is the progress of a unit that was started at least once.
type unitProgress struct {
	Index      int    `json:"i"`
	Run        int    `json:"r"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"p,omitempty"`
	// Workers holds the worker of each member that may be running, and otherwise "".
	Workers []string `json:"w,omitempty"`
	// WorkerStartMillis holds the start time of the worker incarnation in which each member may be
	// running; nil if none is known, as in rows of older versions.
	WorkerStartMillis []int64 `json:"b,omitempty"`
	// Confirmed is a bit set of the members whose run was confirmed by the worker. It is written
	// with a delay, so the bit of a confirmed run may be missing. isConfirmed reads it.
	Confirmed []byte `json:"n,omitempty"`
	// StartedAfterMillis is the time from the job's acceptance to the start of a confirmed run, in
	// milliseconds; 0 if unknown, as in rows of older versions. In a unit of one member it stands for
	// the bit in Confirmed, so that the row does not grow.
	StartedAfterMillis int64 `json:"t,omitempty"`
	// StartPending is a bit set of the confirmed members of whose starts a copy has no response.
	StartPending []byte `json:"d,omitempty"`
	// Addresses holds the addresses of workers whose own rows are gone. These workers may still
	// have runs, and the next owner needs the address to contact them.
	Addresses map[string]string `json:"a,omitempty"`
	// Losses holds the crash records of members whose workers were lost.
	Losses []memberLosses `json:"l,omitempty"`
}

// isConfirmed reports whether the worker of a member has confirmed its run.
func (r *unitProgress) isConfirmed(member int) bool {
	return bitset(r.Confirmed).has(member) || len(r.Workers) == 1 && r.StartedAfterMillis > 0
}

// incarnationOf returns the worker incarnation in which a member may be running; its identifier is
// empty if there is none.
func (r *unitProgress) incarnationOf(member int) fleet.Incarnation {
	incarnation := fleet.Incarnation{ID: r.Workers[member]}
	if member < len(r.WorkerStartMillis) {
		incarnation.StartMillis = r.WorkerStartMillis[member]
	}
	return incarnation
}

// memberLosses holds the records of workers that were lost while they ran one member of a unit.
type memberLosses struct {
	Member  int             `json:"m,omitempty"`
	Records []poison.Record `json:"l"`
}

// jobPartitions is the number of partitions for a pool's accepted jobs. A partition serializes its
// transactions, so the number of partitions limits the jobs per second that a slow store accepts. A
// takeover reads every partition.
const jobPartitions = 32

// partitionSeparator separates the pool's name from the partition number.
const partitionSeparator = "/"

// jobPartitionChoices is the number of partitions that may hold a job's accepted row. If a
// partition is unavailable, the row is written to the next one. Rows of one job in several
// partitions are identical.
const jobPartitionChoices = 3

// JobPartitions returns the partitions that may hold a job's accepted row, in order of preference.
func JobPartitions(pool, id string) []string {
	first := int(xxhash.Sum64String(id) % jobPartitions)
	parts := make([]string, jobPartitionChoices)
	for i := range parts {
		parts[i] = jobPartition(pool, (first+i)%jobPartitions)
	}
	return parts
}

// progressPartitions is the number of progress partitions. If one is unavailable, the owner writes
// to the next.
const progressPartitions = 3

func progressPartition(pool string, number int) string {
	if number == 0 {
		return pool
	}
	return pool + partitionSeparator + "p" + strconv.Itoa(number)
}

func jobPartition(pool string, number int) string {
	return pool + partitionSeparator + strconv.Itoa(number)
}

// AcceptedKey returns the key of an accepted job's row in a partition.
func AcceptedKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + acceptedSuffix}
}

// CancelledKey returns the key of a job's cancellation in a partition.
func CancelledKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + cancelledSuffix}
}

// ProgressPartitions returns the partitions that may hold the progress of a pool's jobs.
func ProgressPartitions(pool string) []string {
	parts := make([]string, progressPartitions)
	for i := range parts {
		parts[i] = progressPartition(pool, i)
	}
	return parts
}

func progressKey(part, id string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: id}
}

// LeaseKey returns the key of a pool's lease row.
func LeaseKey(pool string) rows.Key {
	return rows.Key{Table: NodeTable, Part: pool, Name: LeaseRow}
}

func headKey(part string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: headRow}
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

type bitset []byte

func newBitset(size int) bitset { return make(bitset, (size+7)/8) }

func (b bitset) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
