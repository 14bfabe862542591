// Package taskgraph is the job model: a job is a graph of steps, and a step is a
// number of equal tasks that run on workers of one pool, some steps as gangs.
package taskgraph

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// Limits of one job.
const (
	MaxSteps       = 256
	MaxTasks       = 20000
	MaxPayload     = 4000
	MaxRepetitions = 100000
	maxAmount      = 1 << 30
	maxMillis      = int64(1) << 50
)

// Amount is an amount of worker capacity.
type Amount struct {
	// CPU is in thousandths of a core, MemoryMB in megabytes.
	CPU      int `json:"cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

// Minus returns the difference of two amounts; it may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}

// Times returns the amount of n equal tasks.
func (a Amount) Times(n int) Amount {
	return Amount{CPU: a.CPU * n, MemoryMB: a.MemoryMB * n, GPUs: a.GPUs * n}
}

// Least returns the lesser of two amounts, in each kind of capacity.
func (a Amount) Least(b Amount) Amount {
	return Amount{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPUs: min(a.GPUs, b.GPUs)}
}

// Most returns the greater of two amounts, in each kind of capacity.
func (a Amount) Most(b Amount) Amount {
	return Amount{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

// Within reports whether the amount fits into room.
func (a Amount) Within(available Amount) bool {
	return a.CPU <= available.CPU && a.MemoryMB <= available.MemoryMB && a.GPUs <= available.GPUs
}

// CoresPerGPU weighs a GPU in cores when amounts are compared.
const CoresPerGPU = 8

// Cores returns the amount in cores, with a GPU counted as CoresPerGPU.
func (a Amount) Cores() float64 {
	return float64(a.CPU)/1000 + CoresPerGPU*float64(a.GPUs)
}

// Step is a number of equal tasks.
type Step struct {
	Count int `json:"count"`
	Amount
	// Estimate is a rough guess of how long one task takes.
	EstimateMillis int64 `json:"estimate_ms,omitempty"`
	// After lists the indices of earlier steps that must have ended.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	// SameRack asks for one rack; across racks the step takes longer.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel must be a label of the worker; empty means none.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is where the data lies; elsewhere the step takes longer.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int  `json:"max_per_worker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	LongRunning  bool `json:"long_running,omitempty"`
	// Image names what the tasks run: tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMillis bounds the tail latency of a task that serves users.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// FillsIdleCPU steps take the processor time that others leave unused.
	FillsIdleCPU bool `json:"fills_idle_cpu,omitempty"`
	// AllowedMisses bounds the lasting tasks away at once through the system's doing.
	AllowedMisses int `json:"allowed_misses,omitempty"`
}

// Estimate returns the estimated duration of one task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// Room returns what one task takes of a worker's capacity.
func (s *Step) Room() Amount {
	required := s.Amount
	if s.FillsIdleCPU {
		required.CPU = 0
	}
	return required
}

// Spec is a job as its caller asked for it.
type Spec struct {
	ID string `json:"id"`
	// Payload is handed to the workers unread.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repetitions over 0 run the steps that many times; time K is due at
	// FirstRunMillis + K * IntervalMillis, counted from 1970.
	Repetitions    int   `json:"repetitions,omitempty"`
	FirstRunMillis int64 `json:"first_run_ms,omitempty"`
	IntervalMillis int64 `json:"interval_ms,omitempty"`
}

// Times returns how often the steps run.
func (s *Spec) Times() int { return max(1, s.Repetitions) }

// Due returns when time k may start; the zero time means at once.
func (s *Spec) Due(k int) time.Time {
	if s.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.FirstRunMillis + int64(k)*s.IntervalMillis)
}

// Tails returns for each step the duration of the longest chain of steps that begins
// with it, by the durations of the steps.
func (s *Spec) Tails(durations []time.Duration) []time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		longest[i] += durations[i]
		for _, dependency := range s.Steps[i].After {
			longest[dependency] = max(longest[dependency], longest[i])
		}
	}
	return longest
}

// LongRunning reports whether any step lasts until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ValidID reports whether id is 16 lower-case hexadecimal digits.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Validate checks every field. The error is an InvalidRequest fault naming the
// first field at fault.
func (s *Spec) Validate() error {
	if !ValidID(s.ID) {
		return invalid("id", "must be 16 hexadecimal digits")
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "must be at most %d bytes", MaxPayload)
	}
	if s.Repetitions < 0 || s.Repetitions > MaxRepetitions {
		return invalid("repetitions", "must be 0 to %d", MaxRepetitions)
	}
	if s.IntervalMillis < 0 || s.IntervalMillis > maxMillis || s.FirstRunMillis < 0 || s.FirstRunMillis > maxMillis {
		return invalid("interval_ms", "times must not be negative or huge")
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps", "must be 1 to %d steps", MaxSteps)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return invalid("steps", "must have at most %d tasks", MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	field := "steps[" + strconv.Itoa(index) + "]."
	if s.Count < 1 || s.Count > MaxTasks {
		return invalid(field+"count", "must be 1 to %d", MaxTasks)
	}
	for _, amount := range []int{s.CPU, s.MemoryMB, s.GPUs, s.MaxPerWorker, s.AllowedMisses} {
		if amount < 0 || amount > maxAmount {
			return invalid(field+"amount", "must not be negative or huge")
		}
	}
	if s.EstimateMillis < 0 || s.EstimateMillis > maxMillis || s.TargetMillis < 0 || s.TargetMillis > maxMillis {
		return invalid(field+"estimate_ms", "must not be negative or huge")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return invalid(field+"after", "must name earlier steps only")
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return fault.NewField(fault.InvalidRequest, field, format, args...)
}

// TaskName names one task: time, step and index within a job.
type TaskName struct {
	Job   string
	Time  int
	Step  int
	Index int
}

// String renders the name as JOB.TIME.STEP.INDEX.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Time, n.Step, n.Index)
}

const taskNameParts = 4

// ParseTaskName reads what String rendered.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskNameParts || !ValidID(parts[0]) {
		return TaskName{}, invalid("task", "%q is not a task name", text)
	}
	var numbers [taskNameParts]int
	for i := 1; i < taskNameParts; i++ {
		number, err := strconv.Atoi(parts[i])
		if err != nil || number < 0 {
			return TaskName{}, invalid("task", "%q is not a task name", text)
		}
		numbers[i] = number
	}
	return TaskName{Job: parts[0], Time: numbers[1], Step: numbers[2], Index: numbers[3]}, nil
}
