package health

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/knowledge"
)

var _ knowledge.Section = (*Record)(nil)

// maxSectionBytes bounds the exported section.
const maxSectionBytes = 8 << 10

func TestSectionRoundTrip(t *testing.T) {
	former, a, b := New(), rackWorker(0, 0), rackWorker(0, 1)
	fail(former, a, 1000)
	former.RecordProgress(b, at(1200), at(1300))
	document, err := former.Export(at(2000))
	require.NoError(t, err)

	// The next owner's clock is an hour ahead, and it reads the section 3 s later.
	clock := func(millis int) time.Time { return at(millis).Add(time.Hour) }
	next := New()
	next.AssumeFailures(clock(4900))
	require.NoError(t, next.Import(document, clock(5000), 3*time.Second))
	require.True(t, next.Active(clock(5000)))
	require.False(t, next.Active(clock(1000+failureTime).Add(quietPeriod)))
	require.True(t, next.Suspected(a.ID, clock(5000)))
	require.True(t, next.Proven(b.ID, clock(5000)))
	require.False(t, next.Proven(b.ID, clock(1200).Add(proofPeriod)))
	require.InDelta(t, former.Chance(a, at(5000)), next.Chance(a, clock(5000)), 1e-9)
	require.InDelta(t, former.Chance(rackWorker(1, 0), at(5000)), next.Chance(rackWorker(1, 0), clock(5000)), 1e-9)
}

func TestNothingToExportWithoutFailures(t *testing.T) {
	r := New()
	r.RecordProgress(rackWorker(0, 0), at(0), at(100))
	document, err := r.Export(at(100))
	require.NoError(t, err)
	require.Nil(t, document)
}

// TestExportIsBounded checks that suspects are kept first and that the size is bounded.
func TestExportIsBounded(t *testing.T) {
	r := New()
	for i := range 30 {
		fail(r, rackWorker(i, 0), 1000)
	}
	for i := range 500 {
		r.RecordProgress(rackWorker(i, 1), at(1100), at(1200))
	}
	document, err := r.Export(at(1300))
	require.NoError(t, err)
	require.Less(t, len(document), maxSectionBytes)
	next := New()
	require.NoError(t, next.Import(document, at(1300), 0))
	require.Len(t, next.workers, maxExportedWorkers)
	require.Equal(t, 30, next.SuspectedWorkers(at(1300)))
}

func TestImportOfFaultySections(t *testing.T) {
	cases := []struct {
		name, document string
		fails          bool
	}{
		{"no JSON", `{"workers":`, true},
		{"wrong type", `{"workers":[{"id":7}]}`, true},
		{"empty", `{}`, false},
		{"unknown fields", `{"later":1,"workers":[{"id":"w","later":2}]}`, false},
		{"senseless numbers", `{"onset_age_ms":-5,"failure_age_ms":9223372036854775807,"workers":[{"id":"w","failures":-3,"early":-3,"successes":-1,"failure_age_ms":-9}]}`, false},
	}
	for _, c := range cases {
		r, a := New(), rackWorker(0, 0)
		fail(r, a, 1000)
		err := r.Import(json.RawMessage(c.document), at(1100), time.Second)
		require.Equal(t, c.fails, err != nil, c.name)
		require.True(t, r.Suspected(a.ID, at(1100)), c.name)
		require.True(t, r.Active(at(1100)), c.name)
		require.False(t, r.Suspected("w", at(1100)), c.name)
	}
}

// TestImportKeepsOwnKnowledge checks that what this owner has seen is not replaced.
func TestImportKeepsOwnKnowledge(t *testing.T) {
	former, a := New(), rackWorker(0, 0)
	fail(former, a, 1000)
	document, err := former.Export(at(1100))
	require.NoError(t, err)
	r := New()
	fail(r, rackWorker(0, 1), 1500)
	r.RecordProgress(a, at(1600), at(1700))
	require.NoError(t, r.Import(document, at(1800), 700*time.Millisecond))
	require.True(t, r.Proven(a.ID, at(1800)))
}

// TestNextOwnerKnowsThatOneJobFailed checks that the suspects of a single job begin no wave at the next
// owner either.
func TestNextOwnerKnowsThatOneJobFailed(t *testing.T) {
	former := New()
	for worker := range 3 {
		f := &Failure{Job: "a", Members: 18, StartedAt: at(1000), Early: true, Elsewhere: OtherRunLasts}
		former.RecordFailure(rackWorker(0, worker), f, at(1050))
	}
	document, err := former.Export(at(1100))
	require.NoError(t, err)
	next := New()
	require.NoError(t, next.Import(document, at(1100), 0))
	require.Equal(t, 3, next.SuspectedWorkers(at(1100)))
	require.False(t, next.UpdateWave(at(1100)))
}

func TestMateriallyChanged(t *testing.T) {
	r := New()
	fail(r, rackWorker(0, 0), 1000)
	export := func(millis int) json.RawMessage {
		document, err := r.Export(at(millis))
		require.NoError(t, err)
		return document
	}
	written := export(1100)
	require.False(t, r.MateriallyChanged(written, export(2100), time.Second), "time alone")
	require.True(t, r.MateriallyChanged(written, export(2100), maxProofAge))
	fail(r, rackWorker(0, 1), 2000)
	require.True(t, r.MateriallyChanged(written, export(2100), time.Second), "another suspect")
	require.True(t, r.MateriallyChanged(json.RawMessage("{"), export(2100), time.Second))
}
