package worker

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Action is the operation that an order requests.
type Action string

// The actions.
const (
	// Reserve reserves capacity for an attempt for ReserveSeconds.
	Reserve Action = "reserve"
	// Start starts the members of a reservation.
	Start Action = "start"
	// Release cancels a reservation; running members are not stopped.
	Release Action = "release"
	// Checkpoint saves the members' work and stops them.
	Checkpoint Action = "checkpoint"
	// Throttle reduces the members' CPU share in favour of other tasks.
	Throttle Action = "throttle"
	// Stop stops the members immediately.
	Stop Action = "stop"
	// Renew extends the lease of everything that the domain runs on the worker and returns its
	// tasks.
	Renew Action = "renew"
	// DeleteEnded deletes the records of ended members.
	DeleteEnded Action = "forget"
)

// Refusal is the reason why a worker rejected an order; empty if it did not.
type Refusal string

// The refusals.
const (
	RefusedNone          Refusal = ""
	RefusedStaleEpoch    Refusal = "stale_epoch"
	RefusedDraining      Refusal = "leaving"
	RefusedNoCapacity    Refusal = "no_capacity"
	RefusedNoReservation Refusal = "no_reservation"
	RefusedUnknownTask   Refusal = "unknown_task"
)

// Order is sent to one worker and applies to all members of one attempt there.
type Order struct {
	Action Action `json:"action"`
	Domain string `json:"domain"`
	Epoch  int64  `json:"epoch"`
	Tenant string `json:"tenant,omitempty"`
	Job    string `json:"job,omitempty"`
	// Attempt is the number of the attempt.
	Attempt int `json:"attempt,omitempty"`
	// Members are the indices of the gang's members on this worker.
	Members      []int `json:"members,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	CPUs         int   `json:"cpus,omitempty"`
	MemoryGB     int   `json:"memory_gb,omitempty"`
	// ReserveSeconds is the lifetime of a reservation.
	ReserveSeconds float64 `json:"reserve_seconds,omitempty"`
	// LeaseSeconds is how long members run without a renewal.
	LeaseSeconds float64 `json:"lease_seconds,omitempty"`
	// CheckpointSeconds is the duration of a checkpoint.
	CheckpointSeconds float64 `json:"checkpoint_seconds,omitempty"`
	// ProgressSeconds is the work saved by earlier attempts.
	ProgressSeconds float64 `json:"progress_seconds,omitempty"`
	Payload         string  `json:"payload,omitempty"`
	// Digest, in a renewal, is the digest of the tasks that the owner expects. A worker whose
	// tasks have the same digest omits them from its reply.
	Digest uint64 `json:"digest,omitempty"`
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// The states of an attempt on a worker.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Task is the part of an attempt on one worker.
type Task struct {
	Tenant  string    `json:"tenant"`
	Job     string    `json:"job"`
	Attempt int       `json:"attempt"`
	Members []int     `json:"members"`
	State   TaskState `json:"state"`
	// Results are the members' outputs, in the order of Members, once finished.
	Results []Result `json:"results,omitempty"`
	// ProgressSeconds is the work saved so far.
	ProgressSeconds float64 `json:"progress_seconds,omitempty"`
}

// Result identifies one member's output in the object store.
type Result struct {
	Size   int64  `json:"size"`
	Digest uint64 `json:"digest"`
}

// Reply is a worker's reply to an order.
type Reply struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Epoch is the highest epoch that the worker has seen for the domain.
	Epoch int64 `json:"epoch"`
	// Draining is true if the worker is draining and accepts no new tasks.
	Draining bool `json:"leaving,omitempty"`
	// Tasks lists the domain's tasks on the worker in reply to Renew. If Same is true, they match
	// the digest in the order and are omitted.
	Tasks          []Task `json:"tasks,omitempty"`
	TasksUnchanged bool   `json:"same,omitempty"`
}

// Digest returns a digest of the job, attempt and state of the tasks, independent of their order.
func Digest(tasks []Task) uint64 {
	var sum uint64
	for i := range tasks {
		sum += xxhash.Sum64String(tasks[i].Tenant + "/" + tasks[i].Job + "/" + strconv.Itoa(tasks[i].Attempt) + "/" + string(tasks[i].State))
	}
	return sum
}

// Report is a change on a worker. Reports arrive with a delay.
type Report struct {
	Worker string `json:"worker"`
	Task   Task   `json:"task"`
	// Draining is true if the worker is draining and accepts no new tasks; Task is then empty.
	Draining bool `json:"leaving,omitempty"`
}

// Reports is the result of one read of the report feed.
type Reports struct {
	Reports []Report `json:"reports"`
	Cursor  int64    `json:"cursor"`
}

// Fleet sends orders to workers and reads their reports.
type Fleet interface {
	// Send sends one order. After an error it is unknown whether the worker executed it.
	Send(ctx context.Context, name, address string, order Order) (Reply, error)
	// Reports returns the reports of the domain's workers after cursor. It blocks for a while if
	// there are none.
	Reports(ctx context.Context, domain string, cursor int64) (Reports, error)
}

// ResultName returns the name of the object that holds a member's output.
func ResultName(tenant, job string, attempt, member int) string {
	return "results/" + tenant + "/" + job + "/" + strconv.Itoa(attempt) + "/" + strconv.Itoa(member)
}
