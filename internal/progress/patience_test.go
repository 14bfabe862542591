package progress

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrive reports one byte to a context's observers.
func arrive(ctx context.Context) {
	ctx.Value(observerKey{}).(func(int))(1)
}

func TestPatienceEndsWithoutAnAnswer(t *testing.T) {
	ctx, cancel := WithPatience(context.Background(), Patience{First: time.Millisecond, Pause: time.Hour, Whole: time.Hour})
	defer cancel()
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestAnswerThatArrivesIsWaitedFor(t *testing.T) {
	ctx, cancel := WithPatience(context.Background(), Patience{First: 500 * time.Millisecond, Pause: time.Hour, Whole: time.Hour})
	defer cancel()
	arrive(ctx)
	time.Sleep(550 * time.Millisecond)
	require.NoError(t, ctx.Err())
}

func TestPatienceEndsWithAnAnswerThatStandsStillOrTakesTooLong(t *testing.T) {
	cases := map[string]Patience{
		"stands still":   {First: time.Millisecond, Pause: 2 * time.Millisecond, Whole: time.Hour},
		"takes too long": {First: time.Millisecond, Pause: time.Hour, Whole: 2 * time.Millisecond},
	}
	for name, patience := range cases {
		ctx, cancel := WithPatience(context.Background(), patience)
		arrive(ctx)
		<-ctx.Done()
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded, name)
		cancel()
	}
}

// TestStandingStillEndsAnAnswerBeforeItsFirstLimit: a feed may wait for seconds, but not for
// the rest of an answer that has begun.
func TestStandingStillEndsAnAnswerBeforeItsFirstLimit(t *testing.T) {
	ctx, cancel := WithPatience(context.Background(), Patience{First: time.Hour, Pause: time.Millisecond, Whole: time.Hour})
	defer cancel()
	arrive(ctx)
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestDripsAreNotWaitedFor(t *testing.T) {
	ctx, cancel := WithPatience(context.Background(), Patience{First: time.Hour, Pause: 50 * time.Millisecond, Whole: time.Hour})
	defer cancel()
	for ctx.Err() == nil {
		arrive(ctx)
		time.Sleep(time.Millisecond)
	}
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestOuterPatienceIsToldToo(t *testing.T) {
	outer, cancelOuter := WithPatience(context.Background(), Patience{First: 500 * time.Millisecond, Pause: time.Hour, Whole: time.Hour})
	defer cancelOuter()
	inner, cancelInner := WithPatience(outer, Patience{First: 500 * time.Millisecond, Pause: time.Hour, Whole: time.Hour})
	defer cancelInner()
	arrive(inner)
	time.Sleep(550 * time.Millisecond)
	require.NoError(t, outer.Err())
	require.NoError(t, inner.Err())
}

func TestAnswerBy(t *testing.T) {
	_, bounded := AnswerBy(context.Background())
	require.False(t, bounded)
	before := time.Now()
	patient, cancel := WithPatience(context.Background(), Patience{First: time.Minute, Pause: time.Hour, Whole: time.Hour})
	defer cancel()
	by, bounded := AnswerBy(patient)
	require.True(t, bounded)
	require.WithinRange(t, by, before.Add(time.Minute), time.Now().Add(time.Minute))
	sooner, cancelSooner := context.WithTimeout(patient, time.Second)
	defer cancelSooner()
	by, bounded = AnswerBy(sooner)
	require.True(t, bounded)
	require.WithinRange(t, by, before, time.Now().Add(time.Second))
}

// TestOverdueCountsFromTheLastEnd: an answer that keeps arriving puts the end of a call off.
func TestOverdueCountsFromTheLastEnd(t *testing.T) {
	_, bounded := Overdue(t.Context())
	require.False(t, bounded)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Minute))
	defer cancel()
	overdue, bounded := Overdue(ctx)
	require.True(t, bounded)
	require.GreaterOrEqual(t, overdue, time.Minute)
	ctx, cancel = WithPatience(t.Context(), Patience{First: time.Minute, Pause: time.Hour, Whole: 2 * time.Hour})
	defer cancel()
	overdue, bounded = Overdue(ctx)
	require.True(t, bounded)
	require.InDelta(t, -time.Minute, overdue, float64(10*time.Second))
	arrive(ctx)
	overdue, _ = Overdue(ctx)
	require.InDelta(t, -time.Hour, overdue, float64(10*time.Second))
}
