package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// Commands to workers are hedged: if a worker does not respond in time, the owner sends a second
// copy while the first is pending. The delay is minHedgeDelay or hedgeDelayRatio times the recent
// average latency, whichever is longer. A worker usually responds within a few milliseconds, and
// waiting for the timeout of the first copy would delay a whole gang. Workers handle starts and
// stops idempotently.
const (
	minHedgeDelay   = 60 * time.Millisecond
	hedgeDelayRatio = 4
	// commandLatencySamples is the number of commands over which the latency is averaged.
	commandLatencySamples = 32
)

// hedgeDelay returns the time without a response after which a command is sent again.
func (p *Pool) hedgeDelay() time.Duration {
	delay := max(minHedgeDelay, hedgeDelayRatio*p.commandLatency)
	if p.options.SchedulingDelay != nil {
		delay += p.options.SchedulingDelay()
	}
	return delay
}

// hedgedCall is the state of one hedged command.
type hedgedCall struct {
	// sentAt is when the first copy was sent.
	sentAt time.Time
	// pending is the number of copies without a response or failure.
	pending int
	// answered is true once the command's outcome is known or all copies failed.
	answered bool
}

// oneCopyPending reports whether exactly one copy is pending and the command is not answered.
func (c *hedgedCall) oneCopyPending() bool { return c.pending == 1 && !c.answered }

// hedgedCommand is a hedged command to a worker.
type hedgedCommand struct {
	// worker is where the copies are sent.
	worker *worker
	// name is the command's name in counters.
	name string
	// isCurrent reports whether the command still concerns its member's latest run, and shouldRetry
	// whether a second copy is still useful.
	isCurrent, shouldRetry func() bool
	send                   func(done func(fleet.Reply, error))
	// onResult handles the response to one copy, or its failure. call says where and when that copy was
	// sent.
	onResult func(sent *hedgedCall, call workerCall, reply fleet.Reply, err error)
}

// sendHedged sends a command, and a second copy if there is no response after hedgeDelay. It
// returns the state of the hedged command.
func (p *Pool) sendHedged(command *hedgedCommand) *hedgedCall {
	state := &hedgedCall{sentAt: p.loop.Now()}
	sendCopy := func() {
		p.record.Count("worker_orders", command.name)
		state.pending++
		call := p.callTo(command.worker)
		command.send(func(reply fleet.Reply, err error) {
			state.pending--
			if command.isCurrent() {
				command.onResult(state, call, reply, err)
			}
		})
	}
	sendCopy()
	p.loop.After(p.hedgeDelay(), func() {
		if command.isCurrent() && command.shouldRetry() && state.oneCopyPending() {
			p.record.Count("retries", command.name+"_unanswered")
			sendCopy()
		}
	})
	return state
}
