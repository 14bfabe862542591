package pool

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/knowledge"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// newPoolOfKnownSpeeds returns a pool whose workers have known speeds; every tenth is slow.
func newPoolOfKnownSpeeds(workers int) *Pool {
	p, _, _ := newWriterPool()
	for i := range workers {
		w := &worker{}
		w.ID = fmt.Sprintf("worker-of-a-rack-%05d", i)
		w.speed = speeds.Kept{LogTime: i % 7, Deviation: 60}.Restore(0)
		if i%10 == 0 {
			w.speed = speeds.Kept{LogTime: 500 + i%7, Deviation: 60}.Restore(0)
		}
		p.workers[w.ID] = w
	}
	return p
}

// TestSlowWorkersAreKeptFirst: of more machines than fit, those close to the average are dropped.
func TestSlowWorkersAreKeptFirst(t *testing.T) {
	const workers = 4000
	p := newPoolOfKnownSpeeds(workers)
	encoded, err := (&speedSection{pool: p}).Export(time.Time{})
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), knowledge.MaxSectionBytes)
	document, err := decodeSpeeds(encoded)
	require.NoError(t, err)
	require.Greater(t, len(document.Machines), workers/10)
	for id, w := range p.workers {
		if w.speed.LogTime() > 0.1 {
			require.Contains(t, document.Machines, id)
		}
	}
}

func TestSpeedsRoundTrip(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	former := newPoolOfKnownSpeeds(20)
	encoded, err := (&speedSection{pool: former}).Export(now)
	require.NoError(t, err)

	next := &Pool{workers: map[string]*worker{}}
	section := &speedSection{pool: next}
	require.NoError(t, section.Import(encoded, now, time.Second))
	again, err := section.Export(now)
	require.NoError(t, err)
	require.False(t, section.MateriallyChanged(encoded, again, time.Second), "machines that are not listed yet are kept")
	document, err := decodeSpeeds(again)
	require.NoError(t, err)
	require.Len(t, document.Machines, 20)

	nothing, err := (&speedSection{pool: &Pool{}}).Export(now)
	require.NoError(t, err)
	require.Nil(t, nothing)
}

func TestDamagedSpeedsAreRefused(t *testing.T) {
	for name, document := range map[string]string{
		"no document":       ``,
		"truncated":         `{"machines":{"w":[1`,
		"list of machines":  `{"machines":[]}`,
		"text as speed":     `{"machines":{"w":["fast",1]}}`,
		"fraction":          `{"machines":{"w":[0.5,60]}}`,
		"no deviation":      `{"machines":{"w":[100]}}`,
		"speed too large":   `{"machines":{"w":[100000,60]}}`,
		"overflow":          fmt.Sprintf(`{"machines":{"w":[%d,%d]}}`, math.MinInt64, math.MaxInt64),
		"negative weight":   `{"machines":{},"work":{"sum":1,"weight":-1}}`,
		"impossible spread": `{"machines":{},"work":{"sum":50,"weight":1}}`,
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{workers: map[string]*worker{}}
			require.Error(t, (&speedSection{pool: p}).Import(json.RawMessage(document), time.Time{}, 0))
			require.Empty(t, p.keptSpeeds)
			require.Zero(t, p.runTimeSpread)
		})
	}
}

// BenchmarkKnowledgeSnapshot measures what it costs an owner to consider a write, which it does once
// a second.
func BenchmarkKnowledgeSnapshot(b *testing.B) {
	for _, workers := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newPoolOfKnownSpeeds(workers)
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			p.kept.composer.MarkWritten(p.kept.composer.Snapshot(now))
			for b.Loop() {
				p.kept.composer.Changed(p.kept.composer.Snapshot(now))
			}
		})
	}
}
