package ratelimit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiterSpreadsBursts(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := New(1000, 100*time.Millisecond, func() time.Time { return now })
	var delays []time.Duration
	for range 5 {
		delays = append(delays, max(0, limiter.reserve(50)))
	}
	require.Equal(t, []time.Duration{0, 0, 0, 50 * time.Millisecond, 100 * time.Millisecond}, delays)
	now = now.Add(time.Hour)
	require.LessOrEqual(t, limiter.reserve(50), time.Duration(0), "unused bandwidth must not accumulate")
	limiter.Charge(1000)
	require.Equal(t, 950*time.Millisecond, limiter.reserve(1))
}

func TestNilLimiterDoesNotLimit(t *testing.T) {
	limiter := New(0, time.Second, time.Now)
	require.Nil(t, limiter)
	require.NoError(t, limiter.Wait(context.Background(), 1<<40))
	limiter.Charge(1 << 40)
}

func TestWaitReturnsWhenContextEnds(t *testing.T) {
	limiter := New(1, 0, time.Now)
	limiter.Charge(1 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, limiter.Wait(ctx, 1), context.Canceled)
}
