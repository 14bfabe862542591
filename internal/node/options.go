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

// Codec reads the rows that the platform writes.
type Codec interface {
	ConfigurationTable() string
	ConfigurationKey() rows.Key
	WorkerTable() string
	// EvacuationRows names the table and the prefix of the rows by which operators evacuate
	// zones, and EvacuatedZone reads the zone from a row's key; false if it is another row.
	EvacuationRows() (table, prefix string)
	EvacuatedZone(key rows.Key) (string, bool)
	DecodeCatalog(value []byte) (*catalog.Catalog, error)
	DecodeWorker(id string, value []byte) (*fleet.Worker, error)
}

// Recorder counts and logs.
type Recorder = pool.Recorder

// Options configure a node.
type Options struct {
	Name        string
	Incarnation string
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// Weight is the node's processor share: heavier nodes take pools first.
	Weight float64
	// LinkBytesPerSecond is the rate of the machine's link; 0 if it need not be spared.
	LinkBytesPerSecond float64
	Bounds             pool.Bounds
	// ConfigurationAge is how old the configuration's confirmation may be before
	// callers are turned away.
	ConfigurationAge time.Duration
	// Off has mechanisms that are switched off, for measurements.
	Off mechanism.Off
}

// Edges are what a node reaches the outside through.
type Edges struct {
	Store  rows.Store
	Orders fleet.Orders
	Peers  *peer.Client
	Codec  Codec
	Loop   loop.Loop
	Record Recorder
}

// Periods of the node's own work.
const (
	// feedWait is how long an owner's feeds of jobs and workers wait for a change.
	feedWait = time.Second
	// feedSlack is how much later than that a feed's answer may come: four times what a
	// store takes that is fifty times slower. It doubles with each feed that gets
	// none, up to maxFeedSlack, so that a store that is slower still is followed.
	feedSlack    = 800 * time.Millisecond
	maxFeedSlack = 3200 * time.Millisecond
	// storeTimeout bounds a transaction of the control loop, on top of what it takes to
	// send, and the beginning of a scan's answer; a slow store takes 0.5 s and makes calls
	// wait for up to a second before it refuses them.
	storeTimeout = 1500 * time.Millisecond
	// submitTimeout bounds the writes of one request of a caller, who gives it 3 s on the
	// platform's sites; a store that is fifty times slower takes 0.5 s for one.
	submitTimeout = 1200 * time.Millisecond
	// orderTimeout bounds an order to a worker, which answers in some 2 ms.
	orderTimeout = 350 * time.Millisecond
	// holdSlack is how much later than a hold may wait its answer may come.
	holdSlack = 400 * time.Millisecond
	// pingPeriod and guardPeriod are the pauses between two pings of an owner. With
	// pingTimeout a guard finds a silent owner in 0.65 to 0.9 s; a frozen process of a
	// quota that is spent is away for 0.1 s at the most.
	pingPeriod        = 500 * time.Millisecond
	standbyPingPeriod = 250 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	// suspectAfterFailures in a row make an owner suspect.
	suspectAfterFailures = 2
	// storeLossTimeout is the age of the store's last answer at which a node counts as
	// having lost the store.
	storeLossTimeout = 2200 * time.Millisecond
	// failingStoreLossTimeout is that age for a node whose feeds fail.
	failingStoreLossTimeout = 700 * time.Millisecond
	// answerStallTimeout is how long an answer that has begun may stand still: longer than a
	// lost packet or a spent quota of processor time holds it up.
	answerStallTimeout = 1500 * time.Millisecond
	// answerTimeout bounds an answer as a whole: the largest that is read, 16 MiB, takes
	// 14 s on a link of 10 Mbit/s, which others may share.
	answerTimeout = 60 * time.Second
	// takeoverRankDelay separates the nodes that would take a pool.
	takeoverRankDelay = 200 * time.Millisecond
	retryPause        = 200 * time.Millisecond
)
