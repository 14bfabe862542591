package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Bounds are limits that the platform sets.
type Bounds struct {
	// MaxHold is the longest lease of the runs on a worker.
	MaxHold time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// GangTimeout is how long members of a gang wait for the others.
	GangTimeout time.Duration
	// Reclaim is the time within which a job with guaranteed capacity must start.
	Reclaim time.Duration
	// CheckpointInterval is the running time between two checkpoints.
	CheckpointInterval time.Duration
	// StatusRetention is how long the state of an ended job must stay readable.
	StatusRetention time.Duration
	// Evacuation is the delay after the acknowledgement of a zone's evacuation from which no
	// run may start there; 0 for no limit.
	Evacuation time.Duration
	// RemoteFactor is the slowdown of a step outside its preferred rack.
	RemoteFactor float64
}

// Options configure a pool's owner.
type Options struct {
	Pool string
	// Node, Incarnation and Address identify the owner to other nodes.
	Node        string
	Incarnation string
	Address     string
	// Weight is the CPU share of the owner's node.
	Weight float64
	Bounds Bounds
	// Catalog returns the current configuration.
	Catalog func() *catalog.Catalog
	// Evacuated returns the evacuated zones known to the node; nil if it tracks none.
	Evacuated func() evacuation.Set
	// Off disables parts of the scheduling policy, for measurements.
	Off mechanism.Off
	// Without disables safeguards, for tests that show what they prevent.
	Without Without
	// Late returns the current delay of this process, which is added to timeouts and deadlines
	// of orders; nil means no delay.
	Late func() time.Duration
	// Ended is called once the node is no longer the owner.
	Ended func(reason string)
}

// Without selects safeguards to disable. Each comment says what happens without it.
type Without struct {
	// StopWait: a run that a contacted worker does not report counts as ended immediately.
	StopWait bool
	// LeaseWait: runs on an unresponsive worker count as ended immediately.
	LeaseWait bool
	// EndRows: run results are acknowledged before they are persisted.
	EndRows bool
	// HeadCondition: writes are not conditional on this owner's head row.
	HeadCondition bool
	// Confirmation: leases are extended even if the owner may have been replaced.
	Confirmation bool
	// ClaimWait: the wait for former owners' leases begins when the workers are read, not
	// when the progress partitions are fenced.
	ClaimWait bool
	// AccountAge: starts on workers that do not enforce their capacity rely on capacities of
	// any age.
	AccountAge bool
	// Evacuations: evacuated zones are used like others.
	Evacuations bool
	// EvacuationAge: starts rely on knowledge of evacuated zones of any age.
	EvacuationAge bool
	// StartZones: a placement is started even if its zone was evacuated during the write.
	StartZones bool
	// Lives: the incarnations of a worker are not distinguished.
	Lives bool
	// NextLifeLease: orders meant for a worker's former incarnation do not count as leases in
	// the next one.
	NextLifeLease bool
	// OpenStarts: unanswered starts are assumed not to reach a worker's next incarnation.
	OpenStarts bool
	// FreshAccount: run results are acknowledged however old the worker's last report is.
	FreshAccount bool
	// LossRecords: jobs are not failed for crashing workers.
	LossRecords bool
}

// Ports are the pool's asynchronous calls to the store and the workers. Each returns
// immediately; done is called exactly once, on the pool's loop.
type Ports interface {
	Commit(transaction rows.Transaction, done func(rows.Result, error))
	Scan(table, part, prefix string, done func(rows.Listing, error))
	Feed(table string, after int64, done func(rows.Listing, error))
	Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error))
	Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error))
	Hold(to *fleet.Worker, order fleet.Hold, done func(fleet.Reply, error))
	// EvacuationRows returns the table and key prefix of the rows by which operators evacuate
	// zones.
	EvacuationRows() (table, prefix string)
	// EvacuatedZone returns the zone of an evacuation row's key; false for other rows.
	EvacuatedZone(key rows.Key) (string, bool)
	// DecodeWorker parses a row of the table that WorkerTable names.
	DecodeWorker(id string, value []byte) (*fleet.Worker, error)
	WorkerTable() string
}

// Recorder records metrics and log lines.
type Recorder interface {
	Count(counter, reason string)
	// Observe adds a duration to a latency histogram.
	Observe(histogram string, d time.Duration)
	// Set sets a gauge.
	Set(gauge string, value int64)
	// Decided logs a scheduling decision or a change of assumed state.
	Decided(decision string, keysAndValues ...any)
}
