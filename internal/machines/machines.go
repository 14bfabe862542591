package machines

import "context"

// Status is the state of a machine as reported by the platform.
type Status string

const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Machine is one entry of the machine list.
type Machine struct {
	// Name is "region/zone/rackNN/workerNN".
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Status  Status `json:"status"`
	// Accelerators, CPUs, MemoryGB and Slots are the machine's capacity.
	Accelerators int `json:"accelerators"`
	CPUs         int `json:"cpus"`
	MemoryGB     int `json:"memory_gb"`
	Slots        int `json:"slots"`
}

// Domain returns the machine's scheduling domain, "region/zone".
func (m *Machine) Domain() string { return m.Region + "/" + m.Zone }

// Update holds the entries that changed after a cursor and the cursor for the next call.
type Update struct {
	Machines []Machine `json:"machines"`
	Cursor   int64     `json:"cursor"`
}

// List is the platform's machine list.
type List interface {
	// Changes returns the entries that changed after cursor. Cursor 0 returns all entries.
	Changes(ctx context.Context, cursor int64) (Update, error)
}
