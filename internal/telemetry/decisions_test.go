package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedSink takes nothing until it is opened.
type blockedSink struct {
	open    chan struct{}
	content bytes.Buffer
}

func (b *blockedSink) Write(p []byte) (int, error) {
	<-b.open
	return b.content.Write(p)
}

// TestBlockedOutputStopsNobody: a reader that stands still costs lines, which are
// counted, and nothing else.
func TestBlockedOutputStopsNobody(t *testing.T) {
	sink := &blockedSink{open: make(chan struct{})}
	log := NewDecisionLog(sink)
	for i := range 3 * logQueue {
		log.Logger().Info("decision", "number", i)
	}
	require.Positive(t, log.Dropped())
	close(sink.open)
	log.Close()
	require.Contains(t, sink.content.String(), `"msg":"lines left out"`)
	require.Contains(t, sink.content.String(), `"number":0}`)
}
