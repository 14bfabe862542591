package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLatenessIsAllowedFor: an owner at the limit of its processor took answers that it read
// late for none, and opened connections anew until it did little else.
func TestLatenessIsAllowedFor(t *testing.T) {
	var l lateness
	l.note(latenessNoticed - time.Millisecond)
	require.Zero(t, l.allowance(), "timers are always a little late")
	l.note(100 * time.Millisecond)
	require.Equal(t, latenessFactor*100*time.Millisecond, l.allowance())
	l.note(10 * time.Second)
	require.Equal(t, latenessLimit, l.allowance())
	for range latenessMemory {
		l.note(0)
	}
	require.Zero(t, l.allowance(), "what was long ago is forgotten")
}

// TestOnlyOwnersWatchTheirLateness: the timers of a node that is late by a second, with and
// without a pool.
func TestOnlyOwnersWatchTheirLateness(t *testing.T) {
	n := owningNode(t, nil)
	n.watchLateness()
	n.watchLateness()
	require.Len(t, n.loop.timers, 1)
	n.loop.pass(latenessCheck + 200*time.Millisecond)
	require.Equal(t, latenessFactor*200*time.Millisecond, n.lateness.allowance())
	delete(n.owned, poolName)
	n.loop.pass(latenessCheck)
	require.Zero(t, n.lateness.allowance())
	require.Empty(t, n.loop.timers)
}
