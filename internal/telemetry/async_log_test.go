package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open    chan struct{}
	content bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.content.Write(p)
}

// TestBlockedOutputDoesNotBlockCallers checks that logging does not block while the output does,
// and that dropped lines are counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	sink := &blockedWriter{open: make(chan struct{})}
	log := NewAsyncLog(sink)
	for i := range 3 * logQueueLines {
		log.Logger().Info("decision", "number", i)
	}
	require.Positive(t, log.Dropped())
	close(sink.open)
	log.Close()
	require.Contains(t, sink.content.String(), `"msg":"log lines dropped"`)
	require.Contains(t, sink.content.String(), `"number":0}`)
}

// TestLinesAfterCloseAreLost guards against a panic when a store call that outlasts a graceful
// shutdown logs to the closed log.
func TestLinesAfterCloseAreLost(t *testing.T) {
	var sink bytes.Buffer
	log := NewAsyncLog(&sink)
	log.Logger().Info("before")
	log.Close()
	for i := range 2 * logQueueLines {
		log.Logger().Info("after", "number", i)
	}
	require.Contains(t, sink.String(), "before")
	require.NotContains(t, sink.String(), "after")
}
