package fleet

import "strconv"

// Life identifies one incarnation of a worker, from the start of its process to its end. The next
// incarnation under the same ID has no runs, numbers its ended runs from 1, has seen no fencing
// token, and has another clock.
type Life struct {
	ID string
	// Born is the start time in milliseconds since 1970 on the worker's clock. It is 0 on
	// platforms whose worker IDs are never reused.
	Born int64
}

// startTimeSeparator separates the ID from the start time.
const startTimeSeparator = "@"

// String returns the ID, followed by the start time if known.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + startTimeSeparator + strconv.FormatInt(l.Born, 10)
}
