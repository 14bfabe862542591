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

// settingsVariable is the environment variable with the path of the settings file. The serve
// command reads it if it has no argument.
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
	// storeConnections lets a takeover read the 32 partitions of accepted jobs concurrently.
	storeConnections  = 40
	workerConnections = 6
	gcPercent         = 400
	// memoryLimitShare is the fraction of memory_mb that the Go runtime may use. The rest is for
	// socket buffers. Near the limit, garbage collection takes up to half of the CPU time.
	memoryLimitShare = 0.75
	incarnationBytes = 6
)

// service combines a node with its servers.
type service struct {
	settings     *settings.Node
	telemetry    *telemetry.Telemetry
	loop         *loop.Goroutine
	node         *node.Node
	peerServer   *peer.Server
	callerServer *http.Server
	serverErrors chan error
}

func serve(path string) error {
	debug.SetGCPercent(gcPercent)
	s, err := settings.ReadNode(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(int64(s.MemoryMB)<<20)))
	log := telemetry.NewAsyncLog(os.Stdout)
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
	tele.LogEvent("started", "node", s.Name, "zone", s.Zone, "version", buildinfo.Version())
	err = d.wait(path)
	tele.LogEvent("stopped", "node", s.Name)
	log.Close()
	return err
}

func newService(ctx context.Context, s *settings.Node, tele *telemetry.Telemetry) *service {
	d := &service{settings: s, telemetry: tele, loop: loop.NewGoroutine(), serverErrors: make(chan error, 4)}
	unacknowledged := settings.Millis(s.Periods.UnacknowledgedTimeoutMillis)
	dependencies := node.Dependencies{
		Store:    platform.NewStoreClient(s.StoreAddress, platform.NewHTTPClient(unacknowledged, storeConnections)),
		Workers:  platform.NewWorkerClient(platform.NewHTTPClient(unacknowledged, workerConnections)),
		Peers:    peer.NewClient(nil),
		Codec:    platform.Codec{},
		Loop:     d.loop,
		Recorder: tele, RecordReceived: tele.RecordReceived,
	}
	d.node = node.New(ctx, nodeOptions(s), dependencies)
	d.peerServer = peer.NewServer(d.node.ServePeer)
	return d
}

func nodeOptions(s *settings.Node) node.Options {
	b := &s.Periods
	// ParseDisabled cannot fail: the settings were validated when read.
	disabled, _ := mechanism.ParseDisabled(s.DisabledMechanisms)
	return node.Options{
		DisabledMechanisms: disabled, Features: s.Policies.Features(),
		Name: s.Name, Version: buildinfo.Version(), Incarnation: newIncarnation(), PeerAddress: s.PeerAddress, Weight: s.CPUShare,
		Region: s.Region, SeveralRegions: s.SeveralRegions(),
		LinkBytesPerSecond: s.LinkMbps * bytesPerMbit, MaxRowBytes: s.StoreRowBytes,
		PoolBounds: pool.Bounds{
			MaxLease: settings.Millis(b.MaxHoldMillis), StopTimeout: settings.Millis(b.StopTimeoutMillis),
			GangTimeout: settings.Millis(b.GangTimeoutMillis), GuaranteedStartTimeout: settings.Millis(b.ReclaimMillis),
			CheckpointInterval: settings.Seconds(b.CheckpointSeconds),
			StatusRetention:    settings.Seconds(b.StatusRetentionSeconds), CrossRackSlowdown: b.RemoteFactor,
			EvacuationTimeout: settings.Millis(b.EvacuationDelayMillis),
			MaxOrderDelay:     platform.MaxOrderDelay, MaxListedEnds: platform.MaxEndedPerReply,
		},
		MaxConfigurationAge: settings.Millis(b.ConfigurationAgeMillis),
	}
}

const bytesPerMbit = 1_000_000 / 8

func newIncarnation() string {
	random := make([]byte, incarnationBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// listen opens the listeners and starts the servers.
func (d *service) listen() error {
	ingress := platform.NewIngress(node.NewGateway(d.node))
	d.callerServer = &http.Server{
		Handler: ingress, ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: callerHeaderBytes,
	}
	if err := d.serveHTTP(d.settings.CallerAddress, d.callerServer); err != nil {
		return errors.Wrap(err, "callers")
	}
	if err := d.serveHTTP(d.settings.ReadinessAddress, &http.Server{Handler: ingress.Readiness(), ReadHeaderTimeout: callerHeaderTimeout}); err != nil {
		return errors.Wrap(err, "readiness")
	}
	if d.settings.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", d.telemetry.Handler())
		mux.HandleFunc("GET /status", d.serveStatus)
		if err := d.serveHTTP(d.settings.MetricsAddress, &http.Server{Handler: mux, ReadHeaderTimeout: callerHeaderTimeout}); err != nil {
			return errors.Wrap(err, "metrics")
		}
	}
	listener, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	go func() { d.serverErrors <- d.peerServer.Serve(listener) }()
	return nil
}

// serveStatus handles GET /status.
func (d *service) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := d.node.Status(ctx)
	if err != nil {
		http.Error(w, "timed out waiting for the control loop", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// statusTimeout limits the wait for the control loop.
const statusTimeout = 2 * time.Second

func (d *service) serveHTTP(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.serverErrors <- err
		}
	}()
	return nil
}

// wait serves until SIGTERM or SIGINT, then shuts down gracefully.
func (d *service) wait(path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-d.serverErrors:
			return errors.Wrap(err, "serve")
		case received := <-signals:
			if received == syscall.SIGHUP {
				d.validateSettings(path)
				continue
			}
			d.stop()
			return nil
		}
	}
}

// validateSettings checks the settings file on SIGHUP. Changes take effect at the next start.
func (d *service) validateSettings(path string) {
	if _, err := settings.ReadNode(path); err != nil {
		d.telemetry.LogEvent("settings rejected", "reason", err.Error())
		return
	}
	d.telemetry.LogEvent("settings read", "effect", "at the next start")
}

// stop releases the pools immediately and keeps serving callers while the load balancer
// takes the node out of rotation.
func (d *service) stop() {
	d.telemetry.LogEvent("stopping", "node", d.settings.Name)
	began := time.Now()
	released := make(chan struct{})
	d.loop.Post(func() { d.node.Stop(func() { close(released) }) })
	time.Sleep(settings.Seconds(d.settings.Shutdown.ServeSeconds))
	grace := settings.Seconds(d.settings.Periods.GracePeriodSeconds)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	// Requests still in flight at the deadline are aborted.
	_ = d.callerServer.Shutdown(ctx)
	select {
	case <-released:
	case <-ctx.Done():
	}
	d.peerServer.Shutdown(ctx)
}

// stopMargin is reserved between the shutdown deadline and the end of the grace period.
const stopMargin = 400 * time.Millisecond
