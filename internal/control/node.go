package control

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/machines"
)

// Node is the control state of one process.
type Node struct {
	options Options
	loop    loop.Loop
	ports   Ports
	record  Recorder
	board   *blackboard.Board
	view    atomic.Pointer[blackboard.View]
	domains map[string]*domain
	// watchRevision is the table revision up to which the board is read.
	watchRevision int64
	machineCursor int64
	beat          int64
	writeSerial   int64
	// tenantRows holds the configuration's rows by tenant until the head row that
	// belongs to them is read.
	tenantRows map[string]declaration.Tenant
	rackRow    []string
	head       Head
	// byDomain caches the machines by domain until the list changes.
	byDomain map[string][]machines.Machine
	// acquiring marks domains with an acquisition under way.
	acquiring map[string]bool
	startedAt time.Time
	stopped   bool
	// drained runs once no domain is left after a planned stop.
	drained func()
	watcher *poller
	member  *poller
}

// NewNode returns a node that does nothing until Start.
func NewNode(options Options, l loop.Loop, ports Ports, record Recorder) *Node {
	n := &Node{
		options: options, loop: l, ports: ports, record: record,
		board:      blackboard.NewBoard(),
		domains:    map[string]*domain{},
		tenantRows: map[string]declaration.Tenant{},
		acquiring:  map[string]bool{},
	}
	n.view.Store(&blackboard.View{Node: options.Node})
	return n
}

// Start begins the node's periodic work. It must run on the loop.
func (n *Node) Start() {
	n.startedAt = n.loop.Now()
	n.watcher = n.poll(n.options.Timing.Watch, n.watch)
	n.member = n.poll(n.options.Timing.Heartbeat, n.heartbeat)
	n.poll(n.options.Timing.MachineList, n.readMachines)
	n.poll(n.options.Timing.Renewal, n.renewLeases)
}

// Halt stops all periodic work at once, as a killed process would.
func (n *Node) Halt() { n.stopped = true }

// View returns what traffic goroutines may know. It may be called anywhere.
func (n *Node) View() *blackboard.View { return n.view.Load() }

// Loop returns the node's loop.
func (n *Node) Loop() loop.Loop { return n.loop }

// Timing returns the node's periods and limits.
func (n *Node) Timing() Timing { return n.options.Timing }

// publish makes the board's present content visible to traffic goroutines.
func (n *Node) publish() {
	view := &blackboard.View{
		Node:          n.options.Node,
		Configuration: n.board.Configuration,
		Leases:        map[string]blackboard.Lease{},
		Domains:       n.machinesByDomain(),
		UpdatedAt:     n.board.UpdatedAt,
		Draining:      n.board.Draining,
		Synced:        n.watchRevision > 0,
		Owned:         map[string]bool{},
	}
	view.Members = n.liveMembers()
	for name, lease := range n.board.Leases {
		view.Leases[name] = lease.Value
	}
	for name, d := range n.domains {
		view.Owned[name] = d.active
	}
	n.view.Store(view)
}

// domainOf returns the scheduling domain of a machine.
func (n *Node) domainOf(m *machines.Machine) string {
	if n.options.RegionDomains {
		return m.Region
	}
	return m.Domain()
}

// machinesByDomain is made anew only when the machine list changed; views share it.
func (n *Node) machinesByDomain() map[string][]machines.Machine {
	if n.byDomain != nil {
		return n.byDomain
	}
	byDomain := map[string][]machines.Machine{}
	for _, name := range sortedKeys(n.board.Machines) {
		machine := n.board.Machines[name]
		if machine.Status != machines.Gone {
			byDomain[n.domainOf(&machine)] = append(byDomain[n.domainOf(&machine)], machine)
		}
	}
	n.byDomain = byDomain
	return byDomain
}

// nextWrite returns an identifier for one write, unique over all processes.
func (n *Node) nextWrite() string {
	n.writeSerial++
	return fmt.Sprintf("%s.%d", n.options.Incarnation, n.writeSerial)
}

// poller repeats a piece of work with a pause between the end of one run and the
// start of the next.
type poller struct {
	node  *Node
	pause time.Duration
	work  func(done func())
	busy  bool
	again bool
	stop  func()
}

func (n *Node) poll(pause time.Duration, work func(done func())) *poller {
	p := &poller{node: n, pause: pause, work: work}
	p.run()
	return p
}

func (p *poller) run() {
	if p.node.stopped {
		return
	}
	p.busy = true
	p.again = false
	p.work(func() {
		p.busy = false
		pause := p.pause
		if p.again {
			pause = 0
		}
		p.stop = p.node.loop.After(pause, p.run)
	})
}

// now starts the next run at once, or as soon as the present one ends.
func (p *poller) now() {
	if p.busy {
		p.again = true
		return
	}
	p.stop()
	p.run()
}
