package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSchedulingDelayExtendsTimeouts: an owner short of processor time reads replies late. Calls to
// workers must not time out because of this.
func TestSchedulingDelayExtendsTimeouts(t *testing.T) {
	var l schedulingDelay
	l.record(minSchedulingDelay - time.Millisecond)
	require.Zero(t, l.timeoutExtension(), "a small delay must not extend timeouts")
	l.record(100 * time.Millisecond)
	require.Equal(t, timeoutExtensionFactor*100*time.Millisecond, l.timeoutExtension())
	l.record(10 * time.Second)
	require.Equal(t, maxTimeoutExtension, l.timeoutExtension())
	for range delaySampleCount {
		l.record(0)
	}
	require.Zero(t, l.timeoutExtension(), "old samples must not count")
}

// TestOnlyOwnersSampleSchedulingDelay: sampling must not run twice at a time, and must end once the
// node owns no pool.
func TestOnlyOwnersSampleSchedulingDelay(t *testing.T) {
	n := owningNode(t, nil)
	n.startDelaySampling()
	n.startDelaySampling()
	require.Len(t, n.loop.timers, 1)
	n.loop.advance(delaySampleInterval + 200*time.Millisecond)
	require.Equal(t, timeoutExtensionFactor*200*time.Millisecond, n.schedulingDelay.timeoutExtension())
	delete(n.owned, poolName)
	n.loop.advance(delaySampleInterval)
	require.Zero(t, n.schedulingDelay.timeoutExtension())
	require.Empty(t, n.loop.timers)
}
