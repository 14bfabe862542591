// Package uptime tells the time by a clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still in a suspension. An age that guards a promise (of a
// lease, of what was confirmed) would then seem younger than it is. Now adds the time spent
// suspended to the results of time.Now, so that differences between them count it. Its time
// of day is therefore no time of day: use time.Now for that.
package uptime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// noticeable is the least suspension that is looked for. Between two looks the time of day and
// the monotonic clock drift apart by much less, unless the time of day was set.
const noticeable = 20 * time.Millisecond

// reading is one look at the clocks that cost no call to the system.
type reading struct {
	at time.Time
	// monotonic and timeOfDay are how far each clock has gone since the start.
	monotonic, timeOfDay time.Duration
}

// Clock counts suspensions.
type Clock struct {
	read func() reading
	// suspended asks the system how long it was suspended since its own start.
	suspended func() time.Duration
	// before is what was suspended before the clock was made.
	before time.Duration
	// offset is what was suspended since, and drift how far the time of day had run ahead of
	// the monotonic clock when that was last looked at.
	offset, drift atomic.Int64
	mutex         sync.Mutex
}

func newClock(read func() reading, suspended func() time.Duration) *Clock {
	return &Clock{read: read, suspended: suspended, before: suspended()}
}

// Now returns the time with suspensions counted.
func (c *Clock) Now() time.Time {
	now := c.read()
	if drift := now.timeOfDay - now.monotonic; (drift - time.Duration(c.drift.Load())).Abs() > noticeable {
		// A suspension and a time of day that was set look alike; only the system can tell.
		c.look(drift)
	}
	return now.at.Add(time.Duration(c.offset.Load()))
}

func (c *Clock) look(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	// The clock never goes back, and small differences are errors of the reading: what was
	// written down earlier must not seem later.
	if offset := c.suspended() - c.before; offset-time.Duration(c.offset.Load()) > noticeable {
		c.offset.Store(int64(offset))
	}
}

// Look asks the system how long it was suspended. Now does so by itself when the time of day
// gives reason to; a periodic call finds a suspension that coincides with its being set.
func (c *Clock) Look() {
	now := c.read()
	c.look(now.timeOfDay - now.monotonic)
}

// Suspended returns how long the machine was suspended since the clock was made.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.offset.Load()) }

// system is the process's clock.
var system = newClock(systemReader(time.Now()), systemSuspended)

// Now returns the time by the process's clock.
func Now() time.Time { return system.Now() }

// Since returns the time since an earlier result of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Look asks the system how long the machine was suspended.
func Look() { system.Look() }

// Suspended returns how long the machine was suspended since the process started.
func Suspended() time.Duration { return system.Suspended() }

// systemReader reads both clocks with one call of time.Now.
func systemReader(start time.Time) func() reading {
	wallStart := start.Round(0)
	return func() reading {
		now := time.Now()
		return reading{at: now, monotonic: now.Sub(start), timeOfDay: now.Round(0).Sub(wallStart)}
	}
}

// systemSuspended is how much further the clock has run that counts suspensions. Both clocks
// are there on every Linux system; without them nothing counts as suspended.
func systemSuspended() time.Duration {
	return difference(systemClock(unix.CLOCK_BOOTTIME), systemClock(unix.CLOCK_MONOTONIC))
}

func systemClock(id int32) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		var now unix.Timespec
		err := unix.ClockGettime(id, &now)
		return time.Duration(now.Nano()), err == nil
	}
}

const (
	// closeReads is how close together the readings of both clocks have to be: a call takes
	// some microseconds, unless the process loses the processor in between.
	closeReads = time.Millisecond
	// readTries bounds how often they are read.
	readTries = 5
)

// difference returns how far counting is ahead of monotonic, by the tries whose readings lie
// closest together; 0 if a clock is missing.
func difference(counting, monotonic func() (time.Duration, bool)) time.Duration {
	best, closest := time.Duration(0), time.Duration(-1)
	for range readTries {
		before, known := monotonic()
		now, counted := counting()
		after, _ := monotonic()
		if !known || !counted {
			return 0
		}
		if apart := after - before; closest < 0 || apart < closest {
			best, closest = now-before-apart/2, apart
		}
		if closest <= closeReads {
			break
		}
	}
	return best
}
