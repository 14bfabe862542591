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
	// Weight is the owner's processor share; 0 in leases of versions that did not tell it.
	Weight float64 `json:"weight,omitempty"`
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

// head is the content of the head row of a part.
type head struct {
	// Token is the owner's; Nonce tells the owner's transactions apart.
	Token int64  `json:"token"`
	Nonce string `json:"nonce"`
	// Durations is what the owner has learned of its queues' durations.
	Durations map[string]*durationModel `json:"durations,omitempty"`
}

// Progress is the owner's row of a job. Of several in different parts the newest
// counts.
type Progress struct {
	// Token is the owner's, and Serial numbers its rows.
	Token  int64           `json:"token"`
	Serial int             `json:"serial"`
	State  taskgraph.State `json:"state"`
	// EndedMillis is the time of day at which the job ended, since 1970.
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

// maxRun bounds the number of a run: far more than a task is ever started.
const maxRun = 1 << 30

// fits reports whether the row can be of a job. One that can't is damaged, or another writer's.
func (p *Progress) fits(spec *taskgraph.Spec) bool {
	for i := range p.Steps {
		saved := &p.Steps[i]
		if saved.Time < 0 || saved.Time >= spec.Times() || saved.Step < 0 || saved.Step >= len(spec.Steps) {
			return false
		}
		for k := range saved.Units {
			if !saved.Units[k].fits(&spec.Steps[saved.Step]) {
				return false
			}
		}
	}
	return true
}

func (r *unitProgress) fits(step *taskgraph.Step) bool {
	numbered := r.Index >= 0 && r.Index < step.Count && r.Run >= 0 && r.Run <= maxRun
	return numbered && r.Failures >= 0 && r.Failures <= maxRun && len(r.Workers) <= step.Count
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
	// Born tells which life of its worker each member may run in; nil if none is known, as in
	// rows of versions that did not tell lives apart.
	Born []int64 `json:"b,omitempty"`
	// Confirmed has a bit for each member whose worker has confirmed the run. It is written some
	// time after the start, and so may be missing for a run that was confirmed.
	Confirmed []byte `json:"n,omitempty"`
	// Addresses has where the workers serve whose own rows are gone: one that leaves without
	// a word serves on for a while, and a next owner could not reach it by its name.
	Addresses map[string]string `json:"a,omitempty"`
	// Losses has the members under which workers were lost.
	Losses []memberLosses `json:"l,omitempty"`
}

// lifeOf returns the life of the worker that a member may run on; without an identifier if it runs
// on none.
func (r *unitProgress) lifeOf(member int) fleet.Life {
	life := fleet.Life{ID: r.Workers[member]}
	if member < len(r.Born) {
		life.Born = r.Born[member]
	}
	return life
}

// memberLosses is what lost workers say of one member of a unit.
type memberLosses struct {
	Member  int             `json:"m,omitempty"`
	Records []poison.Record `json:"l"`
}

// jobParts is over how many parts a pool's accepted jobs are spread. A part carries out
// its transactions one after another, so that the parts bound the jobs a second that a
// slow store takes: one of 0.5 s a transaction takes 64 with 32 parts, and took 16 with 8,
// where 23 a second come at 1,100 workers. A takeover reads each part.
const jobParts = 32

// partSeparator stands between a pool's name and the number of a part.
const partSeparator = "/"

// jobPartChoices is in how many parts a job's accepted row may stand: where one
// part of the store is away, the row goes into the next. Rows of one job in several
// parts are one job.
const jobPartChoices = 3

// JobParts lists the parts that may hold a job's accepted row, the first choice
// first.
func JobParts(pool, id string) []string {
	first := int(xxhash.Sum64String(id) % jobParts)
	parts := make([]string, jobPartChoices)
	for i := range parts {
		parts[i] = jobPart(pool, (first+i)%jobParts)
	}
	return parts
}

// progressParts is over how many parts the owner may write its rows: where one part
// of the store is away, the rows go into the next.
const progressParts = 3

func progressPart(pool string, number int) string {
	if number == 0 {
		return pool
	}
	return pool + partSeparator + "p" + strconv.Itoa(number)
}

func jobPart(pool string, number int) string {
	return pool + partSeparator + strconv.Itoa(number)
}

// AcceptedKey is the key of an accepted job's row in a part.
func AcceptedKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + acceptedSuffix}
}

// CancelledKey is the key of a job's cancellation in a part.
func CancelledKey(part, id string) rows.Key {
	return rows.Key{Table: JobTable, Part: part, Name: id + cancelledSuffix}
}

// ProgressParts lists the parts that may hold a job's progress.
func ProgressParts(pool string) []string {
	parts := make([]string, progressParts)
	for i := range parts {
		parts[i] = progressPart(pool, i)
	}
	return parts
}

func progressKey(part, id string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: id}
}

// LeaseKey is the key of a pool's lease.
func LeaseKey(pool string) rows.Key {
	return rows.Key{Table: NodeTable, Part: pool, Name: LeaseRow}
}

func headKey(part string) rows.Key {
	return rows.Key{Table: ProgressTable, Part: part, Name: headRow}
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
