package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// logQueueLines is the capacity of the queue of lines to write. Further lines are dropped and
// counted, so that a blocked reader costs neither time nor memory.
const logQueueLines = 2048

// AsyncLog writes JSON lines on its own goroutine and never blocks its callers.
type AsyncLog struct {
	lines   chan string
	dropped atomic.Int64
	// closing stops the writer, which closes done after it has written the queued lines.
	closing chan struct{}
	done    chan struct{}
	sink    io.Writer
	logger  logr.Logger
}

// NewAsyncLog returns a log that writes to sink until Close.
func NewAsyncLog(sink io.Writer) *AsyncLog {
	d := &AsyncLog{lines: make(chan string, logQueueLines), closing: make(chan struct{}), done: make(chan struct{}), sink: sink}
	d.logger = funcr.NewJSON(d.enqueue, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	go d.write()
	return d
}

// Logger returns a logger that writes to the log.
func (d *AsyncLog) Logger() logr.Logger { return d.logger }

// Dropped returns the number of dropped lines.
func (d *AsyncLog) Dropped() int64 { return d.dropped.Load() }

func (d *AsyncLog) enqueue(line string) {
	select {
	case d.lines <- line:
	default:
		d.dropped.Add(1)
	}
}

func (d *AsyncLog) write() {
	defer close(d.done)
	var reported int64
	for {
		select {
		case line := <-d.lines:
			reported = d.writeQueued(append([]byte(line), '\n'), reported)
		case <-d.closing:
			d.writeQueued(nil, reported)
			return
		}
	}
}

// writeQueued writes buffer and all queued lines, and a line with the number of lines dropped
// since reported. It returns the total number of dropped lines.
func (d *AsyncLog) writeQueued(buffer []byte, reported int64) int64 {
	for range len(d.lines) {
		buffer = append(buffer, <-d.lines...)
		buffer = append(buffer, '\n')
	}
	dropped := d.dropped.Load()
	if dropped > reported {
		buffer = append(buffer, droppedLine(dropped-reported)...)
	}
	// There is nowhere to report a failed write of the log.
	_, _ = d.sink.Write(buffer)
	return dropped
}

func droppedLine(count int64) []byte {
	var text string
	funcr.NewJSON(func(line string) { text = line }, funcr.Options{}).Info("log lines dropped", "count", count)
	return append([]byte(text), '\n')
}

// Close writes the queued lines and closes the log. Lines logged afterwards, by calls that
// outlast a graceful shutdown, are lost.
func (d *AsyncLog) Close() {
	close(d.closing)
	<-d.done
}
