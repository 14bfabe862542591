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
	// storeOutages are the intervals in which the owner could not reach the store.
	storeOutages []interval
	// takeovers are the intervals without an owner. They begin when a node finds the owner
	// unresponsive and end when the next owner has read the rows.
	takeovers []interval
	// wastedCoreSeconds is the unsaved work by failure cause.
	wastedCoreSeconds map[string]float64
	// owner is the node that acquired the pool last.
	owner string
	// storeLostAt is the start of each node's current store outage.
	storeLostAt map[string]time.Time
	// ownerLostAt is the start of the current takeover.
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

// Read appends log lines. The last word before a line's JSON object is the name of the node. Read
// skips lines without a log message in JSON.
func (l *Log) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var entry logLine
		if json.Unmarshal([]byte(text[begin:]), &entry) != nil || entry.Message == "" {
			continue
		}
		if words := strings.Fields(text[:begin]); len(words) > 0 {
			entry.Node = words[len(words)-1]
		}
		l.lines = append(l.lines, entry)
	}
	return scanner.Err()
}

func (l *Log) apply(entry logLine) {
	switch entry.Message {
	case "store unreachable":
		l.storeLostAt[entry.Node] = entry.At
	case "store reachable again":
		if from, ok := l.storeLostAt[entry.Node]; ok && entry.Node == l.owner {
			l.storeOutages = append(l.storeOutages, interval{from, entry.At})
		}
		delete(l.storeLostAt, entry.Node)
	case "owner unresponsive", "pool ownership ended":
		if l.ownerLostAt.IsZero() {
			l.ownerLostAt = entry.At
		}
	case "owner responsive again", "owner reachable from others":
		l.ownerLostAt = time.Time{}
	case "pool acquired":
		l.owner = entry.Node
		if l.ownerLostAt.IsZero() {
			l.ownerLostAt = entry.At
		}
	case "pool state loaded":
		if !l.ownerLostAt.IsZero() {
			l.takeovers = append(l.takeovers, interval{l.ownerLostAt, entry.At})
		}
		l.ownerLostAt = time.Time{}
	}
	if entry.Job != "" {
		l.applyToJob(entry)
	}
}

func (l *Log) applyToJob(entry logLine) {
	j := l.jobs[entry.Job]
	if j == nil {
		j = &job{firstAt: entry.At}
		l.jobs[entry.Job] = j
	}
	switch entry.Message {
	case "job accepted":
		if j.acceptedAt.IsZero() {
			j.acceptedAt = entry.At
		}
		j.queue = entry.Queue
	case "job not accepted", "request refused":
		if j.acceptedAt.IsZero() {
			j.rejectionReason, j.rejectedAt = entry.Reason, entry.At
		}
		if entry.Queue != "" {
			j.queue = entry.Queue
		}
	case "placed":
		j.placements = append(j.placements, entry)
	case "run ended":
		j.runEnds = append(j.runEnds, entry)
		if entry.Result != "done" {
			l.wastedCoreSeconds[entry.failureCause()] += entry.UnsavedCoreSeconds
		}
	case "job ended":
		j.jobEnd = entry
		j.queue = entry.Queue
	}
}

// failureCause returns why a run ended without completing.
func (e *logLine) failureCause() string {
	if e.Result == "stopped" && e.Reason != "" {
		return "stopped: " + e.Reason
	}
	return e.Result
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
