package telemetry

import (
	"sync"
	"time"
)

// Budgets bound the lines a second of one decision. Decisions about a single request
// get more, so that they are the last to go.
const (
	defaultBudget = 200
	requestBudget = 1000
)

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
	if requestDecisions[decision] {
		limit = requestBudget
	}
	if b.written[decision] >= limit {
		b.left[decision]++
		return false, leftOut
	}
	b.written[decision]++
	return true, leftOut
}
