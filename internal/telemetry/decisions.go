package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// logQueue bounds the lines that wait to be written. Lines beyond are counted and
// left out, so that a reader that stands still costs neither time nor memory.
const logQueue = 2048

// DecisionLog writes JSON lines on a goroutine of its own and never blocks those
// who log.
type DecisionLog struct {
	lines   chan string
	dropped atomic.Int64
	// closing ends the writer, which closes done once all that waited is written.
	closing chan struct{}
	done    chan struct{}
	sink    io.Writer
	logger  logr.Logger
}

// NewDecisionLog returns a log that writes to sink until Close.
func NewDecisionLog(sink io.Writer) *DecisionLog {
	d := &DecisionLog{lines: make(chan string, logQueue), closing: make(chan struct{}), done: make(chan struct{}), sink: sink}
	d.logger = funcr.NewJSON(d.put, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	go d.write()
	return d
}

// Logger returns the logger whose lines go to the log.
func (d *DecisionLog) Logger() logr.Logger { return d.logger }

// Dropped returns how many lines were left out.
func (d *DecisionLog) Dropped() int64 { return d.dropped.Load() }

func (d *DecisionLog) put(line string) {
	select {
	case d.lines <- line:
	default:
		d.dropped.Add(1)
	}
}

func (d *DecisionLog) write() {
	defer close(d.done)
	var reported int64
	for {
		select {
		case line := <-d.lines:
			reported = d.writeWaiting(append([]byte(line), '\n'), reported)
		case <-d.closing:
			d.writeWaiting(nil, reported)
			return
		}
	}
}

// writeWaiting writes buffer and all lines that wait, and a line that counts those
// left out since reported. It returns how many were left out so far.
func (d *DecisionLog) writeWaiting(buffer []byte, reported int64) int64 {
	for range len(d.lines) {
		buffer = append(buffer, <-d.lines...)
		buffer = append(buffer, '\n')
	}
	dropped := d.dropped.Load()
	if dropped > reported {
		buffer = append(buffer, dropLine(dropped-reported)...)
	}
	// A log that cannot be written has nobody to be told.
	_, _ = d.sink.Write(buffer)
	return dropped
}

func dropLine(count int64) []byte {
	var text string
	funcr.NewJSON(func(line string) { text = line }, funcr.Options{}).Info("lines left out", "count", count)
	return append([]byte(text), '\n')
}

// Close writes what waits and ends the log. Lines that are logged afterwards, by
// calls that outlast a planned stop, are lost.
func (d *DecisionLog) Close() {
	close(d.closing)
	<-d.done
}
