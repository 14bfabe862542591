package telemetry

import (
	"sync"
	"time"
)

// Budgets bound the lines a second of one decision. Decisions about a single request
// get more, so that they are the last to go; those about single runs too, since an owner
// of 350 workers has some 300 of them in a busy second.
const (
	defaultBudget = 200
	runBudget     = 600
	requestBudget = 1000
)

// runDecisions are the decisions about single runs.
var runDecisions = map[string]bool{"placed": true, "run ended": true, "stopped": true}

// requestDecisions are the decisions that tell a caller something.
var requestDecisions = map[string]bool{
	"job accepted": true, "job not accepted": true, "job ended": true, "lookup refused": true,
	"cancellation accepted": true, "cancellation refused": true, "request refused": true,
}

// lineBudget decides which lines are written in a second.
type lineBudget struct {
	mutex   sync.Mutex
	now     func() time.Time
	second  int64
	written map[string]int
	left    map[string]int
}

func newLineBudget(now func() time.Time) *lineBudget {
	return &lineBudget{now: now, written: map[string]int{}, left: map[string]int{}}
}

// take reports whether a line of a decision may be written. In a new second it also
// returns how many lines of each decision the last one left out.
func (b *lineBudget) take(decision string) (allowed bool, leftOut map[string]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if second := b.now().Unix(); second != b.second {
		b.second = second
		clear(b.written)
		if len(b.left) > 0 {
			leftOut, b.left = b.left, map[string]int{}
		}
	}
	limit := defaultBudget
	switch {
	case requestDecisions[decision]:
		limit = requestBudget
	case runDecisions[decision]:
		limit = runBudget
	}
	if b.written[decision] >= limit {
		b.left[decision]++
		return false, leftOut
	}
	b.written[decision]++
	return true, leftOut
}
