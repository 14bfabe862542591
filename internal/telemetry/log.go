package telemetry

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// NewLogger returns a logger that writes one line per message, as JSON or as text.
func NewLogger(sink io.Writer, format string) logr.Logger {
	var mutex sync.Mutex
	options := funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	if format == "json" {
		return funcr.NewJSON(func(object string) {
			mutex.Lock()
			defer mutex.Unlock()
			fmt.Fprintln(sink, object)
		}, options)
	}
	return funcr.New(func(_, line string) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprintln(sink, line)
	}, options)
}
