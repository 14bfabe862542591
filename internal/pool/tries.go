package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// An order without an answer is sent a second time after secondTryLeast, or after
// secondTryRatio times what orders have lately taken if that is longer, beside the first
// one. Workers answer in some 4 ms, and start or stop a run once, however often they are
// told; to wait for the first one's time to run out cost an urgent gang 0.4 s.
const (
	secondTryLeast = 60 * time.Millisecond
	secondTryRatio = 4
	// orderLatencyMemory is over how many orders their latency is averaged.
	orderLatencyMemory = 32
)

// secondTryAfter is how long an order may go without an answer before it is sent again.
func (p *Pool) secondTryAfter() time.Duration {
	after := max(secondTryLeast, secondTryRatio*p.orderLatency)
	if p.options.Late != nil {
		after += p.options.Late()
	}
	return after
}

// tries are the tries of one order that are under way.
type tries struct {
	open int
	// answered is true once it is known what became of the order, or all tries failed.
	answered bool
}

// unanswered reports whether the only try so far is under way still.
func (t *tries) unanswered() bool { return t.open == 1 && !t.answered }

// repeatedOrder is an order to a worker that gets a second try.
type repeatedOrder struct {
	// name is the order's in counters.
	name string
	// current reports whether the order still is about its member's present run, and wanted
	// whether a second try still makes sense.
	current, wanted func() bool
	send            func(done func(fleet.Reply, error))
	// answered takes in what became of one try.
	answered func(sent *tries, reply fleet.Reply, err error)
}

// sendTwice sends an order, and once more if it has no answer after a while. It returns the
// tries.
func (p *Pool) sendTwice(order *repeatedOrder) *tries {
	sent := &tries{}
	try := func() {
		p.record.Count("worker_orders", order.name)
		sent.open++
		order.send(func(reply fleet.Reply, err error) {
			sent.open--
			if order.current() {
				order.answered(sent, reply, err)
			}
		})
	}
	try()
	p.loop.After(p.secondTryAfter(), func() {
		if order.current() && order.wanted() && sent.unanswered() {
			p.record.Count("retries", order.name+"_unanswered")
			try()
		}
	})
	return sent
}
