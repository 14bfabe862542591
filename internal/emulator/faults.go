package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	NodeKill      FaultKind = "node_kill"
	NodeFreeze    FaultKind = "node_freeze"
	NodeStop      FaultKind = "planned_stop"
	LinkCut       FaultKind = "link_cut"
	StoreDown     FaultKind = "store_down"
	StoreSlow     FaultKind = "store_slow"
	StoreLossy    FaultKind = "store_answers_lost"
	StoreLate     FaultKind = "store_late_effect"
	ReadsDown     FaultKind = "store_reads_down"
	MachineFails  FaultKind = "machine_fails"
	MachineLeaves FaultKind = "machine_leaves"
	RackFails     FaultKind = "rack_fails"
	ZoneFails     FaultKind = "zone_fails"
)

// Rates are faults an hour by kind.
type Rates map[FaultKind]float64

// HeavyRates make every kind of fault happen often in a few virtual hours.
func HeavyRates() Rates {
	return Rates{
		NodeKill: 12, NodeFreeze: 12, NodeStop: 8, LinkCut: 20, StoreDown: 3, StoreSlow: 3,
		StoreLossy: 6, StoreLate: 6, ReadsDown: 4, MachineFails: 10, MachineLeaves: 10, RackFails: 1, ZoneFails: 0.2,
	}
}

// StopRates make planned stops frequent and the store slow, so that requests are
// under way when a node stops.
func StopRates() Rates { return Rates{NodeStop: 60, StoreSlow: 20} }

// PlanRates are the fault rates of the plan for a site of so many machines and
// nodes: 180 of 13,000 machines fail a day and 1,100 are restarted or replaced; a
// rack goes every week, a zone a few times a year, a link or the store now and
// then.
func PlanRates(workers, nodes int) Rates {
	const hoursPerDay = 24.0
	share := float64(workers) / 13000 / hoursPerDay
	nodeShare := float64(nodes) / 13000 / hoursPerDay
	return Rates{
		MachineFails: 180 * share, MachineLeaves: 1100 * share,
		NodeKill: 180 * nodeShare, NodeStop: 1100 * nodeShare, NodeFreeze: 180 * nodeShare,
		RackFails: 1 / (7 * hoursPerDay), ZoneFails: 4 / (365 * hoursPerDay),
		LinkCut: 1 / hoursPerDay, StoreDown: 1 / (7 * hoursPerDay), StoreSlow: 2 / (7 * hoursPerDay),
		StoreLossy: 1 / hoursPerDay, StoreLate: 1 / hoursPerDay, ReadsDown: 1 / (7 * hoursPerDay),
	}
}

// Inject lets faults happen at the given rates until a time.
func (w *World) Inject(rates Rates, until time.Time) {
	random := rand.New(rand.NewPCG(w.options.Seed, 2))
	for _, kind := range faultKinds() {
		if rates[kind] > 0 {
			w.injectNext(kind, rates[kind], random, until)
		}
	}
}

func faultKinds() []FaultKind {
	return []FaultKind{
		NodeKill, NodeFreeze, NodeStop, LinkCut, StoreDown, StoreSlow, StoreLossy, StoreLate,
		ReadsDown, MachineFails, MachineLeaves, RackFails, ZoneFails,
	}
}

func (w *World) injectNext(kind FaultKind, rate float64, random *rand.Rand, until time.Time) {
	at := w.clock.now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Hour)))
	if at.After(until) {
		return
	}
	w.clock.At(at, func() {
		w.Fault(kind, random)
		w.injectNext(kind, rate, random, until)
	})
}

// Fault makes one fault of a kind happen now, with drawn victims and length.
func (w *World) Fault(kind FaultKind, random *rand.Rand) {
	w.Counters["fault/"+string(kind)]++
	w.log("fault", string(kind))
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + random.Float64()*(high-low)) * float64(time.Second))
	}
	switch kind {
	case NodeKill:
		w.killNode(w.drawNode(random), seconds(2, 60))
	case NodeFreeze:
		w.freezeNode(w.drawNode(random), seconds(3, 45))
	case NodeStop:
		w.stopNode(w.drawNode(random), seconds(1, 20))
	case LinkCut:
		w.cutLink(random, seconds(5, 90))
	case StoreDown:
		w.storeFault(standin.Fault{Mode: standin.Down}, seconds(10, 180))
	case StoreSlow:
		w.storeFault(standin.Fault{Mode: standin.Slow, DelaySeconds: 0.2 + 4*random.Float64()}, seconds(10, 120))
	case StoreLossy:
		w.storeFault(standin.Fault{Mode: standin.Lossy, Share: 0.3}, seconds(10, 120))
	case StoreLate:
		w.storeFault(standin.Fault{Mode: standin.Late, Share: 0.3, DelaySeconds: 1 + 20*random.Float64()}, seconds(10, 120))
	case ReadsDown:
		w.readsFault(seconds(10, 60))
	case MachineFails:
		w.failMachine(w.drawWorker(random), seconds(30, 600))
	case MachineLeaves:
		w.leaveMachine(w.drawWorker(random), seconds(30, 300))
	case RackFails:
		w.failGroup(w.drawWorker(random), rackOf, seconds(30, 300))
	case ZoneFails:
		w.failGroup(w.drawWorker(random), zoneOf, seconds(30, 200))
	}
}

func (w *World) drawNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

func (w *World) drawWorker(random *rand.Rand) string {
	names := w.site.Names()
	return names[random.IntN(len(names))]
}

func rackOf(name string) string { return name[:len(name)-len("/workerNN")] }

// outage notes that a node, or every node for an empty name, is excused.
func (w *World) outage(node string, length time.Duration) {
	w.History.Outages = append(w.History.Outages, checker.Outage{Node: node, From: w.clock.now, Until: w.clock.now.Add(length + recoverySlack)})
}

// recoverySlack is what a node may take to catch up after an outage.
const recoverySlack = 10 * time.Second

// noteUnowned marks the domains of a node as waiting for another owner.
func (w *World) noteUnowned(n *node) {
	for domain := range n.control.View().Owned {
		if _, waiting := w.unowned[domain]; !waiting {
			w.unowned[domain] = w.clock.now
		}
	}
}

// killNode ends a process at once; its machine's replacement starts later.
func (w *World) killNode(n *node, length time.Duration) {
	if n.down || n.stopping {
		return
	}
	w.outage(n.name, length)
	w.noteUnowned(n)
	w.kill(n)
	w.clock.After(length, func() { w.boot(n.name, n.zone) })
}

// freezeNode pauses a process; it does not notice.
func (w *World) freezeNode(n *node, length time.Duration) {
	if n.down {
		return
	}
	w.outage(n.name, length)
	n.process.frozenUntil = w.clock.now.Add(length)
}

// stopNode stops a process the planned way and starts its successor afterwards.
// Without the mechanism it is ended like a killed one.
func (w *World) stopNode(n *node, pause time.Duration) {
	if n.down || n.stopping {
		return
	}
	n.stopping = true
	w.noteUnowned(n)
	w.outage(n.name, callDeadline+pause+recoverySlack)
	restart := func() {
		w.kill(n)
		w.clock.After(pause, func() { w.boot(n.name, n.zone) })
	}
	if w.options.Mechanisms.WithoutPlannedStop {
		restart()
		return
	}
	n.process.Post(func() {
		n.control.Drain(func() { w.endWhenQuiet(n, w.clock.now.Add(w.options.Timing.DrainGrace), restart) })
	})
}

// endWhenQuiet waits until the node has answered every request under way.
func (w *World) endWhenQuiet(n *node, earliest time.Time, restart func()) {
	if n.down {
		return
	}
	if len(n.open) == 0 && !w.clock.now.Before(earliest) {
		restart()
		return
	}
	w.clock.After(100*time.Millisecond, func() { w.endWhenQuiet(n, earliest, restart) })
}

func (w *World) cutLink(random *rand.Rand, length time.Duration) {
	n := w.drawNode(random)
	other := w.drawNode(random)
	targets := []target{targetTable, targetMachines, workersIn(zoneOf(w.drawWorker(random))), nodeTarget(other.name)}
	broken := link{n.name, targets[random.IntN(len(targets))]}
	kind := cutBoth
	if random.Float64() < 0.5 {
		kind = cutAnswers
	}
	w.outage(n.name, length)
	w.network.cuts[broken] = kind
	w.clock.After(length, func() { delete(w.network.cuts, broken) })
}

func (w *World) storeFault(fault standin.Fault, length time.Duration) {
	w.outage("", length)
	w.faults.table = fault
	w.clock.After(length, func() {
		if w.faults.table == fault {
			w.faults.table = standin.Fault{}
		}
	})
}

func (w *World) readsFault(length time.Duration) {
	w.outage("", length)
	w.faults.reads = standin.Fault{Mode: standin.Down}
	w.clock.After(length, func() { w.faults.reads = standin.Fault{} })
}

// failMachine takes a worker down with everything on it.
func (w *World) failMachine(name string, length time.Duration) {
	if w.faults.workers[name].Mode != "" || w.site.Worker(name).Leaving() {
		return
	}
	w.site.Worker(name).Restart(w.clock.now)
	w.faults.workers[name] = standin.Fault{Mode: standin.Unresponsive}
	w.site.SetStatus(w.clock.now, name, machines.Gone)
	w.clock.After(length, func() {
		delete(w.faults.workers, name)
		w.site.Worker(name).Restart(w.clock.now)
		w.site.SetStatus(w.clock.now, name, machines.Live)
	})
}

// leaveMachine takes a worker out of service the planned way, and back later.
func (w *World) leaveMachine(name string, length time.Duration) {
	if w.faults.workers[name].Mode != "" || w.site.Worker(name).Leaving() {
		return
	}
	w.site.SetStatus(w.clock.now, name, machines.Leaving)
	w.site.Worker(name).RefuseLeaving = false
	w.History.Leaving = append(w.History.Leaving, checker.Leaving{Worker: name, From: w.clock.now, Until: w.clock.now.Add(length)})
	w.clock.After(length, func() {
		if w.faults.workers[name].Mode == "" {
			w.site.SetStatus(w.clock.now, name, machines.Live)
		}
	})
}

func (w *World) failGroup(member string, group func(string) string, length time.Duration) {
	for _, name := range w.site.Names() {
		if group(name) == group(member) {
			w.failMachine(name, length)
		}
	}
}
