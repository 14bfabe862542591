package fleet

import "strconv"

// Incarnation identifies one incarnation of a worker, which lasts as long as the worker's process.
// The next incarnation with the same ID has no runs and another clock. It numbers its ended runs
// from 1 and has seen no fencing token.
type Incarnation struct {
	ID string
	// StartMillis is the start time in milliseconds since 1970 on the worker's clock. It is 0 on
	// platforms whose worker IDs are never reused.
	StartMillis int64
}

// startTimeSeparator separates the ID from the start time in the result of String.
const startTimeSeparator = "@"

// String returns the ID. If the start time is known, it follows the ID.
func (i Incarnation) String() string {
	if i.StartMillis == 0 {
		return i.ID
	}
	return i.ID + startTimeSeparator + strconv.FormatInt(i.StartMillis, 10)
}
