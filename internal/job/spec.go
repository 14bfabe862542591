package job

import (
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// Priority orders jobs that hold no guarantee.
type Priority string

// The priorities, highest first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Low    Priority = "low"
)

// Rank returns 2 for urgent, 1 for normal and 0 for low.
func (p Priority) Rank() int {
	switch p {
	case Urgent:
		return 2
	case Normal:
		return 1
	default:
		return 0
	}
}

// Spread says how far apart the members of one gang may be placed.
type Spread string

// The spreads, closest first.
const (
	SpreadRack   Spread = "rack"
	SpreadZone   Spread = "zone"
	SpreadRegion Spread = "region"
	SpreadAny    Spread = "any"
)

// Width returns 0 for rack up to 3 for any.
func (s Spread) Width() int {
	switch s {
	case SpreadRack:
		return 0
	case SpreadZone:
		return 1
	case SpreadRegion:
		return 2
	default:
		return 3
	}
}

// Limits of one job.
const (
	MaxMembers      = 1024
	MaxAccelerators = 64
	MaxCPUs         = 4096
	MaxMemoryGB     = 65536
	MaxPayload      = 64 << 10
	MaxDuration     = 90 * 24 * 3600
)

// Shape is the capacity a gang needs: Members times the per-member amounts.
type Shape struct {
	Members      int    `json:"members" toml:"members"`
	Accelerators int    `json:"accelerators" toml:"accelerators"`
	CPUs         int    `json:"cpus,omitempty" toml:"cpus"`
	MemoryGB     int    `json:"memory_gb,omitempty" toml:"memory_gb"`
	Spread       Spread `json:"spread" toml:"spread"`
}

// TotalAccelerators returns the accelerators of all members together.
func (s Shape) TotalAccelerators() int { return s.Members * s.Accelerators }

// Spec is a job as its caller asked for it. Times are in seconds.
type Spec struct {
	ID       string   `json:"id"`
	Tenant   string   `json:"tenant"`
	Priority Priority `json:"priority"`
	Shape
	// Duration is the caller's estimate of the run time, used for backfill.
	Duration float64 `json:"duration"`
	// Checkpoint says that a preempted run keeps its work.
	Checkpoint        bool    `json:"checkpoint,omitempty"`
	CheckpointSeconds float64 `json:"checkpoint_seconds,omitempty"`
	// Guaranteed lets the job claim its tenant's guarantee.
	Guaranteed bool `json:"guaranteed,omitempty"`
	// Repeatable allows a second attempt after one that may have run.
	Repeatable bool `json:"repeatable"`
	// Zone pins the job to one zone ("region/zone"); empty lets wheatroad choose.
	Zone string `json:"zone,omitempty"`
	// Payload is handed to the workers unread.
	Payload string `json:"payload,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// ValidName reports whether s may name a job, tenant or node.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// SetDefaults fills fields that a caller may leave out.
func (s *Spec) SetDefaults() {
	if s.Priority == "" {
		s.Priority = Normal
	}
	if s.Spread == "" {
		s.Spread = SpreadZone
	}
}

// Validate checks every field and returns an InvalidRequest error naming the
// first one at fault.
func (s *Spec) Validate() error {
	if !ValidName(s.ID) {
		return invalid("id", "must be 1 to 63 letters, digits, '.', '_' or '-'")
	}
	if !ValidName(s.Tenant) {
		return invalid("tenant", "must be 1 to 63 letters, digits, '.', '_' or '-'")
	}
	switch s.Priority {
	case Urgent, Normal, Low:
	default:
		return invalid("priority", "must be urgent, normal or low")
	}
	if err := s.Shape.Validate(); err != nil {
		return err
	}
	if s.Duration <= 0 || s.Duration > MaxDuration {
		return invalid("duration", "must be over 0 and at most "+strconv.Itoa(MaxDuration)+" seconds")
	}
	if s.CheckpointSeconds < 0 || s.CheckpointSeconds > MaxDuration {
		return invalid("checkpoint_seconds", "must not be negative")
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "must be at most "+strconv.Itoa(MaxPayload)+" bytes")
	}
	return nil
}

// Validate checks the amounts and the spread.
func (s Shape) Validate() error {
	if s.Members < 1 || s.Members > MaxMembers {
		return invalid("members", "must be 1 to "+strconv.Itoa(MaxMembers))
	}
	if s.Accelerators < 0 || s.Accelerators > MaxAccelerators {
		return invalid("accelerators", "must be 0 to "+strconv.Itoa(MaxAccelerators))
	}
	if s.CPUs < 0 || s.CPUs > MaxCPUs {
		return invalid("cpus", "must be 0 to "+strconv.Itoa(MaxCPUs))
	}
	if s.MemoryGB < 0 || s.MemoryGB > MaxMemoryGB {
		return invalid("memory_gb", "must be 0 to "+strconv.Itoa(MaxMemoryGB))
	}
	switch s.Spread {
	case SpreadRack, SpreadZone, SpreadRegion, SpreadAny:
		return nil
	}
	return invalid("spread", "must be rack, zone, region or any")
}

// Digest identifies the content of the spec, so that a repeated identifier with
// other content is told apart from a retry.
func (s *Spec) Digest() string {
	// Marshalling a struct of plain fields cannot fail.
	document, _ := json.Marshal(s)
	sum := xxhash.Sum64(document)
	return hex.EncodeToString([]byte{
		byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32),
		byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum),
	})
}

func invalid(field, detail string) error {
	return fault.NewField(fault.InvalidRequest, field, "%s", detail)
}
