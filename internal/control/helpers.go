package control

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// backoff returns the pause before the given retry, counted from 0, doubling up
// to a limit. Jitter is drawn by the caller's node from its own identity, so that
// nodes which fail together do not return together.
func (n *Node) backoff(retry int) time.Duration {
	pause := n.options.Timing.RetryBase
	for range min(retry, maxDoublings) {
		pause *= 2
	}
	pause = min(pause, n.options.Timing.RetryMax)
	return pause/2 + time.Duration(n.jitter()*float64(pause)/2)
}

const maxDoublings = 16

// jitter returns a number from 0 to 1 that differs between nodes and calls.
func (n *Node) jitter() float64 {
	n.writeSerial++
	return float64(hash(n.options.Incarnation, n.writeSerial)%jitterSteps) / jitterSteps
}

const jitterSteps = 1024

// decode reads a row. It reports false for a row that is absent or malformed.
func decode[T any](value []byte) (T, bool) {
	var decoded T
	if len(value) == 0 || json.Unmarshal(value, &decoded) != nil {
		return decoded, false
	}
	return decoded, true
}
