package losses

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// logLine holds the log fields that the report uses. They are documented in the
// operators' page on log lines.
type logLine struct {
	At                 time.Time `json:"ts"`
	Message            string    `json:"msg"`
	Node               string    `json:"-"`
	Job                string    `json:"job"`
	Queue              string    `json:"queue"`
	Reason             string    `json:"reason"`
	State              string    `json:"state"`
	Task               string    `json:"task"`
	Step               int       `json:"step"`
	Unit               int       `json:"unit"`
	Run                int       `json:"run"`
	Tasks              int       `json:"tasks"`
	Result             string    `json:"how"`
	WaitedFor          string    `json:"waited_for"`
	WaitedMillis       int64     `json:"waited_ms"`
	EstimateMillis     int64     `json:"estimate_ms"`
	RanMillis          int64     `json:"ran_ms"`
	UnsavedCoreSeconds float64   `json:"unsaved_core_s"`
	AgeMillis          int64     `json:"age_ms"`
	Stretch            float64   `json:"stretch"`
	TargetMillis       int64     `json:"target_ms"`
	ObjectiveMillis    int64     `json:"objective_ms"`
	// Slowness is the ratio of a run's duration on its workers to its nominal duration; 0 in
	// lines of versions that do not log it.
	Slowness float64 `json:"slowness"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Log accumulates nodes' log lines.
type Log struct {
	lines []logLine
	jobs  map[string]*job
	// storeOutages are the intervals in which the owner could not reach the store. takeovers
	// last from the first suspicion that an owner failed until its successor has read the rows.
	storeOutages      []interval
	takeovers         []interval
	wastedCoreSeconds map[string]float64
	owner             string
	// storeLostAt and ownerLostAt are the starts of intervals that are still open.
	storeLostAt map[string]time.Time
	ownerLostAt time.Time
}

type interval struct{ from, to time.Time }

// overlap returns how much of the interval lies within others.
func (i interval) overlap(others []interval) time.Duration {
	var sum time.Duration
	for _, other := range others {
		from, to := i.from, i.to
		if other.from.After(from) {
			from = other.from
		}
		if other.to.Before(to) {
			to = other.to
		}
		sum += max(0, to.Sub(from))
	}
	return sum
}

// New returns an empty log.
func New() *Log {
	return &Log{jobs: map[string]*job{}, wastedCoreSeconds: map[string]float64{}, storeLostAt: map[string]time.Time{}}
}

// Read appends log lines. The last word before a line's JSON object names the node;
// lines without a log message in JSON are skipped.
func (l *Log) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var r logLine
		if json.Unmarshal([]byte(text[begin:]), &r) != nil || r.Message == "" {
			continue
		}
		if words := strings.Fields(text[:begin]); len(words) > 0 {
			r.Node = words[len(words)-1]
		}
		l.lines = append(l.lines, r)
	}
	return scanner.Err()
}

func (l *Log) apply(r logLine) {
	switch r.Message {
	case "store unreachable":
		l.storeLostAt[r.Node] = r.At
	case "store reachable again":
		if from, ok := l.storeLostAt[r.Node]; ok && r.Node == l.owner {
			l.storeOutages = append(l.storeOutages, interval{from, r.At})
		}
		delete(l.storeLostAt, r.Node)
	case "owner unresponsive", "pool ownership ended":
		if l.ownerLostAt.IsZero() {
			l.ownerLostAt = r.At
		}
	case "owner responsive again", "owner reachable from others":
		l.ownerLostAt = time.Time{}
	case "pool acquired":
		l.owner = r.Node
		if l.ownerLostAt.IsZero() {
			l.ownerLostAt = r.At
		}
	case "pool state loaded":
		if !l.ownerLostAt.IsZero() {
			l.takeovers = append(l.takeovers, interval{l.ownerLostAt, r.At})
		}
		l.ownerLostAt = time.Time{}
	}
	if r.Job != "" {
		l.applyToJob(r)
	}
}

func (l *Log) applyToJob(r logLine) {
	j := l.jobs[r.Job]
	if j == nil {
		j = &job{firstAt: r.At}
		l.jobs[r.Job] = j
	}
	switch r.Message {
	case "job accepted":
		if j.acceptedAt.IsZero() {
			j.acceptedAt = r.At
		}
		j.queue = r.Queue
	case "job not accepted", "request refused":
		if j.acceptedAt.IsZero() {
			j.rejectionReason, j.rejectedAt = r.Reason, r.At
		}
		if r.Queue != "" {
			j.queue = r.Queue
		}
	case "placed":
		j.placements = append(j.placements, r)
	case "run ended":
		j.runEnds = append(j.runEnds, r)
		if r.Result != "done" {
			l.wastedCoreSeconds[r.failureCause()] += r.UnsavedCoreSeconds
		}
	case "job ended":
		j.jobEnd = r
		j.queue = r.Queue
	}
}

// failureCause returns why a run ended without completing.
func (r *logLine) failureCause() string {
	if r.Result == "stopped" && r.Reason != "" {
		return "stopped: " + r.Reason
	}
	return r.Result
}

// parseTaskName returns the step and the index in a task name, or -1 for each if it is malformed.
func parseTaskName(name string) (step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return -1, -1
	}
	step, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errStep != nil || errIndex != nil {
		return -1, -1
	}
	return step, index
}
