package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open    chan struct{}
	content bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.content.Write(p)
}

// TestBlockedOutputStopsNobody: a reader that stands still costs lines, which are
// counted, and nothing else.
func TestBlockedOutputStopsNobody(t *testing.T) {
	sink := &blockedWriter{open: make(chan struct{})}
	log := NewDecisionLog(sink)
	for i := range 3 * logQueueLines {
		log.Logger().Info("decision", "number", i)
	}
	require.Positive(t, log.Dropped())
	close(sink.open)
	log.Close()
	require.Contains(t, sink.content.String(), `"msg":"lines left out"`)
	require.Contains(t, sink.content.String(), `"number":0}`)
}

// TestLinesAfterCloseAreLost: a call to the store that outlasted a planned stop wrote
// its line into the closed log, and the process ended with a panic.
func TestLinesAfterCloseAreLost(t *testing.T) {
	var sink bytes.Buffer
	log := NewDecisionLog(&sink)
	log.Logger().Info("before")
	log.Close()
	for i := range 2 * logQueueLines {
		log.Logger().Info("after", "number", i)
	}
	require.Contains(t, sink.String(), "before")
	require.NotContains(t, sink.String(), "after")
}
