package health

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sectionName identifies the record in the stored row.
	sectionName = "health"
	// maxExportedWorkers bounds the exported record, to some 6 KB. Suspects come first, then the
	// latest proofs.
	maxExportedWorkers = 48
)

// exportedRecord is the encoded record. All times are ages in milliseconds.
type exportedRecord struct {
	OnsetAge   int64            `json:"onset_age_ms"`
	FailureAge int64            `json:"failure_age_ms"`
	Workers    []exportedWorker `json:"workers"`
}

type exportedWorker struct {
	ID            string `json:"id"`
	Rack          string `json:"rack,omitempty"`
	Version       string `json:"version,omitempty"`
	Failures      int    `json:"failures,omitempty"`
	EarlyFailures int    `json:"early,omitempty"`
	// FailedJob is the job of all failures; absent if they are of several jobs.
	FailedJob string `json:"job,omitempty"`
	// FailureAge and HealthyAge are absent if the worker has not failed, or made no progress.
	FailureAge *int64 `json:"failure_age_ms,omitempty"`
	Successes  int    `json:"successes,omitempty"`
	HealthyAge *int64 `json:"healthy_age_ms,omitempty"`
}

// Name implements knowledge.Section.
func (r *Record) Name() string { return sectionName }

// Export implements knowledge.Section. Without evidence of failing workers there is nothing to keep.
func (r *Record) Export(now time.Time) (json.RawMessage, error) {
	if !r.Active(now) && r.SuspectedWorkers(now) == 0 {
		return nil, nil
	}
	exported := exportedRecord{OnsetAge: ageMillis(r.onset, now), FailureAge: ageMillis(r.lastFailureAt, now)}
	for _, w := range r.mostTelling(now) {
		exported.Workers = append(exported.Workers, w.export(now))
	}
	return json.Marshal(&exported)
}

// mostTelling returns the suspects, and the workers with the latest proofs.
func (r *Record) mostTelling(now time.Time) []*workerRecord {
	var telling []*workerRecord
	for _, w := range r.workers {
		if w.suspected(now) || w.provenSince(r.onset, now) {
			telling = append(telling, w)
		}
	}
	slices.SortFunc(telling, func(a, b *workerRecord) int {
		return cmp.Or(
			cmp.Compare(b.earlyFailures, a.earlyFailures), b.failedAt.Compare(a.failedAt), b.healthyAt.Compare(a.healthyAt),
			strings.Compare(a.machine.ID, b.machine.ID))
	})
	return telling[:min(len(telling), maxExportedWorkers)]
}

func (w *workerRecord) export(now time.Time) exportedWorker {
	exported := exportedWorker{
		ID: w.machine.ID, Rack: w.machine.Rack, Version: w.machine.Version,
		Failures: w.failures, EarlyFailures: w.earlyFailures, FailedJob: w.failedJob, Successes: w.successes,
	}
	if !w.failedAt.IsZero() {
		age := ageMillis(w.failedAt, now)
		exported.FailureAge = &age
	}
	if !w.healthyAt.IsZero() {
		age := ageMillis(w.healthyAt, now)
		exported.HealthyAge = &age
	}
	return exported
}

func ageMillis(at, now time.Time) int64 { return now.Sub(at).Milliseconds() }

// Import implements knowledge.Section. What this record already knows of a worker is newer and
// stays.
func (r *Record) Import(document json.RawMessage, now time.Time, age time.Duration) error {
	var exported exportedRecord
	if err := json.Unmarshal(document, &exported); err != nil {
		return errors.Wrap(err, "decoding the record of health")
	}
	exportedAt := now.Add(-max(0, age))
	if r.assumed || !r.Active(now) {
		r.onset = timeAtAge(exported.OnsetAge, exportedAt)
		r.lastFailureAt = timeAtAge(exported.FailureAge, exportedAt)
		r.assumed = false
	}
	for i := range exported.Workers[:min(len(exported.Workers), maxExportedWorkers)] {
		w := &exported.Workers[i]
		if r.workers[w.ID] == nil {
			r.workers[w.ID] = w.restore(exportedAt)
		}
	}
	r.Prune(now)
	return nil
}

// maxProofAge is how old the proofs in a stored record may get while the suspects stay the same. The
// next owner trusts workers without a proof less.
const maxProofAge = 5 * time.Second

// MateriallyChanged implements knowledge.Comparer. A record is worth a write if the suspects or their
// failures have changed, or if its proofs have aged.
func (r *Record) MateriallyChanged(written, current json.RawMessage, elapsed time.Duration) bool {
	if elapsed >= maxProofAge {
		return true
	}
	var before, after exportedRecord
	if json.Unmarshal(written, &before) != nil || json.Unmarshal(current, &after) != nil {
		return true
	}
	return !maps.Equal(before.failuresByWorker(), after.failuresByWorker())
}

// failuresByWorker returns the early failures of the suspects.
func (e *exportedRecord) failuresByWorker() map[string]int {
	failures := map[string]int{}
	for i := range e.Workers {
		if e.Workers[i].EarlyFailures > 0 {
			failures[e.Workers[i].ID] = e.Workers[i].EarlyFailures
		}
	}
	return failures
}

func (w *exportedWorker) restore(exportedAt time.Time) *workerRecord {
	restored := &workerRecord{
		machine:  Machine{ID: w.ID, Rack: w.Rack, Version: w.Version},
		failures: max(0, w.Failures), earlyFailures: max(0, w.EarlyFailures), failedJob: w.FailedJob, successes: min(max(0, w.Successes), maxSuccesses),
	}
	if w.FailureAge != nil {
		restored.failedAt = timeAtAge(*w.FailureAge, exportedAt)
	}
	if w.HealthyAge != nil {
		restored.healthyAt = timeAtAge(*w.HealthyAge, exportedAt)
	}
	return restored
}

// timeAtAge returns the time that lay age milliseconds before at. A time of no sensible age is taken
// for one that is long past.
func timeAtAge(age int64, at time.Time) time.Time {
	if age < 0 || age > forgetPeriod.Milliseconds() {
		return at.Add(-forgetPeriod)
	}
	return at.Add(-time.Duration(age) * time.Millisecond)
}
