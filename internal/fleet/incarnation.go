package fleet

import "strconv"

// Incarnation identifies one incarnation of a worker, from the start of its process to its end. The
// next incarnation under the same ID has no runs, numbers its ended runs from 1, has seen no
// fencing token, and has another clock.
type Incarnation struct {
	ID string
	// StartMillis is the start time in milliseconds since 1970 on the worker's clock. It is 0 on
	// platforms whose worker IDs are never reused.
	StartMillis int64
}

// startTimeSeparator separates the ID from the start time.
const startTimeSeparator = "@"

// String returns the ID, followed by the start time if known.
func (l Incarnation) String() string {
	if l.StartMillis == 0 {
		return l.ID
	}
	return l.ID + startTimeSeparator + strconv.FormatInt(l.StartMillis, 10)
}
