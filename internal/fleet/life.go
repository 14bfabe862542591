package fleet

import "strconv"

// Life is one life of a worker: from a start of its process to the end of that process. A worker
// may start again under its identifier. The next life runs nothing, numbers its ends from 1, has
// seen no fencing token and has another clock.
type Life struct {
	ID string
	// Born is when the life began, in milliseconds since 1970 on the worker's clock; 0 where the
	// platform does not tell lives apart, and an identifier stands for one life.
	Born int64
}

// bornSeparator stands between the identifier and the time of birth.
const bornSeparator = "@"

// String renders the life; without a time of birth it is the identifier.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + bornSeparator + strconv.FormatInt(l.Born, 10)
}
