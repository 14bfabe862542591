package pool

import "slices"

// numberRanges is a set of numbers, kept as ranges. The numbers at even indexes each begin a range, and the
// number after each ends it, exclusively. They rise strictly.
type numberRanges []int

// valid reports whether the ranges are well formed and all numbers are at least 0 and below limit.
func (r numberRanges) valid(limit int) bool {
	if len(r)%2 != 0 {
		return false
	}
	last := -1
	for _, bound := range r {
		if bound <= last || bound > limit {
			return false
		}
		last = bound
	}
	return true
}

// position returns the number of bounds up to n.
func (r numberRanges) position(n int) int {
	at, found := slices.BinarySearch(r, n)
	if found {
		at++
	}
	return at
}

// contains reports whether the set holds a number.
func (r numberRanges) contains(n int) bool { return r.position(n)%2 == 1 }

// count returns how many numbers the set holds.
func (r numberRanges) count() int {
	count := 0
	for i := 0; i+1 < len(r); i += 2 {
		count += r[i+1] - r[i]
	}
	return count
}

// end returns the number after the highest one; 0 if the set is empty.
func (r numberRanges) end() int {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1]
}

// with returns the set with a number added.
func (r numberRanges) with(n int) numberRanges {
	at := r.position(n)
	if at%2 == 1 {
		return r
	}
	joinsEarlier, joinsLater := at > 0 && r[at-1] == n, at < len(r) && r[at] == n+1
	switch {
	case joinsEarlier && joinsLater:
		return slices.Delete(r, at-1, at+1)
	case joinsEarlier:
		r[at-1] = n + 1
		return r
	case joinsLater:
		r[at] = n
		return r
	}
	return slices.Insert(r, at, n, n+1)
}
