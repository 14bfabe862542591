package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// logQueueLines bounds the lines that wait to be written. Lines beyond are counted and
// left out, so that a reader that stands still costs neither time nor memory.
const logQueueLines = 2048

// AsyncLog writes JSON lines on a goroutine of its own and never blocks those
// who log.
type AsyncLog struct {
	lines   chan string
	dropped atomic.Int64
	// closing ends the writer, which closes done once all that waited is written.
	closing chan struct{}
	done    chan struct{}
	sink    io.Writer
	logger  logr.Logger
}

// NewDecisionLog returns a log that writes to sink until Close.
func NewDecisionLog(sink io.Writer) *AsyncLog {
	d := &AsyncLog{lines: make(chan string, logQueueLines), closing: make(chan struct{}), done: make(chan struct{}), sink: sink}
	d.logger = funcr.NewJSON(d.enqueue, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	go d.write()
	return d
}

// Logger returns the logger whose lines go to the log.
func (d *AsyncLog) Logger() logr.Logger { return d.logger }

// Dropped returns how many lines were left out.
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

// writeQueued writes buffer and all lines that wait, and a line that counts those
// left out since reported. It returns how many were left out so far.
func (d *AsyncLog) writeQueued(buffer []byte, reported int64) int64 {
	for range len(d.lines) {
		buffer = append(buffer, <-d.lines...)
		buffer = append(buffer, '\n')
	}
	dropped := d.dropped.Load()
	if dropped > reported {
		buffer = append(buffer, droppedLine(dropped-reported)...)
	}
	// A log that cannot be written has nobody to be told.
	_, _ = d.sink.Write(buffer)
	return dropped
}

func droppedLine(count int64) []byte {
	var text string
	funcr.NewJSON(func(line string) { text = line }, funcr.Options{}).Info("lines left out", "count", count)
	return append([]byte(text), '\n')
}

// Close writes what waits and ends the log. Lines that are logged afterwards, by
// calls that outlast a planned stop, are lost.
func (d *AsyncLog) Close() {
	close(d.closing)
	<-d.done
}
