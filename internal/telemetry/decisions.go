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
	done    chan struct{}
	sink    io.Writer
	logger  logr.Logger
}

// NewDecisionLog returns a log that writes to sink until Close.
func NewDecisionLog(sink io.Writer) *DecisionLog {
	d := &DecisionLog{lines: make(chan string, logQueue), done: make(chan struct{}), sink: sink}
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
	for line := range d.lines {
		buffer := append([]byte(line), '\n')
		for range len(d.lines) {
			buffer = append(buffer, <-d.lines...)
			buffer = append(buffer, '\n')
		}
		if dropped := d.dropped.Load(); dropped > reported {
			buffer = append(buffer, dropLine(dropped-reported)...)
			reported = dropped
		}
		// A log that cannot be written has nobody to be told.
		_, _ = d.sink.Write(buffer)
	}
}

func dropLine(count int64) []byte {
	var text string
	funcr.NewJSON(func(line string) { text = line }, funcr.Options{}).Info("lines left out", "count", count)
	return append([]byte(text), '\n')
}

// Close writes what waits and ends the log. Nothing may be logged afterwards.
func (d *DecisionLog) Close() {
	close(d.lines)
	<-d.done
}
