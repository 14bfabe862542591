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

// TestClockNeverGoesBack: the time suspended is the difference of two clocks, which are read one
// after the other. A process that lost the processor in between found a negative suspension, and
// its clock went back by that: what was sent before an answer seemed sent after it, so that a run
// which an older account of its worker did not list counted as gone.
func TestClockNeverGoesBack(t *testing.T) {
	m := newMachine()
	c := m.clock()
	m.run(time.Second)
	before := c.Now()
	m.suspended = -70 * time.Millisecond
	c.Look()
	require.False(t, c.Now().Before(before))
	m.suspended = 0
	c.Look()
	require.Equal(t, before, c.Now(), "nor forward without a suspension")
}

// TestClocksThatAreReadApartAreReadAgain: the reading whose parts lie closest together counts.
func TestClocksThatAreReadApartAreReadAgain(t *testing.T) {
	now := time.Duration(0)
	reads := 0
	monotonic := func() (time.Duration, bool) { return now, true }
	counting := func() (time.Duration, bool) {
		if reads++; reads == 1 {
			// The process loses the processor for a while.
			now += 90 * time.Millisecond
		}
		return now + 5*time.Second, true
	}
	require.Equal(t, 5*time.Second, difference(counting, monotonic))
	require.Equal(t, 2, reads)
	missing := func() (time.Duration, bool) { return 0, false }
	require.Zero(t, difference(missing, monotonic))
}
