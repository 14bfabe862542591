package losses

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// record has the fields of a log line that are read here; the operators' page on log
// lines says what they hold.
type record struct {
	At        time.Time `json:"ts"`
	Decision  string    `json:"msg"`
	Node      string    `json:"-"`
	Job       string    `json:"job"`
	Queue     string    `json:"queue"`
	Reason    string    `json:"reason"`
	State     string    `json:"state"`
	Task      string    `json:"task"`
	Step      int       `json:"step"`
	Unit      int       `json:"unit"`
	Run       int       `json:"run"`
	Tasks     int       `json:"tasks"`
	How       string    `json:"how"`
	WaitedFor string    `json:"waited_for"`
	Waited    int64     `json:"waited_ms"`
	Estimate  int64     `json:"estimate_ms"`
	Ran       int64     `json:"ran_ms"`
	Unsaved   float64   `json:"unsaved_core_s"`
	Age       int64     `json:"age_ms"`
	Stretch   float64   `json:"stretch"`
	Target    int64     `json:"target_ms"`
	Objective int64     `json:"objective_ms"`
	// Slowness is how many times longer a run took on its workers than on ordinary ones; 0 in lines
	// of versions that did not tell it.
	Slowness float64 `json:"slowness"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Log is what was read of nodes' log lines.
type Log struct {
	records []record
	jobs    map[string]*job
	// storeAway has the spans in which an owner did without the store, and takeovers
	// those from the first doubt of an owner to the next one's readiness.
	storeAway []span
	takeovers []span
	thrown    map[string]float64
	owner     string
	// storeLostAt and doubtedAt are the beginnings of spans that have not ended yet.
	storeLostAt map[string]time.Time
	doubtedAt   time.Time
}

// span is a span of time.
type span struct{ from, to time.Time }

// overlap returns how much of a span lies in others.
func (s span) overlap(others []span) time.Duration {
	var sum time.Duration
	for _, other := range others {
		from, to := s.from, s.to
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
	return &Log{jobs: map[string]*job{}, thrown: map[string]float64{}, storeLostAt: map[string]time.Time{}}
}

// Read takes in log lines. Words before a line's JSON are taken for the node, of which
// the last counts; lines of another kind are passed over.
func (l *Log) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var r record
		if json.Unmarshal([]byte(text[begin:]), &r) != nil || r.Decision == "" {
			continue
		}
		if words := strings.Fields(text[:begin]); len(words) > 0 {
			r.Node = words[len(words)-1]
		}
		l.records = append(l.records, r)
	}
	return scanner.Err()
}

func (l *Log) take(r record) {
	switch r.Decision {
	case "store lost":
		l.storeLostAt[r.Node] = r.At
	case "store answers again":
		if from, any := l.storeLostAt[r.Node]; any && r.Node == l.owner {
			l.storeAway = append(l.storeAway, span{from, r.At})
		}
		delete(l.storeLostAt, r.Node)
	case "owner does not answer", "pool lost":
		if l.doubtedAt.IsZero() {
			l.doubtedAt = r.At
		}
	case "owner answers again", "owner left in place":
		l.doubtedAt = time.Time{}
	case "pool acquired":
		l.owner = r.Node
		if l.doubtedAt.IsZero() {
			l.doubtedAt = r.At
		}
	case "rows read":
		if !l.doubtedAt.IsZero() {
			l.takeovers = append(l.takeovers, span{l.doubtedAt, r.At})
		}
		l.doubtedAt = time.Time{}
	}
	if r.Job != "" {
		l.takeOfJob(r)
	}
}

func (l *Log) takeOfJob(r record) {
	j := l.jobs[r.Job]
	if j == nil {
		j = &job{firstAt: r.At}
		l.jobs[r.Job] = j
	}
	switch r.Decision {
	case "job accepted":
		if j.acceptedAt.IsZero() {
			j.acceptedAt = r.At
		}
		j.queue = r.Queue
	case "job not accepted", "request refused":
		if j.acceptedAt.IsZero() {
			j.refusal, j.refusedAt = r.Reason, r.At
		}
		if r.Queue != "" {
			j.queue = r.Queue
		}
	case "placed":
		j.placed = append(j.placed, r)
	case "run ended":
		j.ends = append(j.ends, r)
		if r.How != "done" {
			l.thrown[r.endCause()] += r.Unsaved
		}
	case "job ended":
		j.ended = r
		j.queue = r.Queue
	}
}

// endCause says why a run ended without being done.
func (r *record) endCause() string {
	if r.How == "stopped" && r.Reason != "" {
		return "stopped: " + r.Reason
	}
	return r.How
}

// taskPlace returns the step and the index in a task's name.
func taskPlace(name string) (step, index int) {
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
