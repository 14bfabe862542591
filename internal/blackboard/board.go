package blackboard

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/machines"
)

// MemberState is a node's state as published in its row.
type MemberState string

// Member states.
const (
	MemberReady    MemberState = "ready"
	MemberDraining MemberState = "draining"
)

// Member is a node's row in the table service.
type Member struct {
	Node        string      `json:"node"`
	Incarnation string      `json:"incarnation"`
	PeerAddress string      `json:"peer_address"`
	HTTPAddress string      `json:"http_address"`
	Zone        string      `json:"zone"`
	State       MemberState `json:"state"`
	// Configuration is the version of the node's active configuration.
	Configuration int64 `json:"configuration"`
	// HeartbeatCount counts heartbeats, so that every heartbeat changes the row.
	HeartbeatCount int64 `json:"beat"`
}

// Summary is the load of a scheduling domain. The owner of the domain publishes the summary for
// routing.
type Summary struct {
	// FreeAccelerators is the number of unoccupied accelerators.
	FreeAccelerators int64 `json:"free_accelerators"`
	// Accelerators is the number of accelerators available for new work.
	Accelerators int64 `json:"accelerators"`
	QueuedJobs   int   `json:"queued_jobs"`
	// QueuedAccelerators is the number of accelerators that queued jobs request.
	QueuedAccelerators int64 `json:"queued_accelerators"`
	RunningJobs        int   `json:"running_jobs"`
	// UnplacedGuaranteed is the number of guaranteed members that currently have no placement.
	UnplacedGuaranteed int `json:"missing_witness"`
}

// Lease is the row that names the owner of a scheduling domain.
type Lease struct {
	Domain string `json:"domain"`
	// Owner is empty after the owner has released the domain.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	Epoch       int64  `json:"epoch"`
	// Active is false until the owner has recovered the domain's state.
	Active  bool    `json:"active"`
	Summary Summary `json:"summary"`
	// RenewalCount counts renewals, so that every renewal changes the row.
	RenewalCount int64 `json:"beat"`
}

// Observed holds a row's value and the time at which this node saw the value change.
type Observed[T any] struct {
	Value    T
	Revision int64
	// ChangedAt is the local time just before the read that first returned the revision.
	ChangedAt time.Time
}

// Board is the control goroutine's view of the cluster.
type Board struct {
	Members map[string]*Observed[Member]
	Leases  map[string]*Observed[Lease]
	// EpochRevisions maps each domain to the revision of its epoch row.
	EpochRevisions map[string]int64
	// EpochValues maps each domain to the epoch in the domain's epoch row.
	EpochValues   map[string]int64
	Configuration declaration.Configuration
	// HeadRevision is the revision of the configuration's head row.
	HeadRevision int64
	Machines     map[string]machines.Machine
	// UpdatedAt is the local time just before the last read that made the board current.
	UpdatedAt time.Time
	Draining  bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		Members:        map[string]*Observed[Member]{},
		Leases:         map[string]*Observed[Lease]{},
		EpochRevisions: map[string]int64{},
		EpochValues:    map[string]int64{},
		Machines:       map[string]machines.Machine{},
	}
}

// View is an immutable copy of the board for other goroutines.
type View struct {
	Node          string
	Configuration declaration.Configuration
	Members       []Member
	Leases        map[string]Lease
	// Domains maps each domain to its machines.
	Domains   map[string][]machines.Machine
	UpdatedAt time.Time
	Draining  bool
	// Synced is false until this node has read the whole table once.
	Synced bool
	// Owned is the set of domains that this node owns and serves.
	Owned map[string]bool
}
