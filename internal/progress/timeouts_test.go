package progress

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// receiveByte reports one byte to the context's observers.
func receiveByte(ctx context.Context) {
	ctx.Value(observerKey{}).(func(int))(1)
}

func TestFirstByteTimeout(t *testing.T) {
	ctx, cancel := WithTimeouts(context.Background(), Timeouts{FirstByte: time.Millisecond, Idle: time.Hour, Total: time.Hour})
	defer cancel()
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestReceivedBytesExtendDeadline(t *testing.T) {
	ctx, cancel := WithTimeouts(context.Background(), Timeouts{FirstByte: 500 * time.Millisecond, Idle: time.Hour, Total: time.Hour})
	defer cancel()
	receiveByte(ctx)
	time.Sleep(550 * time.Millisecond)
	require.NoError(t, ctx.Err())
}

func TestIdleAndTotalTimeouts(t *testing.T) {
	cases := map[string]Timeouts{
		"no further bytes":    {FirstByte: time.Millisecond, Idle: 2 * time.Millisecond, Total: time.Hour},
		"total time exceeded": {FirstByte: time.Millisecond, Idle: time.Hour, Total: 2 * time.Millisecond},
	}
	for name, timeouts := range cases {
		ctx, cancel := WithTimeouts(context.Background(), timeouts)
		receiveByte(ctx)
		<-ctx.Done()
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded, name)
		cancel()
	}
}

// TestIdleTimeoutReplacesFirstByteTimeout guards against waiting for the rest of a response as long
// as for its first byte. The first byte of a feed may take seconds.
func TestIdleTimeoutReplacesFirstByteTimeout(t *testing.T) {
	ctx, cancel := WithTimeouts(context.Background(), Timeouts{FirstByte: time.Hour, Idle: time.Millisecond, Total: time.Hour})
	defer cancel()
	receiveByte(ctx)
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestSlowTrickleTimesOut(t *testing.T) {
	ctx, cancel := WithTimeouts(context.Background(), Timeouts{FirstByte: time.Hour, Idle: 50 * time.Millisecond, Total: time.Hour})
	defer cancel()
	for ctx.Err() == nil {
		receiveByte(ctx)
		time.Sleep(time.Millisecond)
	}
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestInnerProgressExtendsOuterDeadline(t *testing.T) {
	outer, cancelOuter := WithTimeouts(context.Background(), Timeouts{FirstByte: 500 * time.Millisecond, Idle: time.Hour, Total: time.Hour})
	defer cancelOuter()
	inner, cancelInner := WithTimeouts(outer, Timeouts{FirstByte: 500 * time.Millisecond, Idle: time.Hour, Total: time.Hour})
	defer cancelInner()
	receiveByte(inner)
	time.Sleep(550 * time.Millisecond)
	require.NoError(t, outer.Err())
	require.NoError(t, inner.Err())
}

func TestFirstByteDeadline(t *testing.T) {
	_, hasDeadline := FirstByteDeadline(context.Background())
	require.False(t, hasDeadline)
	before := time.Now()
	limited, cancel := WithTimeouts(context.Background(), Timeouts{FirstByte: time.Minute, Idle: time.Hour, Total: time.Hour})
	defer cancel()
	deadline, hasDeadline := FirstByteDeadline(limited)
	require.True(t, hasDeadline)
	require.WithinRange(t, deadline, before.Add(time.Minute), time.Now().Add(time.Minute))
	shorter, cancelShorter := context.WithTimeout(limited, time.Second)
	defer cancelShorter()
	deadline, hasDeadline = FirstByteDeadline(shorter)
	require.True(t, hasDeadline)
	require.WithinRange(t, deadline, before, time.Now().Add(time.Second))
}

// TestOverdueUsesExtendedDeadline checks that received bytes extend the deadline that Overdue
// uses.
func TestOverdueUsesExtendedDeadline(t *testing.T) {
	_, hasDeadline := Overdue(t.Context())
	require.False(t, hasDeadline)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Minute))
	defer cancel()
	overdue, hasDeadline := Overdue(ctx)
	require.True(t, hasDeadline)
	require.GreaterOrEqual(t, overdue, time.Minute)
	ctx, cancel = WithTimeouts(t.Context(), Timeouts{FirstByte: time.Minute, Idle: time.Hour, Total: 2 * time.Hour})
	defer cancel()
	overdue, hasDeadline = Overdue(ctx)
	require.True(t, hasDeadline)
	require.InDelta(t, -time.Minute, overdue, float64(10*time.Second))
	receiveByte(ctx)
	overdue, _ = Overdue(ctx)
	require.InDelta(t, -time.Hour, overdue, float64(10*time.Second))
}
