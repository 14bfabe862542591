package telemetry

import (
	"sync"
	"time"
)

// Rate limits of one log message, in lines per second. Messages about requests and runs have
// higher limits, because a busy owner logs hundreds of them per second.
const (
	defaultLinesPerSecond = 200
	runLinesPerSecond     = 600
	requestLinesPerSecond = 1000
)

// runMessages are the log messages about single runs.
var runMessages = map[string]bool{"placed": true, "run ended": true, "stopped": true}

// requestMessages are the log messages about responses to callers.
var requestMessages = map[string]bool{
	"job accepted": true, "job not accepted": true, "job ended": true, "lookup refused": true,
	"cancellation accepted": true, "cancellation refused": true, "request refused": true,
}

// rateLimiter limits the log lines per second of each message.
type rateLimiter struct {
	mutex   sync.Mutex
	now     func() time.Time
	second  int64
	written map[string]int
	dropped map[string]int
}

func newRateLimiter(now func() time.Time) *rateLimiter {
	return &rateLimiter{now: now, written: map[string]int{}, dropped: map[string]int{}}
}

// allow reports whether a line of a message may be written. The first call in a second also
// returns the number of lines dropped since the last report, by message.
func (l *rateLimiter) allow(message string) (allowed bool, dropped map[string]int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second = second
		clear(l.written)
		if len(l.dropped) > 0 {
			dropped, l.dropped = l.dropped, map[string]int{}
		}
	}
	limit := defaultLinesPerSecond
	switch {
	case requestMessages[message]:
		limit = requestLinesPerSecond
	case runMessages[message]:
		limit = runLinesPerSecond
	}
	if l.written[message] >= limit {
		l.dropped[message]++
		return false, dropped
	}
	l.written[message]++
	return true, dropped
}
