package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Codec decodes the rows that the platform writes.
type Codec interface {
	ConfigurationTable() string
	ConfigurationKey() rows.Key
	WorkerTable() string
	// EvacuationRows returns the table and the name prefix of the rows with which operators
	// evacuate zones. ParseEvacuationKey returns the zone in such a row's key, and false for other
	// rows.
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
	// PeerAddress is the address at which other nodes reach this one.
	PeerAddress string
	// Weight is the node's share of a processor. Nodes with more weight take over pools first.
	Weight float64
	// LinkBytesPerSecond is the bandwidth of the machine's link; 0 disables rate limiting.
	LinkBytesPerSecond float64
	PoolBounds         pool.Bounds
	// MaxConfigurationAge is the maximum age of the configuration's confirmation. Requests are
	// refused beyond it.
	MaxConfigurationAge time.Duration
	// DisabledMechanisms are the mechanisms that are disabled, for measurements.
	DisabledMechanisms mechanism.Disabled
}

// Dependencies are the external services that a node uses.
type Dependencies struct {
	Store    rows.Store
	Workers  fleet.WorkerClient
	Peers    *peer.Client
	Codec    Codec
	Loop     loop.Loop
	Recorder Recorder
}

// Periods and timeouts of the node.
const (
	// feedWait is how long an owner's feeds of jobs and workers wait for a change.
	feedWait = time.Second
	// feedGrace is how long after its wait a feed may still be answered. It doubles with each
	// consecutive feed without a response, up to maxFeedSlack, so that a very slow store can still
	// be followed.
	feedGrace    = 800 * time.Millisecond
	maxFeedGrace = 3200 * time.Millisecond
	// storeTimeout bounds a transaction of the control loop, in addition to the time it takes to
	// send, and the wait for the first byte of a scan. An overloaded store queues calls for up to a
	// second before it refuses them.
	storeTimeout = 1500 * time.Millisecond
	// submitTimeout bounds the writes of one request. Callers on the platform's sites time out
	// after 3 s; a write to a store at a fiftieth of its usual speed takes 0.5 s.
	submitTimeout = 1200 * time.Millisecond
	// orderTimeout bounds an order to a worker, which replies in some 2 ms.
	orderTimeout = 350 * time.Millisecond
	// pollGrace is how long after its wait a poll may still be answered.
	pollGrace = 400 * time.Millisecond
	// pingPeriod and standbyPingPeriod are the intervals between pings of an owner. With
	// pingTimeout a standby detects an unresponsive owner in 0.65 to 0.9 s; throttling by a
	// processor quota stops a process for at most 0.1 s.
	pingPeriod        = 500 * time.Millisecond
	standbyPingPeriod = 250 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	// suspectAfterFailures consecutive failures make an owner suspected.
	suspectAfterFailures = 2
	// storeLossTimeout is the age of the store's last response from which a node has lost the
	// store.
	storeLossTimeout = 2200 * time.Millisecond
	// failingStoreLossTimeout replaces storeLossTimeout for nodes whose feeds fail.
	failingStoreLossTimeout = 700 * time.Millisecond
	// responseStallTimeout bounds the time without progress in a response that has begun. It is
	// longer than a retransmission or throttling by a processor quota.
	responseStallTimeout = 1500 * time.Millisecond
	// responseTimeout bounds a response as a whole. The largest one, 16 MiB, takes 14 s on a link of
	// 10 Mbit/s, which may be shared.
	responseTimeout = 60 * time.Second
	// takeoverRankDelay is the delay between nodes of consecutive takeover ranks.
	takeoverRankDelay = 200 * time.Millisecond
	retryPause        = 200 * time.Millisecond
)
