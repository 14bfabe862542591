package emulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// ports are the control.Ports of one node in the emulated world.
type ports struct {
	world *World
	node  *node
}

// exchange carries one call: the effect at the far side and the answer back, each
// subject to the link's cut and to the service's fault. Lost answers come back as
// failed once the time limit has passed.
func exchange[T any](p *ports, to target, fault standin.Fault, latency time.Duration, effect func() T, answered func(T), failed func(hadEffect bool)) {
	w := p.world
	verdict := fault.Apply(w.random)
	broken := w.network.of(p.node.name, to)
	process := p.node.process
	w.Bytes[p.node.name] += messageOverhead
	if verdict.Rejected && broken == cutNone {
		w.clock.After(2*latency, func() { process.run(func() { failed(false) }) })
		return
	}
	noEffect := broken == cutBoth || verdict.NoEffect
	lost := noEffect || broken == cutAnswers || verdict.AnswerLost
	if !noEffect {
		w.clock.After(latency+verdict.Delay, func() {
			answer := effect()
			if !lost && latency+verdict.Delay < callTimeout {
				w.clock.After(latency, func() { process.run(func() { answered(answer) }) })
			}
		})
	}
	if lost || latency+verdict.Delay >= callTimeout {
		w.clock.After(callTimeout, func() { process.run(func() { failed(true) }) })
	}
}

// messageOverhead stands for the headers of a request and its answer, in bytes.
const messageOverhead = 300

func (p *ports) tableFault(read bool) standin.Fault {
	if read && p.world.faults.reads.Mode != "" {
		return p.world.faults.reads
	}
	return p.world.faults.table
}

// Commit applies a transaction.
func (p *ports) Commit(transaction store.Transaction, done func(store.CommitResult, error)) {
	p.world.count(p.node.name, transaction)
	fault := p.tableFault(false)
	if p.world.script != nil {
		fault = p.world.script.fateOf(transaction)
	}
	exchange(p, targetTable, fault, tableLatency, func() store.CommitResult {
		result := p.world.site.Table.Commit(transaction)
		if result.Committed {
			p.world.noteWrites(transaction)
		}
		return result
	}, func(result store.CommitResult) { done(result, nil) }, func(hadEffect bool) {
		if hadEffect {
			done(store.CommitResult{}, store.ErrOutcomeUnknown)
		} else {
			done(store.CommitResult{}, store.ErrUnavailable)
		}
	})
}

// Scan reads the rows under a prefix.
func (p *ports) Scan(prefix string, since int64, done func(store.ScanResult, error)) {
	exchange(p, targetTable, p.tableFault(true), tableLatency,
		func() store.ScanResult { return p.world.site.Table.Scan(prefix, since) },
		func(result store.ScanResult) {
			p.world.count(p.node.name, result)
			done(result, nil)
		},
		func(bool) { done(store.ScanResult{}, store.ErrUnavailable) })
}

// Get reads one row.
func (p *ports) Get(key string, done func(store.Row, error)) {
	exchange(p, targetTable, p.tableFault(true), tableLatency,
		func() store.Row { return p.world.site.Table.Get(key) },
		func(row store.Row) { done(row, nil) },
		func(bool) { done(store.Row{}, store.ErrUnavailable) })
}

// Send delivers an order to a worker.
func (p *ports) Send(name, _ string, order worker.Order, done func(worker.Reply, error)) {
	w := p.world
	zone := zoneOf(name)
	p.world.count(p.node.name, order)
	if w.script != nil && order.Job != "" {
		w.script.orders++
		if w.script.orders == w.script.freezeAtOrder {
			w.freezeNode(p.node, scriptFreeze)
		}
	}
	exchange(p, workersIn(zone), w.faults.workers[name], workerLatency, func() worker.Reply {
		reply, _ := w.site.Order(w.clock.now, name, order)
		if w.options.Follow != "" && order.Job == w.options.Follow {
			w.log(p.node.name, fmt.Sprintf("order %s attempt %d epoch %d to %s: %q", order.Action, order.Attempt, order.Epoch, name, reply.Refusal))
		}
		w.watchWorker(name)
		return reply
	}, func(reply worker.Reply) {
		p.world.count(p.node.name, reply)
		done(reply, nil)
	}, func(bool) { done(worker.Reply{}, store.ErrOutcomeUnknown) })
}

func zoneOf(name string) string {
	parts := strings.SplitN(name, "/", 3)
	return parts[0] + "/" + parts[1]
}

// Waits of the report feed.
const (
	feedWait = 2 * time.Second
	feedStep = 200 * time.Millisecond
)

// Reports reads a domain's feed, waiting a while for news.
func (p *ports) Reports(domain string, cursor int64, done func(worker.Reports, error)) {
	if p.world.network.of(p.node.name, workersIn(domain)) != cutNone {
		p.world.clock.After(callTimeout, func() {
			p.node.process.run(func() { done(worker.Reports{}, store.ErrUnavailable) })
		})
		return
	}
	p.world.Bytes[p.node.name] += messageOverhead
	p.lookAtFeed(domain, cursor, p.world.clock.now.Add(feedWait), done)
}

func (p *ports) lookAtFeed(domain string, cursor int64, until time.Time, done func(worker.Reports, error)) {
	clock := p.world.clock
	reports := p.world.site.Reports(clock.now, domain, cursor)
	if len(reports.Reports) == 0 && cursor >= 0 && clock.now.Before(until) && !p.node.process.dead {
		clock.After(feedStep, func() { p.lookAtFeed(domain, cursor, until, done) })
		return
	}
	p.world.count(p.node.name, reports)
	clock.After(workerLatency, func() { p.node.process.run(func() { done(reports, nil) }) })
}

// Machines reads the changes of the machine list.
func (p *ports) Machines(cursor int64, done func(machines.Update, error)) {
	exchange(p, targetMachines, p.world.faults.machines, tableLatency,
		func() machines.Update { return p.world.site.Changes(p.world.clock.now, cursor) },
		func(update machines.Update) { done(update, nil) },
		func(bool) { done(machines.Update{}, store.ErrUnavailable) })
}

// Announce asks another node to read the table now.
func (p *ports) Announce(address string) {
	w := p.world
	other := w.byAddress(address)
	if other == nil || w.network.of(p.node.name, nodeTarget(other.name)) == cutBoth {
		return
	}
	w.clock.After(nodeLatency, func() { other.process.run(other.control.Refresh) })
}

// count adds a message's size to what a node has sent and received.
func (w *World) count(node string, message any) {
	if !w.options.CountBytes {
		return
	}
	document, _ := json.Marshal(message)
	w.Bytes[node] += int64(len(document))
	w.Messages[node]++
}
