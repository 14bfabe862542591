package settings

import (
	"os"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Node holds the settings of `wheatroadd serve`, which runs a node on a platform behind an
// adapter.
type Node struct {
	// Name is unique among the nodes.
	Name string `toml:"name"`
	// Zone is the node's zone, for logging.
	Zone string `toml:"zone"`
	// Region is the node's region, and Zones holds the region of each zone of the cluster. Both may be
	// empty if all zones are in one region.
	Region string            `toml:"region"`
	Zones  map[string]string `toml:"zones"`
	// CallerAddress and ReadinessAddress are the addresses to listen on for requests and readiness
	// probes.
	CallerAddress    string `toml:"callers"`
	ReadinessAddress string `toml:"readiness"`
	// PeerAddress is the address at which other nodes reach this one.
	PeerAddress string `toml:"peers"`
	// MetricsAddress is the address to serve metrics on; if empty, the node serves no metrics.
	MetricsAddress string `toml:"metrics"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `toml:"store"`
	// StoreRowBytes is the largest value of a row that the store takes.
	StoreRowBytes int `toml:"store_row_bytes"`
	MemoryMB      int `toml:"memory_mb"`
	// LinkMbps is the bandwidth of the machine's network link; 0 means unlimited.
	LinkMbps float64 `toml:"link_mbps"`
	// CPUShare is the machine's share of a CPU core. Nodes with a larger share acquire pools first.
	CPUShare float64         `toml:"cpu_share"`
	Periods  PlatformPeriods `toml:"bounds"`
	Shutdown Shutdown        `toml:"stop"`
	Policies Policies        `toml:"policies"`
	// DisabledMechanisms names mechanisms to disable, for measurements only.
	DisabledMechanisms []string `toml:"without"`
}

// PlatformPeriods holds the platform's time limits and periods.
type PlatformPeriods struct {
	MaxHoldMillis               int64   `toml:"max_hold_ms"`
	StopTimeoutMillis           int64   `toml:"stop_timeout_ms"`
	GangTimeoutMillis           int64   `toml:"gang_timeout_ms"`
	ReclaimMillis               int64   `toml:"reclaim_ms"`
	CheckpointSeconds           float64 `toml:"checkpoint_interval_s"`
	StatusRetentionSeconds      float64 `toml:"status_s"`
	RemoteFactor                float64 `toml:"remote_factor"`
	ConfigurationAgeMillis      int64   `toml:"config_apply_ms"`
	GracePeriodSeconds          float64 `toml:"grace_period_s"`
	UnacknowledgedTimeoutMillis int64   `toml:"unacknowledged_ms"`
	// EvacuationDelayMillis is the time limit for a zone's evacuation to take effect. It starts when
	// the store acknowledges the evacuation; once it has passed, no work may start in the zone. 0
	// means that the platform sets no limit.
	EvacuationDelayMillis int64 `toml:"evacuation_ms"`
}

// minEvacuationMillis is the minimum of bounds.evacuation_ms unless it is 0. Half of the limit
// covers orders in flight. The rest covers the 0.3 s polling interval of the feed.
const minEvacuationMillis = 2000

// Upper limits of settings, far beyond sensible values. Sums of a few such periods can be expressed as
// durations.
const (
	maxMillis   = int64(1e12)
	maxSeconds  = 1e9
	maxRatio    = 1e6
	maxMemoryMB = 1 << 30
	maxRowBytes = 1 << 20
)

// minRowBytes is the smallest limit of a row with which head rows fit.
const minRowBytes = 10_000

// Shutdown holds the durations of a graceful shutdown.
type Shutdown struct {
	// ServeSeconds is how long the node serves requests after the signal.
	ServeSeconds float64 `toml:"serve_s"`
}

// Policies holds the modes of the optional scheduling policies: "auto", "on" or "off". An empty
// mode means "auto".
type Policies struct {
	TenantSharing string `toml:"tenant_sharing"`
}

// Features returns the modes of the policies. The settings must have been validated.
func (p *Policies) Features() features.Settings {
	mode, _ := features.ParseMode(p.TenantSharing)
	return features.Settings{TenantSharing: mode}
}

func (p *Policies) check(c *checker) {
	_, err := features.ParseMode(p.TenantSharing)
	c.require(err == nil, "policies.tenant_sharing", "%v", err)
}

// SeveralRegions reports whether the zones are in more than one region.
func (s *Node) SeveralRegions() bool {
	regions := map[string]bool{}
	for _, region := range s.Zones {
		regions[region] = true
	}
	return len(regions) > 1
}

// Millis returns a number of milliseconds as a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DefaultNode returns the defaults. Keys without a sensible default are empty.
func DefaultNode() Node {
	return Node{
		MemoryMB: 256, CPUShare: 1, StoreRowBytes: rows.DefaultLimits().RowBytes,
		Periods: PlatformPeriods{
			MaxHoldMillis: 6000, StopTimeoutMillis: 1000, GangTimeoutMillis: 3000, ReclaimMillis: 3000,
			CheckpointSeconds: 1, StatusRetentionSeconds: 120, RemoteFactor: 3,
			ConfigurationAgeMillis: 2000, GracePeriodSeconds: 6, UnacknowledgedTimeoutMillis: 1500,
		},
		Shutdown: Shutdown{ServeSeconds: 3},
	}
}

// rowBytesVariable is the environment variable that replaces the key store_row_bytes unless it is empty.
const rowBytesVariable = "WHEATROAD_STORE_ROW_BYTES"

// ReadNode reads and validates a settings file. Invalid settings give an error of type
// FieldErrors.
func ReadNode(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseNode(string(text), os.Getenv(rowBytesVariable))
}

// ParseNode parses and validates settings in TOML.
func ParseNode(text string) (*Node, error) { return parseNode(text, "") }

// parseNode parses and validates settings in TOML and the value of rowBytesVariable.
func parseNode(text, rowBytes string) (*Node, error) {
	s := DefaultNode()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return nil, FieldErrors{{Key: "file", Detail: err.Error()}}
	}
	c := &checker{}
	for _, key := range meta.Undecoded() {
		c.require(false, key.String(), "unknown key")
	}
	if rowBytes != "" {
		s.StoreRowBytes, err = strconv.Atoi(rowBytes)
		c.require(err == nil, rowBytesVariable, "must be a number")
	}
	s.check(c)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &s, nil
}

func (s *Node) check(c *checker) {
	c.require(job.ValidName(s.Name), "name", "must be 1 to 63 letters, digits, '.', '_' or '-'")
	c.address("callers", s.CallerAddress)
	c.address("readiness", s.ReadinessAddress)
	c.address("peers", s.PeerAddress)
	c.address("store", s.StoreAddress)
	if s.MetricsAddress != "" {
		c.address("metrics", s.MetricsAddress)
	}
	c.require(s.MemoryMB >= 32 && s.MemoryMB <= maxMemoryMB, "memory_mb", "must be 32 to %d", maxMemoryMB)
	c.require(s.StoreRowBytes >= minRowBytes && s.StoreRowBytes <= maxRowBytes, "store_row_bytes", "must be %d to %d", minRowBytes, maxRowBytes)
	c.require(s.LinkMbps >= 0 && s.LinkMbps <= maxRatio, "link_mbps", "must be 0 to %g", maxRatio)
	c.require(s.CPUShare > 0 && s.CPUShare <= maxRatio, "cpu_share", "must be positive and at most %g", maxRatio)
	if _, err := mechanism.ParseDisabled(s.DisabledMechanisms); err != nil {
		c.require(false, "without", "%v", err)
	}
	c.require(!s.SeveralRegions() || s.Region != "", "region", "must be set if zones are in several regions")
	s.Policies.check(c)
	periods := &s.Periods
	positive := map[string]int64{
		"bounds.max_hold_ms": periods.MaxHoldMillis, "bounds.stop_timeout_ms": periods.StopTimeoutMillis,
		"bounds.gang_timeout_ms": periods.GangTimeoutMillis, "bounds.reclaim_ms": periods.ReclaimMillis,
		"bounds.config_apply_ms": periods.ConfigurationAgeMillis, "bounds.unacknowledged_ms": periods.UnacknowledgedTimeoutMillis,
	}
	for _, key := range []string{
		"bounds.max_hold_ms", "bounds.stop_timeout_ms", "bounds.gang_timeout_ms", "bounds.reclaim_ms",
		"bounds.config_apply_ms", "bounds.unacknowledged_ms",
	} {
		c.require(positive[key] > 0 && positive[key] <= maxMillis, key, "must be positive and at most %d", maxMillis)
	}
	evacuation := periods.EvacuationDelayMillis
	c.require(evacuation == 0 || evacuation >= minEvacuationMillis && evacuation <= maxMillis, "bounds.evacuation_ms", "must be 0 or %d to %d", minEvacuationMillis, maxMillis)
	c.require(periods.CheckpointSeconds >= 0 && periods.CheckpointSeconds <= maxSeconds, "bounds.checkpoint_interval_s", "must be 0 to %g", maxSeconds)
	c.require(periods.StatusRetentionSeconds > 0 && periods.StatusRetentionSeconds <= maxSeconds, "bounds.status_s", "must be positive and at most %g", maxSeconds)
	c.require(periods.RemoteFactor >= 1 && periods.RemoteFactor <= maxRatio, "bounds.remote_factor", "must be 1 to %g", maxRatio)
	c.require(periods.GracePeriodSeconds > 0 && periods.GracePeriodSeconds <= maxSeconds, "bounds.grace_period_s", "must be positive and at most %g", maxSeconds)
	c.require(s.Shutdown.ServeSeconds >= 0 && s.Shutdown.ServeSeconds < periods.GracePeriodSeconds, "stop.serve_s", "must be less than bounds.grace_period_s")
}
