package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// Commands to workers are hedged: without a response within secondTryLeast, or within
// secondTryRatio times the recent average latency if that is longer, a second copy is sent
// while the first is pending. Workers handle starts and stops idempotently.
const (
	secondTryLeast = 60 * time.Millisecond
	secondTryRatio = 4
	// orderLatencyMemory is the number of commands over which the latency is averaged.
	orderLatencyMemory = 32
)

// secondTryAfter returns the time without a response after which a command is sent again.
func (p *Pool) secondTryAfter() time.Duration {
	delay := max(secondTryLeast, secondTryRatio*p.orderLatency)
	if p.options.Late != nil {
		delay += p.options.Late()
	}
	return delay
}

// tries is the state of one hedged command.
type tries struct {
	// open is the number of copies without a response or failure.
	open int
	// answered is true once the command's outcome is known or all copies failed.
	answered bool
}

// unanswered reports whether the first copy is pending and no other was sent.
func (t *tries) unanswered() bool { return t.open == 1 && !t.answered }

// repeatedOrder is a hedged command to a worker.
type repeatedOrder struct {
	// name is the command's name in counters.
	name string
	// current reports whether the command still concerns its member's latest run, and wanted
	// whether a second copy is still useful.
	current, wanted func() bool
	send            func(done func(fleet.Reply, error))
	// answered handles the response to one copy, or its failure.
	answered func(sent *tries, reply fleet.Reply, err error)
}

// sendTwice sends a command, and a second copy if there is no response after secondTryAfter. It
// returns the state of the hedged command.
func (p *Pool) sendTwice(order *repeatedOrder) *tries {
	state := &tries{}
	sendCopy := func() {
		p.record.Count("worker_orders", order.name)
		state.open++
		order.send(func(reply fleet.Reply, err error) {
			state.open--
			if order.current() {
				order.answered(state, reply, err)
			}
		})
	}
	sendCopy()
	p.loop.After(p.secondTryAfter(), func() {
		if order.current() && order.wanted() && state.unanswered() {
			p.record.Count("retries", order.name+"_unanswered")
			sendCopy()
		}
	})
	return state
}
