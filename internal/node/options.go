package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Codec decodes the rows that the platform writes.
type Codec interface {
	ConfigurationTable() string
	ConfigurationKey() rows.Key
	WorkerTable() string
	// EvacuationRows returns the table and the name prefix of the rows with which operators
	// evacuate zones. ParseEvacuationKey returns the zone in the key of an evacuation row, and
	// false for other rows.
	EvacuationRows() (table, prefix string)
	ParseEvacuationKey(key rows.Key) (string, bool)
	DecodeCatalog(value []byte) (*catalog.Catalog, error)
	DecodeWorker(id string, value []byte) (*fleet.Worker, error)
}

// Recorder logs events and records metrics.
type Recorder = pool.Recorder

// Options configure a node.
type Options struct {
	Name        string
	Incarnation string
	// Version is the version of the build.
	Version string
	// Region is the node's region. SeveralRegions is true if the cluster has nodes in more than one.
	Region         string
	SeveralRegions bool
	// PeerAddress is the address at which other nodes reach this node.
	PeerAddress string
	// Weight is the processor time available to the node, in processors. Nodes with more weight
	// take over pools first.
	Weight float64
	// LinkBytesPerSecond is the bandwidth of the machine's link; 0 disables rate limiting.
	LinkBytesPerSecond float64
	PoolBounds         pool.Bounds
	// MaxRowBytes is the largest value of a row that the store takes; 0 means the default of
	// rows.DefaultLimits.
	MaxRowBytes int
	// MaxConfigurationAge is the maximum age of the configuration's confirmation. The node refuses
	// requests while the confirmation is older.
	MaxConfigurationAge time.Duration
	// Features selects the optional scheduling policies of pools.
	Features features.Settings
	// DisabledMechanisms are the mechanisms to disable for measurements.
	DisabledMechanisms mechanism.Disabled
}

// Dependencies are the external services that a node uses.
type Dependencies struct {
	Store    rows.Store
	Workers  fleet.WorkerClient
	Peers    PeerClient
	Codec    Codec
	Loop     loop.Loop
	Recorder Recorder
	// RecordReceived adds the bytes of a response to the counter of its purpose; nil records nothing.
	// It may be called from any goroutine.
	RecordReceived func(purpose string, bytes int64)
}

// PeerClient calls other nodes. A *peer.Client calls them over the network.
type PeerClient interface {
	// Call sends a request to the node at address and returns the response document. Its errors are
	// those of peer.Client.Call.
	Call(ctx context.Context, address string, request *peerpb.Request) ([]byte, error)
}

// Periods and timeouts of the node.
const (
	// feedWait is how long an owner's feeds of jobs and workers wait for a change.
	feedWait = time.Second
	// feedGrace is how long the store may take to respond after a feed's wait. It doubles with each
	// consecutive feed that times out, up to maxFeedGrace. Feeds of a very slow store succeed this
	// way.
	feedGrace    = 800 * time.Millisecond
	maxFeedGrace = 3200 * time.Millisecond
	// storeTimeout bounds the wait for the first byte of a scan. It also bounds the wait for the
	// result of an owner's transaction, in addition to the time that the transaction takes to send.
	// It exceeds the time for which an overloaded store queues a call before refusing it, which is
	// up to a second. A slow store takes 0.5 s for a transaction.
	storeTimeout = 1500 * time.Millisecond
	// submitTimeout bounds the store calls of one request. It is shorter than the timeout of
	// callers and longer than a write to a very slow store takes.
	submitTimeout = 1200 * time.Millisecond
	// orderTimeout bounds an order that starts or stops a task's run on a worker. A worker usually
	// responds within a few milliseconds.
	orderTimeout = 350 * time.Millisecond
	// pollGrace is how long a worker may take to reply after a poll's wait.
	pollGrace = 400 * time.Millisecond
	// pingPeriod is the interval between a node's pings of an owner, standbyPingPeriod the shorter
	// interval of a standby. With pingTimeout a standby suspects an unresponsive owner within a
	// second, which is much longer than throttling by a processor quota stops a process: 0.1 s.
	pingPeriod        = 500 * time.Millisecond
	standbyPingPeriod = 250 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	// suspectAfterFailures is the number of consecutive failed pings after which a node suspects an
	// owner, that is, tries to replace the owner.
	suspectAfterFailures = 2
	// storeLossTimeout is the age of the store's last response from which an owner counts as having
	// lost the store.
	storeLossTimeout = 2200 * time.Millisecond
	// failingStoreLossTimeout replaces storeLossTimeout for owners whose feeds fail.
	failingStoreLossTimeout = 700 * time.Millisecond
	// responseStallTimeout bounds the time between two received bytes of a response. It is longer
	// than a retransmission, and than throttling by a processor quota stops a process.
	responseStallTimeout = 1500 * time.Millisecond
	// responseTimeout bounds a response as a whole. The largest response must arrive in this time
	// over a slow link that other transfers share: 16 MiB take 14 s at 10 Mbit/s.
	responseTimeout = 60 * time.Second
	// takeoverRankDelay is how much later a node tries to acquire a pool than the node before it in
	// the takeover order.
	takeoverRankDelay = 200 * time.Millisecond
	retryPause        = 200 * time.Millisecond
)
