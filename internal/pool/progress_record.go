package pool

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Progress is the progress row of a job. If several partitions have one, the newest is valid.
type Progress struct {
	// Token is the owner's fencing token, and Serial the number of the owner's batch.
	Token  int64           `json:"token"`
	Serial int             `json:"serial"`
	State  taskgraph.State `json:"state"`
	// EndedMillis is the Unix time in milliseconds at which the job ended.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// EndedRepetitions holds the repetitions of which all steps are complete, and CompleteSteps the complete
	// steps of others. Rows of the baseline format list complete steps in Steps.
	EndedRepetitions numberRanges    `json:"ended,omitempty"`
	CompleteSteps    []completeSteps `json:"complete,omitempty"`
	Steps            []stepProgress  `json:"steps,omitempty"`
}

// completeSteps holds the complete steps of a repetition that has not ended.
type completeSteps struct {
	Repetition int `json:"k,omitempty"`
	// Steps is a bit set of the steps' indexes.
	Steps []byte `json:"b"`
}

// compact reports whether the row has the form of compatibility.CompactProgress.
func (p *Progress) compact() bool { return len(p.EndedRepetitions) > 0 || len(p.CompleteSteps) > 0 }

// DecodeProgress decodes a progress row. It returns an error for a row that no owner can have written.
func DecodeProgress(row *rows.Row) (Progress, error) {
	var record Progress
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Progress{}, errors.Wrap(err, "progress row")
	}
	if !tokenPrecedes(record.Token, row) {
		return Progress{}, errors.Newf("progress row of version %d names a later token: %d", row.Version, record.Token)
	}
	return record, nil
}

// NewerThan reports whether the row was written after another.
func (p *Progress) NewerThan(other *Progress) bool {
	if p.Token != other.Token {
		return p.Token > other.Token
	}
	return p.Serial > other.Serial
}

// maxRunNumber is the largest run number or failure count of a valid row. It is far more than the
// number of times that any task is started.
const maxRunNumber = 1 << 30

// validFor reports whether the row is consistent with the job's spec. Otherwise the row is corrupt
// or was not written by an owner.
func (p *Progress) validFor(spec *taskgraph.Spec) bool {
	if !validStates[p.State] {
		return false
	}
	complete, ok := p.compactlyComplete(spec)
	if !ok {
		return false
	}
	for i := range p.Steps {
		saved := &p.Steps[i]
		if !p.openIn(spec, saved.Repetition) || saved.Step < 0 || saved.Step >= len(spec.Steps) {
			return false
		}
		if _, listedBefore := complete[saved.key()]; listedBefore || !saved.validFor(&spec.Steps[saved.Step]) {
			return false
		}
		complete[saved.key()] = saved.Complete
	}
	return p.State.Final() || p.inOrder(spec, complete)
}

// openIn reports whether a repetition of the job is none of EndedRepetitions.
func (p *Progress) openIn(spec *taskgraph.Spec, repetition int) bool {
	return repetition >= 0 && repetition < spec.RepetitionCount() && !p.EndedRepetitions.contains(repetition)
}

// compactlyComplete returns the steps in CompleteSteps. The result is false if they, or EndedRepetitions,
// are not consistent with the job's spec.
func (p *Progress) compactlyComplete(spec *taskgraph.Spec) (map[stepKey]bool, bool) {
	complete := map[stepKey]bool{}
	if !p.EndedRepetitions.valid(spec.RepetitionCount()) {
		return nil, false
	}
	listed := map[int]bool{}
	for i := range p.CompleteSteps {
		entry := &p.CompleteSteps[i]
		if !p.openIn(spec, entry.Repetition) || listed[entry.Repetition] || len(entry.Steps) > len(newBitset(len(spec.Steps))) {
			return nil, false
		}
		listed[entry.Repetition] = true
		for step := range spec.Steps {
			if bitset(entry.Steps).has(step) {
				complete[stepKey{repetition: entry.Repetition, step: step}] = true
			}
		}
	}
	return complete, true
}

// begunRepetitions returns how many repetitions have begun, as far as the row tells.
func (p *Progress) begunRepetitions() int {
	begun := p.EndedRepetitions.end()
	for i := range p.CompleteSteps {
		begun = max(begun, p.CompleteSteps[i].Repetition+1)
	}
	for i := range p.Steps {
		begun = max(begun, p.Steps[i].Repetition+1)
	}
	return begun
}

// validStates are the states in progress rows. A row without a state is that of a job without progress.
var validStates = map[taskgraph.State]bool{
	"": true, taskgraph.Queued: true, taskgraph.Running: true,
	taskgraph.Completed: true, taskgraph.Failed: true, taskgraph.Cancelled: true,
}

// inOrder reports whether all steps that a listed step needs are complete. Rows of ended jobs do not list
// complete steps.
func (p *Progress) inOrder(spec *taskgraph.Spec, complete map[stepKey]bool) bool {
	for i := range p.Steps {
		for _, earlier := range spec.Steps[p.Steps[i].Step].After {
			if !complete[stepKey{repetition: p.Steps[i].Repetition, step: earlier}] {
				return false
			}
		}
	}
	return true
}

// stepKey identifies a step of a repetition.
type stepKey struct{ repetition, step int }

func (s *stepProgress) key() stepKey { return stepKey{repetition: s.Repetition, step: s.Step} }

// validFor reports whether the record is consistent with the step's spec: a unit is listed once at most,
// as ended or as started, and a step whose units have all ended is complete.
func (s *stepProgress) validFor(step *taskgraph.Step) bool {
	listed := map[int]bool{}
	for k := range s.Units {
		unit := &s.Units[k]
		if !unit.validFor(step) || listed[unit.Index] || bitset(s.Ended).has(unit.Index) {
			return false
		}
		listed[unit.Index] = true
	}
	return s.Complete || !bitset(s.Ended).hasAll(step.UnitCount())
}

func (r *unitProgress) validFor(step *taskgraph.Step) bool {
	numbered := r.Index >= 0 && r.Index < step.Count && r.Run >= 0 && r.Run <= maxRunNumber
	failed := r.Failures >= 0 && r.Failures <= maxRunNumber && r.FailedRun >= 0 && r.FailedRun <= r.Run
	return numbered && failed && len(r.Workers) <= step.Count
}

// hasEndedMember reports whether the unit's present run has ended for a member.
func (r *unitProgress) hasEndedMember() bool {
	return len(r.Workers) == 0 || slices.Contains(r.Workers, "")
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
	Index    int `json:"i"`
	Run      int `json:"r"`
	Failures int `json:"f,omitempty"`
	// FailedRun is the latest run of a gang that is counted in Failures; 0 if none is, and in rows of
	// older versions.
	FailedRun  int    `json:"g,omitempty"`
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
	// StartPending is a bit set of the confirmed members of whose starts a copy has no response, in this run
	// or an earlier one.
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

// setConfirmed records that the worker of a member has confirmed its run, and when the run was started
// after its job's acceptance; 0 if unknown.
func (r *unitProgress) setConfirmed(member int, startedAfterMillis int64) {
	r.StartedAfterMillis = startedAfterMillis
	if len(r.Workers) == 1 && startedAfterMillis > 0 {
		return
	}
	if r.Confirmed == nil {
		r.Confirmed = newBitset(len(r.Workers))
	}
	bitset(r.Confirmed).set(member)
}

// setStartPending records that a copy of a member's start has no response.
func (r *unitProgress) setStartPending(member int) {
	if r.StartPending == nil {
		r.StartPending = newBitset(len(r.Workers))
	}
	bitset(r.StartPending).set(member)
}

// setIncarnation records the worker incarnation on which a member may run.
func (r *unitProgress) setIncarnation(member int, incarnation fleet.Incarnation) {
	r.Workers[member] = incarnation.ID
	if incarnation.StartMillis == 0 {
		return
	}
	if r.WorkerStartMillis == nil {
		r.WorkerStartMillis = make([]int64, len(r.Workers))
	}
	r.WorkerStartMillis[member] = incarnation.StartMillis
}

// setAddress records the address of a worker without a row.
func (r *unitProgress) setAddress(w *fleet.Worker) {
	if r.Addresses == nil {
		r.Addresses = map[string]string{}
	}
	r.Addresses[w.ID] = w.Address
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

// bitset is a set of small numbers, in the form in which rows hold it.
type bitset []byte

func newBitset(size int) bitset { return make(bitset, (size+7)/8) }

func (b bitset) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// hasAll reports whether the set holds all numbers below count.
func (b bitset) hasAll(count int) bool {
	for i := range count {
		if !b.has(i) {
			return false
		}
	}
	return true
}
