package pool

import "time"

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
	return max(secondTryLeast, secondTryRatio*p.orderLatency)
}

// tries are the tries of one order that are under way.
type tries struct {
	open int
	// answered is true once it is known what became of the order, or all tries failed.
	answered bool
}

// unanswered reports whether the only try so far is under way still.
func (t *tries) unanswered() bool { return t.open == 1 && !t.answered }
