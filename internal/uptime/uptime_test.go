package uptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine is a machine whose clocks a test moves.
type machine struct {
	start                           time.Time
	monotonic, timeOfDay, suspended time.Duration
	looks                           int
}

func newMachine() *machine { return &machine{start: time.Now()} }

func (m *machine) clock() *Clock {
	read := func() reading {
		return reading{at: m.start.Add(m.monotonic), monotonic: m.monotonic, timeOfDay: m.timeOfDay}
	}
	return newClock(read, func() time.Duration { m.looks++; return m.suspended })
}

func (m *machine) run(d time.Duration) {
	m.monotonic += d
	m.timeOfDay += d
}

func (m *machine) suspend(d time.Duration) {
	m.timeOfDay += d
	m.suspended += d
}

func TestSuspensionsCount(t *testing.T) {
	m := newMachine()
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

func TestTimeOfDayThatIsSetDoesNotCount(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Second, 3 * time.Second} {
		m := newMachine()
		c := m.clock()
		before := c.Now()
		m.timeOfDay += step
		m.run(time.Second)
		require.Equal(t, time.Second, c.Now().Sub(before))
		require.Zero(t, c.Suspended())
	}
}

// TestPeriodicLookFindsWhatTheTimeOfDayHides: a suspension while the time of day is set back by
// as much.
func TestPeriodicLookFindsWhatTheTimeOfDayHides(t *testing.T) {
	m := newMachine()
	c := m.clock()
	before := c.Now()
	m.suspend(5 * time.Second)
	m.timeOfDay -= 5 * time.Second
	require.Zero(t, c.Now().Sub(before))
	c.Look()
	require.Equal(t, 5*time.Second, c.Now().Sub(before))
}

func TestNoCallToTheSystemWithoutReason(t *testing.T) {
	m := newMachine()
	c := m.clock()
	looks := m.looks
	for range 100 {
		m.run(10 * time.Millisecond)
		c.Now()
	}
	require.Equal(t, looks, m.looks)
}

func TestProcessClockRunsLikeTheSystems(t *testing.T) {
	began, ours := time.Now(), Now()
	Look()
	require.InDelta(t, time.Since(began).Seconds(), Since(ours).Seconds(), 0.5)
	require.Less(t, Suspended(), time.Second)
}
