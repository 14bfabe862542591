package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
)

// Guarantee is capacity for Count concurrent gangs of the given shape.
type Guarantee struct {
	job.Shape
	Count int `json:"count" toml:"count"`
	// Domain is the scheduling domain ("region/zone") that provides the guarantee.
	// If empty, the planner selects one.
	Domain string `json:"zone,omitempty" toml:"zone"`
}

// Quota limits a tenant's concurrent usage. Zero means unlimited.
type Quota struct {
	Accelerators int `json:"accelerators,omitempty" toml:"accelerators"`
	QueuedJobs   int `json:"queued_jobs,omitempty" toml:"queued_jobs"`
}

// Tenant is the declared configuration of one tenant.
type Tenant struct {
	Name string `json:"name" toml:"name"`
	// KeyHashes are hex SHA-256 hashes of the tenant's access keys. During key
	// rotation the old and the new key are both listed.
	KeyHashes  []string    `json:"key_hashes,omitempty" toml:"key_hashes"`
	Quota      Quota       `json:"quota" toml:"quota"`
	Guarantees []Guarantee `json:"guarantee,omitempty" toml:"guarantee"`
}

// Declaration is the desired state that operators declare for all tenants and racks.
type Declaration struct {
	Tenants []Tenant `json:"tenant,omitempty" toml:"tenant"`
	// DrainedRacks lists racks ("region/zone/rack") that accept no new tasks.
	DrainedRacks []string `json:"drained_racks,omitempty" toml:"drained_racks"`
}

// Configuration is a confirmed declaration with its version.
type Configuration struct {
	Version     int64       `json:"version"`
	Digest      string      `json:"digest"`
	Declaration Declaration `json:"declaration"`
}

const (
	sha256HexLength   = 64
	maxGuaranteeCount = 10000
)

// Normalize sorts tenants and racks by name and sets defaults, so that equivalent
// declarations have equal digests.
func (d *Declaration) Normalize() {
	slices.SortFunc(d.Tenants, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(d.DrainedRacks)
	for t := range d.Tenants {
		for g := range d.Tenants[t].Guarantees {
			guarantee := &d.Tenants[t].Guarantees[g]
			if guarantee.Spread == "" {
				guarantee.Spread = job.SpreadZone
			}
			if guarantee.Count == 0 {
				guarantee.Count = 1
			}
		}
	}
}

// Digest returns the hex SHA-256 of the declaration's canonical JSON.
func (d *Declaration) Digest() string {
	// Marshal cannot fail: JSON supports the type of every field.
	encoded, _ := json.Marshal(d)
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// FindTenant returns the named tenant, or nil if there is none. d must be normalized.
func (d *Declaration) FindTenant(name string) *Tenant {
	index, found := slices.BinarySearchFunc(d.Tenants, name, func(t Tenant, n string) int { return strings.Compare(t.Name, n) })
	if !found {
		return nil
	}
	return &d.Tenants[index]
}

// Validate checks a normalized declaration and returns an InvalidRequest error
// for the first invalid key.
func (d *Declaration) Validate() error {
	for index := range d.Tenants {
		tenant := &d.Tenants[index]
		if index > 0 && d.Tenants[index-1].Name == tenant.Name {
			return invalid("tenant."+tenant.Name, "duplicate tenant name")
		}
		if err := tenant.validate(); err != nil {
			return err
		}
	}
	for _, rack := range d.DrainedRacks {
		if strings.Count(rack, "/") != 2 {
			return invalid("drained_racks", "\""+rack+"\" must be region/zone/rack")
		}
	}
	return nil
}

func (t *Tenant) validate() error {
	if !job.ValidName(t.Name) {
		return invalid("tenant.name", "\""+t.Name+"\" must be 1 to 63 letters, digits, '.', '_' or '-'")
	}
	prefix := "tenant." + t.Name
	if t.Quota.Accelerators < 0 {
		return invalid(prefix+".quota.accelerators", "must not be negative")
	}
	if t.Quota.QueuedJobs < 0 {
		return invalid(prefix+".quota.queued_jobs", "must not be negative")
	}
	for _, hash := range t.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
			return invalid(prefix+".key_hashes", "each hash must be 64 hexadecimal digits (SHA-256)")
		}
	}
	for _, guarantee := range t.Guarantees {
		if err := guarantee.Shape.Validate(); err != nil {
			cause := fault.From(err)
			return invalid(prefix+".guarantee."+cause.Field, cause.Detail)
		}
		if guarantee.Accelerators == 0 {
			return invalid(prefix+".guarantee.accelerators", "must be at least 1")
		}
		if guarantee.Count < 1 || guarantee.Count > maxGuaranteeCount {
			return invalid(prefix+".guarantee.count", "must be between 1 and 10000")
		}
	}
	return nil
}

func invalid(field, detail string) error {
	return fault.NewField(fault.InvalidRequest, field, "%s", detail)
}
