package uptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine has clocks that a test advances.
type fakeMachine struct {
	start                           time.Time
	monotonic, timeOfDay, suspended time.Duration
	systemReads                     int
}

func newFakeMachine() *fakeMachine { return &fakeMachine{start: time.Now()} }

func (m *fakeMachine) clock() *Clock {
	read := func() clockReading {
		return clockReading{at: m.start.Add(m.monotonic), monotonic: m.monotonic, timeOfDay: m.timeOfDay}
	}
	return newClock(read, func() time.Duration { m.systemReads++; return m.suspended })
}

func (m *fakeMachine) run(d time.Duration) {
	m.monotonic += d
	m.timeOfDay += d
}

func (m *fakeMachine) suspend(d time.Duration) {
	m.timeOfDay += d
	m.suspended += d
}

func TestNowIncludesSuspensions(t *testing.T) {
	m := newFakeMachine()
	m.suspended = time.Hour
	c := m.clock()
	before := c.Now()
	m.run(time.Second)
	m.suspend(5 * time.Second)
	require.Equal(t, 6*time.Second, c.Now().Sub(before))
	m.suspend(2 * time.Second)
	m.run(time.Second)
	require.Equal(t, 9*time.Second, c.Now().Sub(before))
	require.Equal(t, 7*time.Second, c.Suspended())
}

func TestClockAdjustmentIsNotASuspension(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Second, 3 * time.Second} {
		m := newFakeMachine()
		c := m.clock()
		before := c.Now()
		m.timeOfDay += step
		m.run(time.Second)
		require.Equal(t, time.Second, c.Now().Sub(before))
		require.Zero(t, c.Suspended())
	}
}

// TestRefreshFindsSuspensionHiddenByClockAdjustment sets the wall clock back by the duration of a
// suspension. Now alone does not detect such a suspension.
func TestRefreshFindsSuspensionHiddenByClockAdjustment(t *testing.T) {
	m := newFakeMachine()
	c := m.clock()
	before := c.Now()
	m.suspend(5 * time.Second)
	m.timeOfDay -= 5 * time.Second
	require.Zero(t, c.Now().Sub(before))
	c.Refresh()
	require.Equal(t, 5*time.Second, c.Now().Sub(before))
}

func TestNowReadsSuspensionOnlyAfterDrift(t *testing.T) {
	m := newFakeMachine()
	c := m.clock()
	readsBefore := m.systemReads
	for range 100 {
		m.run(10 * time.Millisecond)
		c.Now()
	}
	require.Equal(t, readsBefore, m.systemReads)
}

func TestProcessClockMatchesSystemClock(t *testing.T) {
	systemStart, uptimeStart := time.Now(), Now()
	Refresh()
	require.InDelta(t, time.Since(systemStart).Seconds(), Since(uptimeStart).Seconds(), 0.5)
	require.Less(t, Suspended(), time.Second)
}

// TestClockNeverGoesBack guards against events in the wrong order. Preemption between two clock
// readings can yield a negative suspension.
func TestClockNeverGoesBack(t *testing.T) {
	m := newFakeMachine()
	c := m.clock()
	m.run(time.Second)
	before := c.Now()
	m.suspended = -70 * time.Millisecond
	c.Refresh()
	require.False(t, c.Now().Before(before))
	m.suspended = 0
	c.Refresh()
	require.Equal(t, before, c.Now(), "the clock must not advance without a suspension")
}

// TestClockDifferenceRetriesWideReads checks that the attempt with the smallest spread is used.
func TestClockDifferenceRetriesWideReads(t *testing.T) {
	now := time.Duration(0)
	reads := 0
	monotonic := func() (time.Duration, bool) { return now, true }
	boottime := func() (time.Duration, bool) {
		if reads++; reads == 1 {
			// Simulates preemption between the readings.
			now += 90 * time.Millisecond
		}
		return now + 5*time.Second, true
	}
	require.Equal(t, 5*time.Second, clockDifference(boottime, monotonic))
	require.Equal(t, 2, reads)
	missing := func() (time.Duration, bool) { return 0, false }
	require.Zero(t, clockDifference(missing, monotonic))
}
