package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Bounds are the periods that the platform sets.
type Bounds struct {
	// MaxHold bounds the lease of what runs on a worker.
	MaxHold time.Duration
	// StopTimeout bounds how long a stop takes.
	StopTimeout time.Duration
	// GangTimeout is how long members of a gang wait for the others.
	GangTimeout time.Duration
	// Reclaim is the time in which a guaranteed job must begin.
	Reclaim time.Duration
	// CheckpointInterval is the work between two checkpoints.
	CheckpointInterval time.Duration
	// StatusRetention is how long a job's state must be readable after its end.
	StatusRetention time.Duration
	// Evacuation is the time after the acknowledgement of a zone's evacuation from which nothing
	// starts there; 0 if nothing bounds it.
	Evacuation time.Duration
	// RemoteFactor is how much longer a step takes away from its rack.
	RemoteFactor float64
}

// Options configure a pool's owner.
type Options struct {
	Pool string
	// Node, Incarnation and Address identify the owner to other nodes.
	Node        string
	Incarnation string
	Address     string
	// Weight is the owner's processor share.
	Weight float64
	Bounds Bounds
	// Catalog returns the configuration in force.
	Catalog func() *catalog.Catalog
	// Evacuated returns what the node knows of evacuated zones; nil is nothing.
	Evacuated func() evacuation.Set
	// Off has parts of the policy that are switched off, for measurements.
	Off mechanism.Off
	// Without takes mechanisms out, for tests that show what they prevent.
	Without Without
	// Late returns how much longer orders may take because this process is late itself; nil
	// is none.
	Late func() time.Duration
	// Ended is called once the node is no longer the owner.
	Ended func(reason string)
}

// Without lists mechanisms that are taken out.
type Without struct {
	// StopWait: a run that a greeted worker does not list counts as gone at once.
	StopWait bool
	// LeaseWait: what ran on a silent worker counts as gone at once.
	LeaseWait bool
	// EndRows: ends are acknowledged before they are written.
	EndRows bool
	// HeadCondition: writes do not require the head row as this owner left it.
	HeadCondition bool
	// Confirmation: leases are extended though the owner may have been replaced.
	Confirmation bool
	// ClaimWait: leases of former owners are waited out from the reading of the workers.
	ClaimWait bool
	// AccountAge: starts on workers that do not guard their capacity go by old accounts.
	AccountAge bool
	// Evacuations: evacuated zones are used like others.
	Evacuations bool
	// EvacuationAge: starts go by whatever was last known of evacuated zones.
	EvacuationAge bool
	// StartZones: a placement is started though its zone was evacuated while it was written.
	StartZones bool
	// Lives: the lives of a worker are not told apart.
	Lives bool
	// NextLifeLease: leases in a worker's next life are counted by its own owner's orders only.
	NextLifeLease bool
	// OpenStarts: starts without an answer do not come to a worker's next life.
	OpenStarts bool
	// FreshAccount: ends are acknowledged however old the last account of the worker is.
	FreshAccount bool
	// LossRecords: no job is given up for crashing workers.
	LossRecords bool
}

// Ports reach the outside. Each call returns at once; done runs on the pool's
// loop, exactly once.
type Ports interface {
	Commit(transaction rows.Transaction, done func(rows.Result, error))
	Scan(table, part, prefix string, done func(rows.Listing, error))
	Feed(table string, after int64, done func(rows.Listing, error))
	Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error))
	Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error))
	Hold(to *fleet.Worker, order fleet.Hold, done func(fleet.Reply, error))
	// EvacuationRows names the table and the prefix of the rows by which operators evacuate
	// zones, and EvacuatedZone reads the zone from a row's key; false if it is another row.
	EvacuationRows() (table, prefix string)
	EvacuatedZone(key rows.Key) (string, bool)
	// DecodeWorker reads a worker's row, and WorkerTable names their table.
	DecodeWorker(id string, value []byte) (*fleet.Worker, error)
	WorkerTable() string
}

// Recorder counts and logs.
type Recorder interface {
	Count(counter, reason string)
	// Observe adds a duration to a latency histogram.
	Observe(histogram string, d time.Duration)
	// Set sets a gauge.
	Set(gauge string, value int64)
	// Decided logs one line for a decision that touches a job or a belief.
	Decided(decision string, keysAndValues ...any)
}
