package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/wheatroad/wheatroad/internal/job"
)

// Duration is a time.Duration in Go syntax, such as "1.5s" or "200ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Settings holds the settings of `wheatroadd run`.
type Settings struct {
	// Node is the name of the process; it must be unique.
	Node string `toml:"node"`
	// Zone is the zone of the process, as "region/zone".
	Zone string `toml:"zone"`
	// Domains is the size of a scheduling domain: "zone" or "region".
	Domains    string     `toml:"domains"`
	HTTP       Listener   `toml:"http"`
	Peer       Listener   `toml:"peer"`
	Platform   Platform   `toml:"platform"`
	Access     Access     `toml:"access"`
	Limits     Limits     `toml:"limits"`
	Scheduling Scheduling `toml:"scheduling"`
	Timing     Timing     `toml:"timing"`
	Log        Log        `toml:"log"`
}

// Listener holds an address to listen on and the address to advertise.
type Listener struct {
	// Listen is an IP address and port; port 0 selects a free port.
	Listen string `toml:"listen"`
	// Advertise is the address that others connect to; it defaults to the address listened on.
	Advertise string `toml:"advertise"`
	// AddressFile is a file to write the address listened on to.
	AddressFile string `toml:"address_file"`
}

// Platform configures access to the platform's services.
type Platform struct {
	URL string `toml:"url"`
	// ConnectionsPerAddress is the maximum number of connections to one worker.
	ConnectionsPerAddress int      `toml:"connections_per_address"`
	Timeout               Duration `toml:"timeout"`
}

// Access holds the operators' keys.
type Access struct {
	// OperatorKeyHashes are hex SHA-256 hashes.
	OperatorKeyHashes []string `toml:"operator_key_hashes"`
}

// Limits holds the limits on callers' requests to this process.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `toml:"body_bytes"`
	// InFlight limits all concurrent requests, InFlightPerTenant those of one tenant.
	InFlight          int `toml:"in_flight"`
	InFlightPerTenant int `toml:"in_flight_per_tenant"`
	// SubmitsPerSecond and SubmitBurst limit one tenant's rate of submissions to this process.
	SubmitsPerSecond float64  `toml:"submits_per_second"`
	SubmitBurst      int      `toml:"submit_burst"`
	MaxWait          Duration `toml:"max_wait"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline Duration `toml:"default_deadline"`
}

// Scheduling configures the scheduling policy.
type Scheduling struct {
	// FragmentationWeight is the weight, 0 to 1, of fragmentation against completion time.
	FragmentationWeight float64 `toml:"fragmentation_weight"`
}

// Timing holds leases, timeouts and polling intervals.
type Timing struct {
	Lease         Duration `toml:"lease"`
	Heartbeat     Duration `toml:"heartbeat"`
	Watch         Duration `toml:"watch"`
	WorkerLease   Duration `toml:"worker_lease"`
	WorkerRenewal Duration `toml:"worker_renewal"`
	DrainGrace    Duration `toml:"drain_grace"`
	MachineList   Duration `toml:"machine_list"`
}

// Log configures logging.
type Log struct {
	// Format is "json" or "text".
	Format string `toml:"format"`
}

// Default returns the defaults. Keys without a sensible default are empty.
func Default() Settings {
	return Settings{
		Domains:  "zone",
		HTTP:     Listener{Listen: "127.0.0.1:0"},
		Peer:     Listener{Listen: "127.0.0.1:0"},
		Platform: Platform{ConnectionsPerAddress: 6, Timeout: Duration(5 * time.Second)},
		Limits: Limits{
			BodyBytes: 1 << 20, InFlight: 1024, InFlightPerTenant: 256,
			SubmitsPerSecond: 200, SubmitBurst: 400,
			MaxWait: Duration(30 * time.Second), DefaultDeadline: Duration(30 * time.Second),
		},
		Scheduling: Scheduling{FragmentationWeight: 0.5},
		Timing: Timing{
			Lease: Duration(9 * time.Second), Heartbeat: Duration(3 * time.Second), Watch: Duration(time.Second),
			WorkerLease: Duration(60 * time.Second), WorkerRenewal: Duration(15 * time.Second),
			DrainGrace: Duration(2 * time.Second), MachineList: Duration(2 * time.Second),
		},
		Log: Log{Format: "text"},
	}
}

// FieldError describes one invalid setting.
type FieldError struct {
	Key    string
	Detail string
}

// FieldErrors lists all invalid settings of a file.
type FieldErrors []FieldError

// Error lists the invalid settings, one per line.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Key + ": " + p[i].Detail
	}
	return strings.Join(lines, "\n")
}

// Read reads and validates a settings file. Invalid settings give an error of type FieldErrors.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// Parse parses and validates settings in TOML.
func Parse(text string) (*Settings, error) {
	s := Default()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return nil, FieldErrors{{Key: "file", Detail: err.Error()}}
	}
	var problems FieldErrors
	for _, key := range meta.Undecoded() {
		problems = append(problems, FieldError{Key: key.String(), Detail: "unknown key"})
	}
	problems = append(problems, s.Validate()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// checker collects invalid settings.
type checker struct{ problems FieldErrors }

func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, FieldError{Key: key, Detail: fmt.Sprintf(format, args...)})
	}
}

// Validate returns all invalid settings.
func (s *Settings) Validate() FieldErrors {
	c := &checker{}
	c.require(job.ValidName(s.Node), "node", "must be 1 to 63 letters, digits, '.', '_' or '-'")
	c.require(strings.Count(s.Zone, "/") == 1, "zone", "must be region/zone")
	c.require(s.Domains == "zone" || s.Domains == "region", "domains", "must be zone or region")
	c.listener("http", s.HTTP)
	c.listener("peer", s.Peer)
	c.platform(&s.Platform)
	for _, hash := range s.Access.OperatorKeyHashes {
		_, err := hex.DecodeString(hash)
		c.require(err == nil && len(hash) == 64, "access.operator_key_hashes", "each must be a hex SHA-256 hash")
	}
	c.limits(&s.Limits)
	weight := s.Scheduling.FragmentationWeight
	c.require(weight >= 0 && weight <= 1, "scheduling.fragmentation_weight", "must be 0 to 1")
	c.timing(&s.Timing)
	c.require(s.Log.Format == "json" || s.Log.Format == "text", "log.format", "must be json or text")
	return c.problems
}

func (c *checker) listener(key string, l Listener) {
	c.address(key+".listen", l.Listen)
	if l.Advertise != "" {
		c.address(key+".advertise", l.Advertise)
	}
}

func (c *checker) address(key, address string) {
	host, _, err := net.SplitHostPort(address)
	c.require(err == nil && net.ParseIP(host) != nil, key, "%q must be an IP address and a port", address)
}

func (c *checker) platform(p *Platform) {
	parsed, err := url.Parse(p.URL)
	c.require(err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https"), "platform.url", "must be an http or https address")
	c.require(p.ConnectionsPerAddress > 0, "platform.connections_per_address", "must be positive")
	c.require(p.Timeout > 0, "platform.timeout", "must be positive")
}

func (c *checker) limits(l *Limits) {
	c.require(l.BodyBytes > 0, "limits.body_bytes", "must be positive")
	c.require(l.InFlight > 0, "limits.in_flight", "must be positive")
	c.require(l.InFlightPerTenant > 0 && l.InFlightPerTenant <= l.InFlight, "limits.in_flight_per_tenant", "must be positive and at most limits.in_flight")
	c.require(l.SubmitsPerSecond > 0, "limits.submits_per_second", "must be positive")
	c.require(l.SubmitBurst > 0, "limits.submit_burst", "must be positive")
	c.require(l.MaxWait > 0, "limits.max_wait", "must be positive")
	c.require(l.DefaultDeadline > 0, "limits.default_deadline", "must be positive")
}

// minLeaseFactor is the minimum ratio of a lease to the interval that it has to outlast.
const minLeaseFactor = 3

func (c *checker) timing(t *Timing) {
	c.require(t.Watch > 0, "timing.watch", "must be positive")
	c.require(t.Heartbeat > 0, "timing.heartbeat", "must be positive")
	c.require(t.MachineList > 0, "timing.machine_list", "must be positive")
	c.require(t.Lease >= minLeaseFactor*t.Watch, "timing.lease", "must be at least %d times timing.watch", minLeaseFactor)
	c.require(t.WorkerRenewal > 0, "timing.worker_renewal", "must be positive")
	c.require(t.WorkerLease >= minLeaseFactor*t.WorkerRenewal, "timing.worker_lease", "must be at least %d times timing.worker_renewal", minLeaseFactor)
	c.require(t.WorkerLease >= minLeaseFactor*t.Lease, "timing.worker_lease", "must be at least %d times timing.lease, so that running jobs survive a takeover", minLeaseFactor)
	c.require(t.DrainGrace >= 0, "timing.drain_grace", "must not be negative")
}
