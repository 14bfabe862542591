package pool

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/knowledge"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// changingSection is a section whose every export differs from the one before.
type changingSection struct{ exports, padding int }

func (c *changingSection) Name() string { return "changing" }

func (c *changingSection) Export(time.Time) (json.RawMessage, error) {
	c.exports++
	return json.RawMessage(`"` + strconv.Itoa(c.exports) + strings.Repeat("x", c.padding) + `"`), nil
}

func (c *changingSection) Import(json.RawMessage, time.Time, time.Duration) error { return nil }

func (c *changingSection) MateriallyChanged(_, _ json.RawMessage, _ time.Duration) bool { return true }

// newKnowledgeWriter returns a pool whose owner may write its row, and the only section of the row.
func newKnowledgeWriter() (*Pool, *steppedLoop, *commitPorts, *changingSection) {
	p, l, ports := newWriterPool()
	section := &changingSection{}
	p.kept = newKeptKnowledge(p, section)
	p.kept.read, p.loaded = true, true
	p.acquiredAt = l.now.Add(-time.Minute)
	confirm(p, l)
	return p, l, ports, section
}

// confirm lets the store count as fast.
func confirm(p *Pool, l *steppedLoop) { p.lastStoreAnswerAt, p.ownershipConfirmedAt = l.now, l.now }

// TestKnowledgeWriteThatArrivedTwice: if a write is sent twice and the second copy is answered, the
// owner sees from the row that the first copy wrote it.
func TestKnowledgeWriteThatArrivedTwice(t *testing.T) {
	p, _, ports, _ := newKnowledgeWriter()
	p.kept.writeIfDue()
	require.Len(t, ports.inFlight, 1)
	sent := ports.inFlight[0]
	value := sent.transaction.Puts[0].Value
	sent.done(rows.Result{Current: []rows.Row{{Key: sent.transaction.Puts[0].Key, Version: 7, Value: value}}}, nil)
	require.True(t, p.kept.written)
	require.Equal(t, int64(7), p.kept.version)
}

// TestReleaseWritesKnowledgeOnce: however long a release takes, it exports and writes once.
func TestReleaseWritesKnowledgeOnce(t *testing.T) {
	p, l, ports, section := newKnowledgeWriter()
	p.kept.writeIfDue()
	ports.answer()
	p.releasing = true
	for range 10 {
		l.now = l.now.Add(time.Second)
		confirm(p, l)
		p.kept.writeIfDue()
		for len(ports.inFlight) > 0 {
			ports.answer()
		}
	}
	require.Equal(t, 2, ports.sent)
	require.Equal(t, 2, section.exports)
}

// TestLargeRowDoesNotDelayRelease: the lease write, which ends a release, waits for no large row on
// the link.
func TestLargeRowDoesNotDelayRelease(t *testing.T) {
	p, l, ports, section := newKnowledgeWriter()
	p.kept.writeIfDue()
	ports.answer()
	section.padding = knowledge.MaxReleaseBytes
	l.now = l.now.Add(time.Minute)
	confirm(p, l)
	p.releasing = true
	p.kept.writeIfDue()
	require.Equal(t, 1, ports.sent)
}
