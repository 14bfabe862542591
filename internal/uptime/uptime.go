// Package uptime provides a clock that includes the time during which the machine is suspended.
//
// Go's monotonic clock stops during a suspension. A process that uses it would underestimate the
// age of a lease or an acknowledgment. The function Now adds the time spent suspended to time.Now,
// so that differences between results of Now include suspensions. The wall-clock reading of these
// results is meaningless. Use time.Now for the time of day.
package uptime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected. It exceeds the drift between the wall
// clock and the monotonic clock from one check to the next, unless the wall clock is set.
const minSuspension = 20 * time.Millisecond

// clockReading is a reading of the monotonic clock and the wall clock. It takes no system call for
// suspensions.
type clockReading struct {
	at time.Time
	// monotonic and timeOfDay are the time elapsed on each clock since the start.
	monotonic, timeOfDay time.Duration
}

// Clock is a clock that includes suspensions.
type Clock struct {
	read func() clockReading
	// suspended returns the time spent suspended since boot.
	suspended func() time.Duration
	// suspendedAtStart is the time spent suspended before the clock was created.
	suspendedAtStart time.Duration
	// offset is the time spent suspended since the clock was created. drift is the lead of the wall
	// clock over the monotonic clock at the last check.
	offset, drift atomic.Int64
	mutex         sync.Mutex
}

func newClock(read func() clockReading, suspended func() time.Duration) *Clock {
	return &Clock{read: read, suspended: suspended, suspendedAtStart: suspended()}
}

// Now returns the current time including suspensions.
func (c *Clock) Now() time.Time {
	now := c.read()
	if drift := now.timeOfDay - now.monotonic; (drift - time.Duration(c.drift.Load())).Abs() > minSuspension {
		// Either a suspension or a change of the wall clock caused the drift. updateSuspended asks
		// the system which.
		c.updateSuspended(drift)
	}
	return now.at.Add(time.Duration(c.offset.Load()))
}

// updateSuspended asks the system for the time spent suspended and records the drift.
func (c *Clock) updateSuspended(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	// Small differences are reading errors. The clock never goes back, because the timestamp of an
	// earlier event must not be later than the timestamp of a later event.
	if offset := c.suspended() - c.suspendedAtStart; offset-time.Duration(c.offset.Load()) > minSuspension {
		c.offset.Store(int64(offset))
	}
}

// Refresh asks the system how long it was suspended. Now asks only when the wall clock drifts.
// Periodic calls of Refresh also detect a suspension that coincides with a change of the wall
// clock.
func (c *Clock) Refresh() {
	now := c.read()
	c.updateSuspended(now.timeOfDay - now.monotonic)
}

// Suspended returns the time spent suspended since the clock was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.offset.Load()) }

// processClock is the clock of the process.
var processClock = newClock(systemReader(time.Now()), systemSuspended)

// Now returns the current time of the process's clock.
func Now() time.Time { return processClock.Now() }

// Since returns the time elapsed since at, an earlier result of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Refresh asks the system how long it was suspended.
func Refresh() { processClock.Refresh() }

// Suspended returns the time spent suspended since the process started.
func Suspended() time.Duration { return processClock.Suspended() }

// systemReader returns a function that reads both clocks with one call of time.Now.
func systemReader(start time.Time) func() clockReading {
	wallStart := start.Round(0)
	return func() clockReading {
		now := time.Now()
		return clockReading{at: now, monotonic: now.Sub(start), timeOfDay: now.Round(0).Sub(wallStart)}
	}
}

// systemSuspended returns the lead of CLOCK_BOOTTIME over CLOCK_MONOTONIC, or 0 if either is not
// available.
func systemSuspended() time.Duration {
	return clockDifference(systemClock(unix.CLOCK_BOOTTIME), systemClock(unix.CLOCK_MONOTONIC))
}

func systemClock(id int32) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		var now unix.Timespec
		err := unix.ClockGettime(id, &now)
		return time.Duration(now.Nano()), err == nil
	}
}

const (
	// maxReadSpread is the longest acceptable time between the two readings of the monotonic clock
	// in an attempt. Only preemption of the process exceeds it.
	maxReadSpread = time.Millisecond
	// maxReadAttempts limits how often the clocks are read.
	maxReadAttempts = 5
)

// clockDifference returns the lead of boottime over monotonic, or 0 if a clock is not available. In
// each attempt it reads monotonic before and after boottime, and the spread is the time between
// these two readings. The result comes from the attempt with the smallest spread.
func clockDifference(boottime, monotonic func() (time.Duration, bool)) time.Duration {
	best, smallestSpread := time.Duration(0), time.Duration(-1)
	for range maxReadAttempts {
		before, monotonicKnown := monotonic()
		boottimeNow, boottimeKnown := boottime()
		after, _ := monotonic()
		if !monotonicKnown || !boottimeKnown {
			return 0
		}
		if spread := after - before; smallestSpread < 0 || spread < smallestSpread {
			best, smallestSpread = boottimeNow-before-spread/2, spread
		}
		if smallestSpread <= maxReadSpread {
			break
		}
	}
	return best
}
