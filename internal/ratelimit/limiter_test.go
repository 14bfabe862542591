package ratelimit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiterSpreadsBursts(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(1000, 100*time.Millisecond, func() time.Time { return now })
	var pauses []time.Duration
	for range 5 {
		pauses = append(pauses, max(0, p.reserve(50)))
	}
	require.Equal(t, []time.Duration{0, 0, 0, 50 * time.Millisecond, 100 * time.Millisecond}, pauses)
	now = now.Add(time.Hour)
	require.LessOrEqual(t, p.reserve(50), time.Duration(0), "unused bandwidth must not accumulate")
	p.Charge(1000)
	require.Equal(t, 950*time.Millisecond, p.reserve(1))
}

func TestNilLimiterDoesNotLimit(t *testing.T) {
	p := New(0, time.Second, time.Now)
	require.Nil(t, p)
	require.NoError(t, p.Wait(context.Background(), 1<<40))
	p.Charge(1 << 40)
}

func TestWaitReturnsWhenContextEnds(t *testing.T) {
	p := New(1, 0, time.Now)
	p.Charge(1 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, p.Wait(ctx, 1), context.Canceled)
}
