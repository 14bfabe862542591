package pool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// repeatedSpec returns a job of three repetitions of two steps, of which the second needs the first.
func repeatedSpec() taskgraph.Spec {
	return taskgraph.Spec{ID: "00000000000000aa", Steps: []taskgraph.Step{{Count: 2}, {Count: 2, After: []int{0}}}, Repetitions: 3}
}

// TestInconsistentCompactRowsAreRejected checks that rows that no owner can have written are not applied.
func TestInconsistentCompactRowsAreRejected(t *testing.T) {
	spec := repeatedSpec()
	for text, valid := range map[string]bool{
		`{"ended":[0,2]}`: true,
		`{"ended":[0,1],"complete":[{"k":1,"b":"AQ=="}],"steps":[{"k":1,"s":1,"u":[{"i":0,"r":1}]}]}`: true,
		`{"ended":[0,1],"steps":[{"k":1,"s":1,"u":[{"i":0,"r":1}]}]}`:                                 false, // The first step is not complete.
		`{"ended":[0,1],"steps":[{"s":0,"c":true}]}`:                                                  false, // The repetition has ended.
		`{"ended":[0,1],"complete":[{"b":"AQ=="}]}`:                                                   false, // The repetition has ended.
		`{"ended":[0,4]}`:                                        false,
		`{"ended":[0]}`:                                          false,
		`{"ended":[2,1]}`:                                        false,
		`{"ended":[-1,1]}`:                                       false,
		`{"complete":[{"k":3,"b":"AQ=="}]}`:                      false,
		`{"complete":[{"k":-1,"b":"AQ=="}]}`:                     false,
		`{"complete":[{"b":"AQAA"}]}`:                            false,
		`{"complete":[{"b":"AQ=="},{"b":"AQ=="}]}`:               false,
		`{"complete":[{"b":"AQ=="}],"steps":[{"s":0,"c":true}]}`: false,
	} {
		var record Progress
		require.NoError(t, json.Unmarshal([]byte(text), &record))
		record.State = taskgraph.Running
		require.Equal(t, valid, record.validFor(&spec), text)
	}
}

// TestBothRowFormsTellTheSame checks that a job is restored alike from a row of either form.
func TestBothRowFormsTellTheSame(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec := repeatedSpec()
	original := newJob(spec.ID, Accepted{Spec: spec}, now)
	original.pendingState = taskgraph.Running
	original.repetitions.restore(&spec, numberRanges{0, 1, 2, 3}, 3)
	open := original.repetitions.find(1)
	open.restoreComplete(bitset{1})
	open.createReadyUnits(original, now)
	open.steps[1].units[1].run = 2
	for _, compact := range []bool{false, true} {
		original.compactRow = compact
		record := original.progress()
		require.Equal(t, compact, record.compact())
		require.True(t, record.validFor(&spec))
		p := New(Options{Pool: "workers"}, &recordingLoop{now: now}, nil, nil, 1)
		restored := newJob(spec.ID, Accepted{Spec: spec}, now)
		p.restore(restored, record)
		require.Equal(t, numberRanges{0, 1, 2, 3}, restored.repetitions.ended)
		require.Len(t, restored.repetitions.open, 1)
		require.Equal(t, 3, restored.repetitions.begun)
		again := restored.repetitions.find(1)
		require.True(t, again.steps[0].complete)
		require.False(t, again.steps[1].complete)
		require.Equal(t, 2, again.steps[1].units[1].run)
	}
}
