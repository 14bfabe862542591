package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Bounds are limits that the platform sets.
type Bounds struct {
	// MaxLease is the longest lease of the runs on a worker.
	MaxLease time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// GangTimeout is how long members of a gang wait for the start of the other members.
	GangTimeout time.Duration
	// GuaranteedStartTimeout is the time within which a job with guaranteed capacity must start.
	GuaranteedStartTimeout time.Duration
	// CheckpointInterval is the running time between two checkpoints.
	CheckpointInterval time.Duration
	// StatusRetention is how long the state of an ended job must stay readable.
	StatusRetention time.Duration
	// EvacuationTimeout is the delay after the acknowledgement of a zone's evacuation from which no
	// run may start there; 0 for no limit.
	EvacuationTimeout time.Duration
	// MaxOrderDelay is how long after its arrival a worker may carry out an order without a response.
	MaxOrderDelay time.Duration
	// MaxListedEnds is the largest number of ended runs in one report of a worker; 0 for no limit.
	MaxListedEnds int
	// CrossRackSlowdown is the slowdown of a step outside its preferred rack.
	CrossRackSlowdown float64
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
	// RowFormat is the format of the rows that the owner writes: the one that the lease states.
	RowFormat compatibility.Format
	// CommonFormat returns the newest format that all known nodes read; nil if the format can't be raised.
	CommonFormat func() compatibility.Format
	Bounds       Bounds
	// MaxRowBytes is the largest value of a row that the store takes; 0 means the default of
	// rows.DefaultLimits.
	MaxRowBytes int
	// Catalog returns the current configuration.
	Catalog func() *catalog.Catalog
	// EvacuatedZones returns the evacuated zones known to the node; nil if it tracks none.
	EvacuatedZones func() evacuation.Set
	// Features selects the optional scheduling policies.
	Features features.Settings
	// DisabledMechanisms disables parts of the scheduling policy, for measurements.
	DisabledMechanisms mechanism.Disabled
	// DisabledSafeguards disables safeguards, for tests that show what they prevent.
	DisabledSafeguards DisabledSafeguards
	// SchedulingDelay returns the current delay of this process, which is added to timeouts and
	// deadlines of commands; nil means no delay.
	SchedulingDelay func() time.Duration
	// OnOwnershipEnded is called once the node is no longer the owner.
	OnOwnershipEnded func(reason string)
}

// DisabledSafeguards selects safeguards to disable. Each comment says what happens without the
// safeguard.
type DisabledSafeguards struct {
	// StopConfirmation: a run that a contacted worker does not report counts as ended immediately.
	StopConfirmation bool
	// ReportOrder: reports are believed in the order in which they are read. A report that does not
	// list a run proves that the run has ended, even if the report may be older than the run.
	ReportOrder bool
	// UnlistedRunStop: a run that a report no longer lists counts as ended without a stop.
	UnlistedRunStop bool
	// LeaseExpiryWait: runs on an unresponsive worker count as ended immediately.
	LeaseExpiryWait bool
	// PersistEndsBeforeAcknowledging: run results are acknowledged before they are persisted.
	PersistEndsBeforeAcknowledging bool
	// HeadCondition: writes are not conditional on this owner's head row.
	HeadCondition bool
	// RowInOneBatch: a job's row may be in several batches in flight.
	RowInOneBatch bool
	// RowsBeforeCallbacks: while the store is slow, starts and acknowledgements do not wait for rows.
	RowsBeforeCallbacks bool
	// Confirmation: leases are extended even if the owner may have been replaced.
	Confirmation bool
	// FormerOwnerLeaseWait: the wait for former owners' leases begins when the workers are read,
	// not when the progress partitions are fenced.
	FormerOwnerLeaseWait bool
	// FormerOwnerLease: a worker that answers counts as having no lease of a former owner.
	FormerOwnerLease bool
	// CapacityAge: starts on workers that do not enforce their capacity rely on capacities of
	// any age.
	CapacityAge bool
	// Evacuations: evacuated zones are used like others.
	Evacuations bool
	// EvacuationAge: starts rely on knowledge of evacuated zones of any age.
	EvacuationAge bool
	// ZoneRecheckAtStart: a placement is started even if its zone was evacuated during the write.
	ZoneRecheckAtStart bool
	// Incarnations: the incarnations of a worker are not distinguished.
	Incarnations bool
	// RestartLease: commands to a worker's former incarnation, by any owner, do not count as leases
	// in the next one.
	RestartLease bool
	// UnansweredStarts: unanswered starts are assumed not to reach a worker's next incarnation.
	UnansweredStarts bool
	// RestartFence: orders to a worker's former incarnation are assumed to reach the next one only as starts.
	RestartFence bool
	// FreshReport: run results are acknowledged however old the worker's last report is.
	FreshReport bool
	// AddressConfirmation: another worker's answer at any known address of a worker ends the worker's
	// runs, and each row changes the address.
	AddressConfirmation bool
	// LossRecords: jobs are not failed for crashing workers.
	LossRecords bool
}

// Ports are the pool's asynchronous calls to the store and the workers. Each returns
// immediately; done is called exactly once, on the pool's loop.
type Ports interface {
	Commit(transaction rows.Transaction, done func(rows.Result, error))
	Scan(table, part, prefix string, done func(rows.Listing, error))
	Feed(table string, after int64, done func(rows.Listing, error))
	Partitions(table string, done func([]string, error))
	Start(to *fleet.Worker, order fleet.Start, done func(fleet.Reply, error))
	Stop(to *fleet.Worker, order fleet.Stop, done func(fleet.Reply, error))
	Poll(to *fleet.Worker, order fleet.Poll, done func(fleet.Reply, error))
	// EvacuationRows returns the table and key prefix of the rows by which operators evacuate
	// zones.
	EvacuationRows() (table, prefix string)
	// ParseEvacuationKey returns the zone of an evacuation row's key; false for other rows.
	ParseEvacuationKey(key rows.Key) (string, bool)
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
	// LogEvent logs a scheduling event or a change of assumed state.
	LogEvent(event string, keysAndValues ...any)
}
