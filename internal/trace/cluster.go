package trace

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// Pool is a group of equal workers in one zone.
type Pool struct {
	Region         string `toml:"region"`
	Zone           string `toml:"zone"`
	Racks          int    `toml:"racks"`
	WorkersPerRack int    `toml:"workers_per_rack"`
	Accelerators   int    `toml:"accelerators"`
	CPUs           int    `toml:"cpus"`
	MemoryGB       int    `toml:"memory_gb"`
}

// Cluster is the content of a cluster file.
type Cluster struct {
	Pool   []Pool               `toml:"pool"`
	Tenant []declaration.Tenant `toml:"tenant"`
}

// Machine is one worker of a cluster file.
type Machine struct {
	Name     string
	At       cluster.Location
	Capacity cluster.Amount
}

// unlimitedSlots is the slot count of a worker whose file sets no limit.
const unlimitedSlots = 1 << 20

// ReadCluster reads and validates a cluster file.
func ReadCluster(path string) (*Cluster, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%s", err.Error())
	}
	return ParseCluster(string(text))
}

// ParseCluster parses and validates the TOML text of a cluster file.
func ParseCluster(text string) (*Cluster, error) {
	parsed := &Cluster{}
	meta, err := toml.Decode(text, parsed)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%s", err.Error())
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.NewField(fault.InvalidRequest, unknown[0].String(), "is not a known key")
	}
	if len(parsed.Pool) == 0 {
		return nil, fault.NewField(fault.InvalidRequest, "pool", "at least one pool is required")
	}
	for _, pool := range parsed.Pool {
		if err := pool.validate(); err != nil {
			return nil, err
		}
	}
	declared := declaration.Declaration{Tenants: parsed.Tenant}
	declared.Normalize()
	parsed.Tenant = declared.Tenants
	return parsed, declared.Validate()
}

const maxPoolWorkers = 100000

func (p *Pool) validate() error {
	if p.Region == "" || p.Zone == "" {
		return fault.NewField(fault.InvalidRequest, "pool", "region and zone are required")
	}
	if p.Racks < 1 || p.WorkersPerRack < 1 || p.Racks > maxPoolWorkers || p.WorkersPerRack > maxPoolWorkers || p.Racks*p.WorkersPerRack > maxPoolWorkers {
		return fault.NewField(fault.InvalidRequest, "pool.racks", "racks and workers_per_rack must give 1 to %d workers", maxPoolWorkers)
	}
	if p.Accelerators < 0 || p.CPUs < 0 || p.MemoryGB < 0 || p.Accelerators > 64 {
		return fault.NewField(fault.InvalidRequest, "pool.accelerators", "amounts must not be negative, accelerators at most 64")
	}
	return nil
}

// Machines returns all workers. Racks of pools in the same zone are numbered consecutively.
func (c *Cluster) Machines() []Machine {
	var list []Machine
	racksBefore := map[string]int{}
	for _, pool := range c.Pool {
		zone := pool.Region + "/" + pool.Zone
		first := racksBefore[zone]
		racksBefore[zone] += pool.Racks
		capacity := cluster.Amount{
			Accelerators: int32(pool.Accelerators), CPUs: int32(pool.CPUs),
			MemoryGB: int32(pool.MemoryGB), Slots: unlimitedSlots,
		}
		for rack := range pool.Racks {
			at := cluster.Location{Region: pool.Region, Zone: pool.Zone, Rack: fmt.Sprintf("rack%02d", first+rack)}
			for number := range pool.WorkersPerRack {
				name := fmt.Sprintf("%s/%s/%s/worker%02d", at.Region, at.Zone, at.Rack, number)
				list = append(list, Machine{Name: name, At: at, Capacity: capacity})
			}
		}
	}
	return list
}

// Accelerators returns the total number of accelerators.
func (c *Cluster) Accelerators() int {
	total := 0
	for _, pool := range c.Pool {
		total += pool.Racks * pool.WorkersPerRack * pool.Accelerators
	}
	return total
}

// Scheduler returns a scheduler for the idle cluster, and the number of guaranteed members that do
// not fit.
func (c *Cluster) Scheduler(policy schedule.Policy) (scheduler *schedule.Scheduler, missing int) {
	scheduler = schedule.New(policy, cluster.NewState())
	start := Time(0)
	for _, machine := range c.Machines() {
		scheduler.AddWorker(start, machine.Name, machine.At, machine.Capacity)
	}
	return scheduler, scheduler.Configure(start, c.Tenant)
}
