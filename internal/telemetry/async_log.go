package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// logQueueLines is the capacity of the line queue. While the queue is full, the log drops and
// counts lines, so that a blocked output neither delays callers nor uses more memory.
const logQueueLines = 2048

// AsyncLog writes JSON lines on its own goroutine and never blocks its callers.
type AsyncLog struct {
	lines   chan string
	dropped atomic.Int64
	// closing tells the writer goroutine to stop.
	closing chan struct{}
	// done is closed after the writer goroutine has written the queued lines.
	done   chan struct{}
	sink   io.Writer
	logger logr.Logger
}

// NewAsyncLog returns a log that writes to sink until Close.
func NewAsyncLog(sink io.Writer) *AsyncLog {
	d := &AsyncLog{lines: make(chan string, logQueueLines), closing: make(chan struct{}), done: make(chan struct{}), sink: sink}
	d.logger = funcr.NewJSON(d.enqueue, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	go d.write()
	return d
}

// Logger returns a logger that writes to the log.
func (l *AsyncLog) Logger() logr.Logger { return l.logger }

// Dropped returns the number of dropped lines.
func (l *AsyncLog) Dropped() int64 { return l.dropped.Load() }

func (l *AsyncLog) enqueue(line string) {
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *AsyncLog) write() {
	defer close(l.done)
	var reported int64
	for {
		select {
		case line := <-l.lines:
			reported = l.writeQueued(append([]byte(line), '\n'), reported)
		case <-l.closing:
			l.writeQueued(nil, reported)
			return
		}
	}
}

// writeQueued writes buffer and all queued lines. If more lines than reported were dropped, it also
// writes the number of the additional ones. It returns the total number of dropped lines.
func (l *AsyncLog) writeQueued(buffer []byte, reported int64) int64 {
	for range len(l.lines) {
		buffer = append(buffer, <-l.lines...)
		buffer = append(buffer, '\n')
	}
	dropped := l.dropped.Load()
	if dropped > reported {
		buffer = append(buffer, droppedLine(dropped-reported)...)
	}
	// There is nowhere to report a failed write of the log.
	_, _ = l.sink.Write(buffer)
	return dropped
}

func droppedLine(count int64) []byte {
	var text string
	funcr.NewJSON(func(line string) { text = line }, funcr.Options{}).Info("log lines dropped", "count", count)
	return append([]byte(text), '\n')
}

// Close writes the queued lines and closes the log. Lines that are logged after Close are lost;
// calls that outlast a graceful shutdown may log some.
func (l *AsyncLog) Close() {
	close(l.closing)
	<-l.done
}
