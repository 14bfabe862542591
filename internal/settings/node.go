package settings

import (
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Node is the content of a settings file of `wheatroadd serve`: a node on a
// platform that is spoken to through an adapter.
type Node struct {
	// Name is unlike that of any other node.
	Name string `toml:"name"`
	// Zone is where the node stands; its first log line says so.
	Zone string `toml:"zone"`
	// Callers and Readiness are IP addresses and ports to listen on.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	// Peers is the address that other nodes reach this one at.
	Peers string `toml:"peers"`
	// Metrics is the address that serves counters; empty serves none.
	Metrics string `toml:"metrics"`
	// Store is the address of the platform's store.
	Store    string `toml:"store"`
	MemoryMB int    `toml:"memory_mb"`
	// LinkMbps is the rate of the machine's link; 0 if it need not be spared.
	LinkMbps float64 `toml:"link_mbps"`
	// CPUShare is the machine's share of a core: larger nodes take pools first.
	CPUShare  float64    `toml:"cpu_share"`
	Bounds    NodeBounds `toml:"bounds"`
	Stretches Stretches  `toml:"stop"`
	// Without names mechanisms to switch off. It is for measurements, not for operators.
	Without []string `toml:"without"`
}

// NodeBounds are the platform's periods, in milliseconds unless said otherwise.
type NodeBounds struct {
	MaxHoldMillis         int64   `toml:"max_hold_ms"`
	StopTimeoutMillis     int64   `toml:"stop_timeout_ms"`
	GangTimeoutMillis     int64   `toml:"gang_timeout_ms"`
	ReclaimMillis         int64   `toml:"reclaim_ms"`
	CheckpointSeconds     float64 `toml:"checkpoint_interval_s"`
	StatusSeconds         float64 `toml:"status_s"`
	RemoteFactor          float64 `toml:"remote_factor"`
	ConfigurationMillis   int64   `toml:"config_apply_ms"`
	GraceSeconds          float64 `toml:"grace_period_s"`
	UnacknowledgedTimeout int64   `toml:"unacknowledged_ms"`
	// EvacuationMillis is the time after the acknowledgement of a zone's evacuation from which
	// nothing starts there; 0 if the platform bounds it by nothing.
	EvacuationMillis int64 `toml:"evacuation_ms"`
}

// leastEvacuationMillis is the shortest bound within which an owner can know of an evacuation:
// half of it is for orders under way, and a feed is answered each 0.3 s.
const leastEvacuationMillis = 2000

// Stretches are how long a planned stop lasts.
type Stretches struct {
	// ServeSeconds is how long callers are still served after the signal.
	ServeSeconds float64 `toml:"serve_s"`
}

// Millis returns a number of milliseconds as a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DefaultNode returns settings in which only what has no good default is missing.
func DefaultNode() Node {
	return Node{
		MemoryMB: 256, CPUShare: 1,
		Bounds: NodeBounds{
			MaxHoldMillis: 6000, StopTimeoutMillis: 1000, GangTimeoutMillis: 3000, ReclaimMillis: 3000,
			CheckpointSeconds: 1, StatusSeconds: 120, RemoteFactor: 3,
			ConfigurationMillis: 2000, GraceSeconds: 6, UnacknowledgedTimeout: 1500,
		},
		Stretches: Stretches{ServeSeconds: 3},
	}
}

// ReadNode reads and checks a settings file. The error is of type Problems, or says
// why the file could not be read.
func ReadNode(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseNode(string(text))
}

// ParseNode reads and checks settings from TOML text.
func ParseNode(text string) (*Node, error) {
	s := DefaultNode()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return nil, Problems{{Key: "file", Detail: err.Error()}}
	}
	c := &checker{}
	for _, key := range meta.Undecoded() {
		c.require(false, key.String(), "is not a known key")
	}
	s.check(c)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &s, nil
}

func (s *Node) check(c *checker) {
	c.require(job.ValidName(s.Name), "name", "must be 1 to 63 letters, digits, '.', '_' or '-'")
	c.address("callers", s.Callers)
	c.address("readiness", s.Readiness)
	c.address("peers", s.Peers)
	c.address("store", s.Store)
	if s.Metrics != "" {
		c.address("metrics", s.Metrics)
	}
	c.require(s.MemoryMB >= 32, "memory_mb", "must be at least 32")
	c.require(s.LinkMbps >= 0, "link_mbps", "must not be negative")
	c.require(s.CPUShare > 0, "cpu_share", "must be positive")
	if _, err := mechanism.ParseOff(s.Without); err != nil {
		c.require(false, "without", "%v", err)
	}
	b := &s.Bounds
	positive := map[string]int64{
		"bounds.max_hold_ms": b.MaxHoldMillis, "bounds.stop_timeout_ms": b.StopTimeoutMillis,
		"bounds.gang_timeout_ms": b.GangTimeoutMillis, "bounds.reclaim_ms": b.ReclaimMillis,
		"bounds.config_apply_ms": b.ConfigurationMillis, "bounds.unacknowledged_ms": b.UnacknowledgedTimeout,
	}
	for _, key := range []string{
		"bounds.max_hold_ms", "bounds.stop_timeout_ms", "bounds.gang_timeout_ms", "bounds.reclaim_ms",
		"bounds.config_apply_ms", "bounds.unacknowledged_ms",
	} {
		c.require(positive[key] > 0, key, "must be positive")
	}
	c.require(b.EvacuationMillis == 0 || b.EvacuationMillis >= leastEvacuationMillis, "bounds.evacuation_ms", "must be 0 or at least %d", leastEvacuationMillis)
	c.require(b.CheckpointSeconds >= 0, "bounds.checkpoint_interval_s", "must not be negative")
	c.require(b.StatusSeconds > 0, "bounds.status_s", "must be positive")
	c.require(b.RemoteFactor >= 1, "bounds.remote_factor", "must be at least 1")
	c.require(b.GraceSeconds > 0, "bounds.grace_period_s", "must be positive")
	c.require(s.Stretches.ServeSeconds >= 0 && s.Stretches.ServeSeconds < b.GraceSeconds, "stop.serve_s", "must be less than bounds.grace_period_s")
}
