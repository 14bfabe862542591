// Package taskgraph defines the job model. A job is a directed acyclic graph of steps. A step is a
// number of identical tasks that run on the workers of one pool. The tasks of a step are a gang if
// they run only together.
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

// Resources is an amount of worker resources.
type Resources struct {
	// CPU is in millicores.
	CPU      int `json:"cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// Plus returns the sum of two amounts.
func (a Resources) Plus(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

// Minus returns the difference of two amounts. Its components may be negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}

// Multiply returns the amount times n.
func (a Resources) Multiply(n int) Resources {
	return Resources{CPU: a.CPU * n, MemoryMB: a.MemoryMB * n, GPUs: a.GPUs * n}
}

// Min returns the component-wise minimum of two amounts.
func (a Resources) Min(b Resources) Resources {
	return Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPUs: min(a.GPUs, b.GPUs)}
}

// Max returns the component-wise maximum of two amounts.
func (a Resources) Max(b Resources) Resources {
	return Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

// FitsIn reports whether no component of the amount exceeds the available resources.
func (a Resources) FitsIn(available Resources) bool {
	return a.CPU <= available.CPU && a.MemoryMB <= available.MemoryMB && a.GPUs <= available.GPUs
}

// CoresPerGPU is the number of cores that a GPU counts as when amounts are compared.
const CoresPerGPU = 8

// Cores returns the amount in cores. A GPU counts as CoresPerGPU cores; memory is ignored.
func (a Resources) Cores() float64 {
	return float64(a.CPU)/1000 + CoresPerGPU*float64(a.GPUs)
}

// Step is a number of identical tasks.
type Step struct {
	Count int `json:"count"`
	Resources
	// EstimateMillis is the caller's rough estimate of the duration of one task.
	EstimateMillis int64 `json:"estimate_ms,omitempty"`
	// After lists the indices of the earlier steps that must end first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	// SameRack is true if all tasks should run in one rack. Across racks the step is slower.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means none.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is the rack that holds the step's data. In other racks the step is slower.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int  `json:"max_per_worker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	LongRunning  bool `json:"long_running,omitempty"`
	// Image names the program that the tasks run. The scheduler assumes that tasks of one image
	// behave alike.
	Image string `json:"image,omitempty"`
	// TargetMillis is the target for the tail latency of a task that serves users.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// FillsIdleCPU is true if the step uses only CPU time that other tasks leave idle.
	FillsIdleCPU bool `json:"fills_idle_cpu,omitempty"`
	// AllowedMisses applies to long-running steps. To drain a worker, the scheduler stops a task
	// only while fewer than AllowedMisses tasks of the step are not ready.
	AllowedMisses int `json:"allowed_misses,omitempty"`
}

// MaxEstimate is the longest duration that is assumed of one task. The sum over MaxSteps steps can be
// expressed as a duration.
const MaxEstimate = 365 * 24 * time.Hour

// Estimate returns the estimated duration of one task, at most MaxEstimate.
func (s *Step) Estimate() time.Duration {
	return time.Duration(min(s.EstimateMillis, MaxEstimate.Milliseconds())) * time.Millisecond
}

// Requirements returns the resources that one task reserves on a worker.
func (s *Step) Requirements() Resources {
	required := s.Resources
	if s.FillsIdleCPU {
		required.CPU = 0
	}
	return required
}

// UnitCount returns the number of units that are placed and end as a whole: 1 for a gang, and otherwise
// the number of tasks.
func (s *Step) UnitCount() int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// Spec is a job as submitted.
type Spec struct {
	ID string `json:"id"`
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// If Repetitions is positive, the steps run Repetitions times. Repetition K starts no earlier
	// than FirstRunMillis + K * IntervalMillis, in milliseconds of Unix time.
	Repetitions    int   `json:"repetitions,omitempty"`
	FirstRunMillis int64 `json:"first_run_ms,omitempty"`
	IntervalMillis int64 `json:"interval_ms,omitempty"`
}

// TaskCount returns the number of tasks of one repetition.
func (s *Spec) TaskCount() int {
	count := 0
	for i := range s.Steps {
		count += s.Steps[i].Count
	}
	return count
}

// RepetitionCount returns how many times the steps run.
func (s *Spec) RepetitionCount() int { return max(1, s.Repetitions) }

// maxDueMillis is the latest due time, in milliseconds of Unix time. Later ones are never reached.
const maxDueMillis = int64(1) << 53

// DueTime returns the earliest start of repetition k, at most maxDueMillis. The zero time means
// immediately.
func (s *Spec) DueTime(k int) time.Time {
	switch {
	case s.Repetitions == 0:
		return time.Time{}
	case s.IntervalMillis > 0 && int64(k) > (maxDueMillis-s.FirstRunMillis)/s.IntervalMillis:
		// The sum below may overflow.
		return time.UnixMilli(maxDueMillis)
	}
	return time.UnixMilli(s.FirstRunMillis + int64(k)*s.IntervalMillis)
}

// CriticalPaths returns one duration for each step. The duration is that of the longest chain of
// dependent steps that starts with this step. The argument holds the durations of the steps.
func (s *Spec) CriticalPaths(durations []time.Duration) []time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		longest[i] += durations[i]
		for _, dependency := range s.Steps[i].After {
			longest[dependency] = max(longest[dependency], longest[i])
		}
	}
	return longest
}

// LongRunning reports whether any step runs until the job is cancelled.
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

// Validate checks every field. If a field is invalid, Validate returns an InvalidRequest fault with
// the name of the first invalid field.
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
		return invalid("interval_ms", "interval_ms and first_run_ms must be from 0 to 2^50")
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps", "must be 1 to %d steps", MaxSteps)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	if s.TaskCount() > MaxTasks {
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
			return invalid(field+"amount", "cpu, memory_mb, gpus, max_per_worker and allowed_misses must be from 0 to 2^30")
		}
	}
	if s.EstimateMillis < 0 || s.EstimateMillis > maxMillis || s.TargetMillis < 0 || s.TargetMillis > maxMillis {
		return invalid(field+"estimate_ms", "estimate_ms and target_ms must be from 0 to 2^50")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return invalid(field+"after", "must contain only indices of earlier steps")
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return fault.NewField(fault.InvalidRequest, field, format, args...)
}

// TaskName identifies a task by its job, the repetition, the step, and its index within the step.
type TaskName struct {
	Job        string
	Repetition int
	Step       int
	Index      int
}

// String returns the name in the form JOB.REPETITION.STEP.INDEX.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Repetition, n.Step, n.Index)
}

const taskNameParts = 4

// ParseTaskName parses a name in the format that TaskName.String returns.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskNameParts || !ValidID(parts[0]) {
		return TaskName{}, invalid("task", "%q is not a task name of the form JOB.REPETITION.STEP.INDEX", text)
	}
	var numbers [taskNameParts]int
	for i := 1; i < taskNameParts; i++ {
		number, err := strconv.Atoi(parts[i])
		if err != nil || number < 0 {
			return TaskName{}, invalid("task", "%q is not a task name of the form JOB.REPETITION.STEP.INDEX", text)
		}
		numbers[i] = number
	}
	return TaskName{Job: parts[0], Repetition: numbers[1], Step: numbers[2], Index: numbers[3]}, nil
}
