package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/control"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/machines/httplist"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/settings"
	"github.com/wheatroad/wheatroad/internal/store/httpstore"
	"github.com/wheatroad/wheatroad/internal/telemetry"
	"github.com/wheatroad/wheatroad/internal/worker/httpfleet"
)

// Daemon is one running node.
type Daemon struct {
	settings   *settings.Settings
	telemetry  *telemetry.Telemetry
	loop       *loop.Goroutine
	node       *control.Node
	peerServer *peer.Server
	peers      *peer.Client
	http       *http.Server
	listeners  []net.Listener
	stopLoop   context.CancelFunc
}

// Limits of the HTTP server and clients.
const (
	readHeaderTimeout   = 5 * time.Second
	idleTimeout         = 60 * time.Second
	maxHeaderBytes      = 16 << 10
	maxIdleConnsPerHost = 64
)

// New creates a daemon and opens its listeners.
func New(s *settings.Settings, log logr.Logger) (*Daemon, error) {
	tele, err := telemetry.New(log)
	if err != nil {
		return nil, errors.Wrap(err, "telemetry")
	}
	d := &Daemon{settings: s, telemetry: tele, loop: loop.NewGoroutine()}
	httpListener, err := d.listen(s.HTTP)
	if err != nil {
		return nil, errors.Wrap(err, "http.listen")
	}
	peerListener, err := d.listen(s.Peer)
	if err != nil {
		httpListener.Close()
		return nil, errors.Wrap(err, "peer.listen")
	}
	d.buildNode(advertisedAddress(s.HTTP, httpListener), advertisedAddress(s.Peer, peerListener))
	return d, nil
}

func (d *Daemon) listen(l settings.Listener) (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, err
	}
	if l.AddressFile != "" {
		err = os.WriteFile(l.AddressFile, []byte(listener.Addr().String()), 0o644)
	}
	d.listeners = append(d.listeners, listener)
	return listener, err
}

func advertisedAddress(l settings.Listener, listener net.Listener) string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return listener.Addr().String()
}

const incarnationBytes = 8

func newIncarnation() string {
	random := make([]byte, incarnationBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

func (d *Daemon) buildNode(httpAddress, peerAddress string) {
	s := d.settings
	services := newClient(0)
	// The connections of all entry machines count against a worker's limit.
	workers := newClient(s.Platform.ConnectionsPerAddress)
	store := httpstore.New(s.Platform.URL, services)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoop = cancel
	d.peers = peer.NewClient(nil)
	ports := newPorts(ctx, d.loop, time.Duration(s.Platform.Timeout))
	ports.table = store
	ports.machineList = httplist.New(s.Platform.URL, services)
	ports.fleet = httpfleet.New(s.Platform.URL, services, workers)
	ports.peers = d.peers
	d.node = control.NewNode(controlOptions(s, httpAddress, peerAddress), d.loop, ports, d.telemetry)
	apiBackend := &backend{node: d.node, table: store, objects: store.Objects(), peers: d.peers, telemetry: d.telemetry}
	d.peerServer = peer.NewServer(apiBackend.servePeer)
	d.http = &http.Server{
		Handler:           api.New(apiOptions(s), apiBackend, d.telemetry, d.telemetry.Handler(), time.Now),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go d.loop.Run(ctx)
	d.loop.Post(d.node.Start)
}

// newClient returns an HTTP client with a limit on the connections per address; 0 means
// unlimited.
func newClient(connectionsPerAddress int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     connectionsPerAddress,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
	}}
}

func controlOptions(s *settings.Settings, httpAddress, peerAddress string) control.Options {
	timing := control.DefaultTiming()
	timing.Lease = time.Duration(s.Timing.Lease)
	timing.Renewal = timing.Lease / 4
	timing.Margin = timing.Lease / 5
	timing.Heartbeat = time.Duration(s.Timing.Heartbeat)
	timing.MemberTimeout = 3*timing.Heartbeat + time.Duration(s.Timing.Watch)
	timing.Watch = time.Duration(s.Timing.Watch)
	timing.MachineList = time.Duration(s.Timing.MachineList)
	timing.WorkerLease = time.Duration(s.Timing.WorkerLease)
	timing.WorkerRenewal = time.Duration(s.Timing.WorkerRenewal)
	timing.OrderTimeout = time.Duration(s.Platform.Timeout)
	timing.DrainGrace = time.Duration(s.Timing.DrainGrace)
	policy := schedule.Weighted(s.Scheduling.FragmentationWeight)
	return control.Options{
		Node: s.Node, Incarnation: newIncarnation(), Zone: s.Zone,
		HTTPAddress: httpAddress, PeerAddress: peerAddress,
		RegionDomains: s.Domains == "region", Policy: policy, Timing: timing,
	}
}

func apiOptions(s *settings.Settings) api.Options {
	return api.Options{
		OperatorKeyHashes:   s.Access.OperatorKeyHashes,
		BodyBytes:           s.Limits.BodyBytes,
		InFlight:            s.Limits.InFlight,
		InFlightPerTenant:   s.Limits.InFlightPerTenant,
		SubmitsPerSecond:    s.Limits.SubmitsPerSecond,
		SubmitBurst:         s.Limits.SubmitBurst,
		MaxWait:             time.Duration(s.Limits.MaxWait),
		DefaultDeadline:     time.Duration(s.Limits.DefaultDeadline),
		MaxConfigurationAge: control.DefaultTiming().ConfigurationAge,
	}
}

// Run serves until stop is closed and then shuts down gracefully. During the shutdown the node
// leaves the load balancer's rotation, hands over its domains and completes requests in flight.
func (d *Daemon) Run(stop <-chan struct{}) error {
	failed := make(chan error, 2)
	go func() { failed <- d.peerServer.Serve(d.listeners[1]) }()
	go func() { failed <- d.http.Serve(d.listeners[0]) }()
	d.telemetry.LogStateChange("serving", "node", d.settings.Node, "http", d.listeners[0].Addr().String(), "peer", d.listeners[1].Addr().String())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-stop:
	}
	d.stop()
	return nil
}

// handoverTimeout limits the wait for the handover while the store is unavailable.
const handoverTimeout = 20 * time.Second

func (d *Daemon) stop() {
	drained := make(chan struct{})
	d.loop.Post(func() { d.node.Drain(func() { close(drained) }) })
	time.Sleep(time.Duration(d.settings.Timing.DrainGrace))
	select {
	case <-drained:
	case <-time.After(handoverTimeout):
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Limits.MaxWait)+handoverTimeout)
	defer cancel()
	// Requests in flight are aborted at the deadline, which is later than the end of the longest
	// wait.
	_ = d.http.Shutdown(ctx)
	d.listeners[1].Close()
	d.peerServer.Shutdown(ctx)
	d.peers.Close()
	d.loop.Post(d.node.Halt)
	d.stopLoop()
	d.telemetry.LogStateChange("stopped", "node", d.settings.Node)
}
