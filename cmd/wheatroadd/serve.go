package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/buildinfo"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/node"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/settings"
	"github.com/wheatroad/wheatroad/internal/telemetry"
	"github.com/wheatroad/wheatroad/platform"
)

// settingsVariable names the settings file where no argument does.
const settingsVariable = "WHEATROAD_CONFIG"

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "serve [FILE]",
		Short:   "Serve as a node on the platform, with the settings in FILE or $" + settingsVariable,
		Example: "  wheatroadd serve /etc/wheatroad/node.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			path := os.Getenv(settingsVariable)
			if len(args) > 0 {
				path = args[0]
			}
			return serve(path)
		},
	}
}

// Limits of a node's HTTP servers and clients.
const (
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 60 * time.Second
	callerHeaderBytes   = 16 << 10
	// storeConnections lets a takeover read the 32 parts of accepted jobs at once.
	storeConnections  = 40
	workerConnections = 6
	gcPercent         = 400
	// memoryShare of the machine's memory is what the collector may let the process grow
	// to; the rest is for what has arrived on sockets. Close to the limit the collector
	// takes up to half of the processor; with a half of the memory an owner of 3,000 workers
	// with 5,500 connections came there, at 269 MB of 536.
	memoryShare      = 0.75
	incarnationBytes = 6
)

// service is a node and its servers.
type service struct {
	settings  *settings.Node
	telemetry *telemetry.Telemetry
	loop      *loop.Goroutine
	node      *node.Node
	peers     *peer.Server
	callers   *http.Server
	failed    chan error
}

func serve(path string) error {
	debug.SetGCPercent(gcPercent)
	s, err := settings.ReadNode(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(int64(s.MemoryMB)<<20)))
	log := telemetry.NewDecisionLog(os.Stdout)
	tele, err := telemetry.New(log.Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newService(ctx, s, tele)
	if err := d.listen(); err != nil {
		return err
	}
	go d.loop.Run(ctx)
	d.loop.Post(d.node.Start)
	tele.Decided("started", "node", s.Name, "zone", s.Zone, "version", buildinfo.Version)
	err = d.wait(path)
	tele.Decided("stopped", "node", s.Name)
	log.Close()
	return err
}

func newService(ctx context.Context, s *settings.Node, tele *telemetry.Telemetry) *service {
	d := &service{settings: s, telemetry: tele, loop: loop.NewGoroutine(), failed: make(chan error, 4)}
	unacknowledged := settings.Millis(s.Bounds.UnacknowledgedTimeout)
	edges := node.Edges{
		Store:  platform.NewStore(s.Store, platform.NewHTTPClient(unacknowledged, storeConnections)),
		Orders: platform.NewWorkers(platform.NewHTTPClient(unacknowledged, workerConnections)),
		Peers:  peer.NewClient(nil),
		Codec:  platform.Codec{},
		Loop:   d.loop,
		Record: tele,
	}
	d.node = node.New(ctx, nodeOptions(s), edges)
	d.peers = peer.NewServer(d.node.ServePeer)
	return d
}

func nodeOptions(s *settings.Node) node.Options {
	b := &s.Bounds
	// The settings were checked when they were read.
	off, _ := mechanism.ParseOff(s.Without)
	return node.Options{
		Off:  off,
		Name: s.Name, Incarnation: newIncarnation(), PeerAddress: s.Peers, Weight: s.CPUShare,
		LinkBytesPerSecond: s.LinkMbps * bytesPerMbit,
		Bounds: pool.Bounds{
			MaxHold: settings.Millis(b.MaxHoldMillis), StopTimeout: settings.Millis(b.StopTimeoutMillis),
			GangTimeout: settings.Millis(b.GangTimeoutMillis), Reclaim: settings.Millis(b.ReclaimMillis),
			CheckpointInterval: settings.Seconds(b.CheckpointSeconds),
			StatusRetention:    settings.Seconds(b.StatusSeconds), RemoteFactor: b.RemoteFactor,
			Evacuation: settings.Millis(b.EvacuationMillis),
		},
		ConfigurationAge: settings.Millis(b.ConfigurationMillis),
	}
}

// bytesPerMbit is how many bytes a second a megabit a second is.
const bytesPerMbit = 1_000_000 / 8

func newIncarnation() string {
	random := make([]byte, incarnationBytes)
	// Reading from the system's random source does not fail.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// listen opens the listeners and begins to serve.
func (d *service) listen() error {
	ingress := platform.NewIngress(node.NewGateway(d.node))
	d.callers = &http.Server{
		Handler: ingress, ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: callerHeaderBytes,
	}
	if err := d.serveHTTP(d.settings.Callers, d.callers); err != nil {
		return errors.Wrap(err, "callers")
	}
	if err := d.serveHTTP(d.settings.Readiness, &http.Server{Handler: ingress.Readiness(), ReadHeaderTimeout: callerHeaderTimeout}); err != nil {
		return errors.Wrap(err, "readiness")
	}
	if d.settings.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", d.telemetry.Handler())
		mux.HandleFunc("GET /status", d.serveStatus)
		if err := d.serveHTTP(d.settings.Metrics, &http.Server{Handler: mux, ReadHeaderTimeout: callerHeaderTimeout}); err != nil {
			return errors.Wrap(err, "metrics")
		}
	}
	listener, err := net.Listen("tcp", d.settings.Peers)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	go func() { d.failed <- d.peers.Serve(listener) }()
	return nil
}

// serveStatus answers an operator who asks for the node's state.
func (d *service) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := d.node.Status(ctx)
	if err != nil {
		http.Error(w, "the control loop does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// statusTimeout bounds the wait for the control loop.
const statusTimeout = 2 * time.Second

func (d *service) serveHTTP(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- err
		}
	}()
	return nil
}

// wait serves until a signal to stop, then leaves the planned way.
func (d *service) wait(path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-d.failed:
			return errors.Wrap(err, "serve")
		case received := <-signals:
			if received == syscall.SIGHUP {
				d.reload(path)
				continue
			}
			d.stop()
			return nil
		}
	}
}

// reload checks the settings file again. Everything in it takes effect at the next
// start.
func (d *service) reload(path string) {
	if _, err := settings.ReadNode(path); err != nil {
		d.telemetry.Decided("settings refused", "reason", err.Error())
		return
	}
	d.telemetry.Decided("settings read", "effect", "at the next start")
}

// stop hands the pools over at once and serves callers until the balancer has
// turned to other nodes.
func (d *service) stop() {
	d.telemetry.Decided("stopping", "node", d.settings.Name)
	began := time.Now()
	released := make(chan struct{})
	d.loop.Post(func() { d.node.Stop(func() { close(released) }) })
	time.Sleep(settings.Seconds(d.settings.Stretches.ServeSeconds))
	grace := settings.Seconds(d.settings.Bounds.GraceSeconds)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	// Requests that outlast the grace period are cut off in any case.
	_ = d.callers.Shutdown(ctx)
	select {
	case <-released:
	case <-ctx.Done():
	}
	d.peers.Shutdown(ctx)
}

// stopMargin is left between the end of a planned stop and the grace period's end.
const stopMargin = 400 * time.Millisecond
