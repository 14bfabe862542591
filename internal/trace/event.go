package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/job"
)

// Time converts seconds of a trace to a time.
func Time(seconds float64) time.Time {
	return time.Unix(0, int64(math.Round(seconds*float64(time.Second)))).UTC()
}

// Seconds converts a time to seconds since the start of the trace.
func Seconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// Kind is the kind of a trace line.
type Kind string

const (
	Submit     Kind = "submit"
	WorkerDown Kind = "worker_down"
	WorkerUp   Kind = "worker_up"
	Cancel     Kind = "cancel"
)

// Line is one line of a trace. Times are in seconds.
type Line struct {
	At                float64      `json:"at"`
	Event             Kind         `json:"event"`
	Job               string       `json:"job,omitempty"`
	Worker            string       `json:"worker,omitempty"`
	Tenant            string       `json:"tenant,omitempty"`
	Priority          job.Priority `json:"priority,omitempty"`
	Members           int          `json:"members,omitempty"`
	Accelerators      int          `json:"accelerators,omitempty"`
	CPUs              int          `json:"cpus,omitempty"`
	MemoryGB          int          `json:"memory_gb,omitempty"`
	Spread            job.Spread   `json:"spread,omitempty"`
	Duration          float64      `json:"duration,omitempty"`
	Checkpoint        bool         `json:"checkpoint,omitempty"`
	CheckpointSeconds float64      `json:"checkpoint_seconds,omitempty"`
	Guaranteed        bool         `json:"guaranteed,omitempty"`
}

// Spec returns the job that a submit line describes.
func (l *Line) Spec() job.Spec {
	return job.Spec{
		ID: l.Job, Tenant: l.Tenant, Priority: l.Priority,
		Shape:    job.Shape{Members: l.Members, Accelerators: l.Accelerators, CPUs: l.CPUs, MemoryGB: l.MemoryGB, Spread: l.Spread},
		Duration: l.Duration, Checkpoint: l.Checkpoint, CheckpointSeconds: l.CheckpointSeconds,
		Guaranteed: l.Guaranteed, Repeatable: true,
	}
}

// LineError is an error in a line of a file.
type LineError struct {
	Line   int
	Reason string
}

// Error implements the error interface.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

const maxLineBytes = 1 << 20

// Read reads and validates a whole trace for the given cluster.
func Read(r io.Reader, c *Cluster) ([]Line, error) {
	checker := newChecker(c)
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := decodeLine(text)
		if err == nil {
			err = checker.check(&line)
		}
		if err != nil {
			return nil, &LineError{Line: number, Reason: err.Error()}
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{Line: number + 1, Reason: err.Error()}
	}
	return lines, nil
}

func decodeLine(text []byte) (Line, error) {
	var line Line
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return line, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return line, fmt.Errorf("line contains more than one JSON value")
	}
	return line, nil
}

// checker validates lines against the cluster and the lines before them.
type checker struct {
	lastAt  float64
	jobs    map[string]bool
	workers map[string]bool
	tenants map[string]bool
}

func newChecker(c *Cluster) *checker {
	k := &checker{jobs: map[string]bool{}, workers: map[string]bool{}, tenants: map[string]bool{}}
	for _, machine := range c.Machines() {
		k.workers[machine.Name] = true
	}
	for i := range c.Tenant {
		k.tenants[c.Tenant[i].Name] = true
	}
	return k
}

func (k *checker) check(line *Line) error {
	if math.IsNaN(line.At) || line.At < 0 || line.At > job.MaxDuration*100 {
		return fmt.Errorf("at: must be a number of seconds from 0 to 100 times the longest job duration")
	}
	if line.At < k.lastAt {
		return fmt.Errorf("at: lines must be sorted by time; %g is followed by %g", k.lastAt, line.At)
	}
	k.lastAt = line.At
	switch line.Event {
	case Submit:
		return k.checkSubmit(line)
	case WorkerDown, WorkerUp:
		if !k.workers[line.Worker] {
			return fmt.Errorf("worker: %q is unknown", line.Worker)
		}
	case Cancel:
		if !k.jobs[line.Job] {
			return fmt.Errorf("job: %q was not submitted", line.Job)
		}
	default:
		return fmt.Errorf("event: %q is unknown", line.Event)
	}
	return nil
}

func (k *checker) checkSubmit(line *Line) error {
	if k.jobs[line.Job] {
		return fmt.Errorf("job: %q was submitted before", line.Job)
	}
	if !k.tenants[line.Tenant] {
		return fmt.Errorf("tenant: %q is unknown", line.Tenant)
	}
	spec := line.Spec()
	if err := spec.Validate(); err != nil {
		return err
	}
	k.jobs[line.Job] = true
	return nil
}

// Action is the kind of a replay event.
type Action string

const (
	Start   Action = "start"
	Preempt Action = "preempt"
	Stop    Action = "stop"
	Finish  Action = "finish"
	Reject  Action = "refuse"
)

// MemberPlacement is one member's worker and accelerators, written as a two-element array.
type MemberPlacement struct {
	Worker       string
	Accelerators int
}

// MarshalJSON encodes the place as ["worker", accelerators].
func (p MemberPlacement) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Worker, p.Accelerators})
}

// UnmarshalJSON decodes ["worker", accelerators].
func (p *MemberPlacement) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.Worker, &p.Accelerators})
}

// Event is one event of a replay.
type Event struct {
	At        float64           `json:"at"`
	Event     Action            `json:"event"`
	Job       string            `json:"job"`
	Attempt   int               `json:"attempt,omitempty"`
	Placement []MemberPlacement `json:"placement,omitempty"`
	For       string            `json:"for,omitempty"`
	Reason    string            `json:"reason,omitempty"`
}

// ReadEvents reads the events of a replay.
func ReadEvents(r io.Reader) ([]Event, error) {
	decoder := json.NewDecoder(r)
	var events []Event
	for {
		var event Event
		err := decoder.Decode(&event)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, &LineError{Line: len(events) + 1, Reason: err.Error()}
		}
		events = append(events, event)
	}
}
