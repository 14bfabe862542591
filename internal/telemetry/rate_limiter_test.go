package telemetry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRateLimitAppliesPerMessage checks that messages are limited independently and that the
// number of dropped lines is reported once in the next second.
func TestRateLimitAppliesPerMessage(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := newRateLimiter(func() time.Time { return now })
	for i := range defaultLinesPerSecond + 5 {
		allowed, dropped := limiter.allow("start failed")
		require.Equal(t, i < defaultLinesPerSecond, allowed)
		require.Empty(t, dropped)
	}
	for range requestLinesPerSecond {
		allowed, _ := limiter.allow("job accepted")
		require.True(t, allowed, "messages about requests have a limit of their own")
	}
	now = now.Add(time.Second)
	allowed, dropped := limiter.allow("placed")
	require.True(t, allowed)
	require.Equal(t, map[string]int{"start failed": 5}, dropped)
	_, dropped = limiter.allow("placed")
	require.Empty(t, dropped, "dropped lines must be reported only once")
}
