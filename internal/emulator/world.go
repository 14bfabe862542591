package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/control"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/store"
)

// Options describe an emulated run.
type Options struct {
	Seed  uint64
	Nodes int
	// Layouts are the machines; empty takes three zones of a small site.
	Layouts    []standin.Layout
	Timing     control.Timing
	Mechanisms control.Mechanisms
	// WithoutWorkerFencing lets workers follow orders of any epoch.
	WithoutWorkerFencing bool
	// WithoutWitness turns guarantees off.
	WithoutWitness bool
	// Log receives the nodes' changes of state, and all about the job named Follow,
	// when it is not nil.
	Log    func(at time.Time, node, message string)
	Follow string
	// CountBytes measures messages, which costs time.
	CountBytes bool
	// ListLag and ReportLag are the platform's.
	ListLag   time.Duration
	ReportLag time.Duration
}

// World is one emulated system.
type World struct {
	options Options
	clock   *Clock
	random  *rand.Rand
	site    *standin.Site
	network *network
	faults  services
	nodes   []*node
	serial  int
	// script, when set, decides faults in place of a draw.
	script *script
	// History is what the checker judges.
	History checker.History
	// Counters adds up what the nodes counted, by "counter/reason".
	Counters map[string]int64
	// Bytes and Messages are what each node sent and received.
	Bytes    map[string]int64
	Messages map[string]int64
	// TakeoverSeconds and InForceSeconds are measured times.
	TakeoverSeconds []float64
	InForceSeconds  []float64
	unowned         map[string]time.Time
	watching        map[string]time.Time
	confirmedAt     map[int64]time.Time
}

// services are the present faults of the platform.
type services struct {
	table    standin.Fault
	reads    standin.Fault
	machines standin.Fault
	workers  map[string]standin.Fault
}

// node is one emulated process on its machine.
type node struct {
	world       *World
	name        string
	zone        string
	incarnation string
	process     *Process
	control     *control.Node
	stopping    bool
	// open are the requests that entered at this node and are not answered yet.
	open map[*call]bool
	down bool
}

// SmallSite is three zones of two racks of four workers each.
func SmallSite() []standin.Layout {
	var layouts []standin.Layout
	for _, zone := range []string{"z1", "z2", "z3"} {
		layouts = append(layouts, standin.Layout{
			Region: "r1", Zone: zone, Racks: 2, WorkersPerRack: 4,
			Accelerators: 8, CPUs: 64, MemoryGB: 256, Slots: 8,
		})
	}
	return layouts
}

// NewWorld returns a system whose nodes have just started.
func NewWorld(options Options) *World {
	if len(options.Layouts) == 0 {
		options.Layouts = SmallSite()
	}
	if options.Timing.Lease == 0 {
		options.Timing = control.DefaultTiming()
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		options: options, clock: NewClock(start),
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		network: newNetwork(), Counters: map[string]int64{},
		Bytes: map[string]int64{}, Messages: map[string]int64{},
		unowned: map[string]time.Time{}, watching: map[string]time.Time{}, confirmedAt: map[int64]time.Time{},
	}
	w.faults.workers = map[string]standin.Fault{}
	w.site = standin.NewSite(options.Layouts, "emulated", start)
	w.site.ListLag = options.ListLag
	w.site.ReportLag = options.ReportLag
	for _, name := range w.site.Names() {
		w.site.Worker(name).Fencing = !options.WithoutWorkerFencing
	}
	zones := options.Layouts
	for i := range options.Nodes {
		name := fmt.Sprintf("node%d", i+1)
		zone := zones[i%len(zones)]
		w.History.Nodes = append(w.History.Nodes, name)
		w.boot(name, zone.Region+"/"+zone.Zone)
	}
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.clock.now }

// Site returns the platform.
func (w *World) Site() *standin.Site { return w.site }

// Run lets a stretch of virtual time pass.
func (w *World) Run(d time.Duration) { w.clock.Run(w.clock.now.Add(d)) }

// boot starts a process on a machine.
func (w *World) boot(name, zone string) *node {
	w.serial++
	n := &node{
		world: w, name: name, zone: zone, incarnation: fmt.Sprintf("%s-%d", name, w.serial),
		process: &Process{clock: w.clock}, open: map[*call]bool{},
	}
	policy := schedule.Default()
	policy.WithoutWitness = w.options.WithoutWitness
	options := control.Options{
		Node: name, Incarnation: n.incarnation, Zone: zone, PeerAddress: n.incarnation, HTTPAddress: n.incarnation,
		Policy: policy, Timing: w.options.Timing, Mechanisms: w.options.Mechanisms,
	}
	n.control = control.NewNode(options, n.process, &ports{world: w, node: n}, &recorder{n})
	w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other.name == name })
	w.nodes = append(w.nodes, n)
	slices.SortFunc(w.nodes, func(a, b *node) int { return strings.Compare(a.name, b.name) })
	n.process.Post(n.control.Start)
	return n
}

func (w *World) byAddress(address string) *node {
	for _, n := range w.nodes {
		if n.incarnation == address && !n.down {
			return n
		}
	}
	return nil
}

// kill ends a process at once. Requests under way there get no answer.
func (w *World) kill(n *node) {
	if n.down {
		return
	}
	n.down = true
	n.process.dead = true
	n.control.Halt()
	for c := range n.open {
		c.abandon()
	}
}

// recorder takes what a node counts and logs.
type recorder struct{ node *node }

// Count adds to the world's counters.
func (r *recorder) Count(counter, reason string) { r.node.world.Counters[counter+"/"+reason]++ }

// LogStateChange notes applied configurations and passes the line on.
func (r *recorder) LogStateChange(message string, keysAndValues ...any) {
	w := r.node.world
	if message == "configuration in force" {
		w.applied(r.node, keysAndValues[1].(int64))
	}
	w.log(r.node.name, message+" "+fmt.Sprint(keysAndValues...))
}

func (w *World) log(node, message string) {
	if w.options.Log != nil {
		w.options.Log(w.clock.now, node, message)
	}
}

func (w *World) applied(n *node, version int64) {
	w.History.Applied = append(w.History.Applied, checker.Applied{At: w.clock.now, Node: n.name, Incarnation: n.incarnation, Version: version})
	at, ok := w.confirmedAt[version]
	if ok {
		w.InForceSeconds = append(w.InForceSeconds, w.clock.now.Sub(at).Seconds())
	}
}

// Keys of rows that the world watches as they are written.
const (
	headRow   = "control/config/head"
	tenantRow = "control/config/tenant/"
	leaseRow  = "control/lease/"
)

// noteWrites records what a committed transaction means for the history.
func (w *World) noteWrites(transaction store.Transaction) {
	for _, write := range transaction.Writes {
		if w.options.Follow != "" && strings.HasSuffix(write.Key, "/"+w.options.Follow) {
			w.log("table", write.Key+" "+string(write.Value))
		}
		switch {
		case write.Key == headRow:
			w.noteConfiguration(write)
		case strings.HasPrefix(write.Key, leaseRow):
			w.noteLease(write)
		}
	}
}

func (w *World) noteConfiguration(write store.Write) {
	var head control.Head
	_ = json.Unmarshal(write.Value, &head)
	var tenants []string
	for _, row := range w.site.Table.Scan(tenantRow, 0).Rows {
		tenants = append(tenants, strings.TrimPrefix(row.Key, tenantRow))
	}
	w.confirmedAt[head.Version] = w.clock.now
	w.History.Confirmed = append(w.History.Confirmed, checker.Confirmed{At: w.clock.now, Version: head.Version, Tenants: tenants})
}

// noteLease measures how long a domain was without a serving owner.
func (w *World) noteLease(write store.Write) {
	var lease blackboard.Lease
	_ = json.Unmarshal(write.Value, &lease)
	since, waiting := w.unowned[lease.Domain]
	if lease.Active && waiting {
		w.TakeoverSeconds = append(w.TakeoverSeconds, w.clock.now.Sub(since).Seconds())
		delete(w.unowned, lease.Domain)
	}
}

// watchWorker lets what ends by itself on a worker end in time.
func (w *World) watchWorker(name string) {
	at, ok := w.site.Worker(name).NextEvent()
	if known, set := w.watching[name]; !ok || set && !at.Before(known) && known.After(w.clock.now) {
		return
	}
	w.watching[name] = at
	w.clock.At(at, func() {
		delete(w.watching, name)
		w.site.AdvanceWorker(w.clock.now, name)
		w.watchWorker(name)
	})
}
