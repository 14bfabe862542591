package node

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// TestPoolOfNewerFormatIsNotAcquired checks that a node leaves a pool whose rows it would misread to
// nodes of newer versions.
func TestPoolOfNewerFormatIsNotAcquired(t *testing.T) {
	for format, acquired := range map[compatibility.Format]bool{0: true, compatibility.Newest: true, compatibility.Newest + 1: false} {
		n := newTestNode(t, 1, nil)
		value, err := json.Marshal(pool.Lease{Format: format})
		require.NoError(t, err)
		n.applyLeaseTableRow(rows.Row{Key: pool.LeaseKey(poolName), Value: value, Version: 5})
		n.acquire(n.watcher, "no owner")
		require.Equal(t, acquired, n.watcher.acquiring, "format %d", format)
	}
}

func TestCommonFormatFollowsTheOldestMember(t *testing.T) {
	n := newTestNode(t, 1, map[string]float64{"node-2": 1})
	require.Equal(t, compatibility.Baseline, n.commonFormat(), "node-2 states no format")
	require.Equal(t, compatibility.Newest, n.self().Format)
	alone := newTestNode(t, 1, nil)
	require.Equal(t, compatibility.Newest, alone.commonFormat())
}

// TestPoolKeepsTheFormatOfItsLease checks that a node neither raises nor lowers the format of a pool that it
// acquires, whatever formats the members read.
func TestPoolKeepsTheFormatOfItsLease(t *testing.T) {
	for stated, want := range map[compatibility.Format]compatibility.Format{0: compatibility.Baseline, compatibility.Baseline: compatibility.Baseline, compatibility.Newest: compatibility.Newest} {
		n := newTestNode(t, 1, nil)
		value, err := json.Marshal(pool.Lease{Format: stated})
		require.NoError(t, err)
		n.applyLeaseTableRow(rows.Row{Key: pool.LeaseKey(poolName), Value: value, Version: 5})
		require.Equal(t, want, n.poolFormat(poolName), "the lease states %d", stated)
	}
}

// documents are examples of what a build of the production version writes for other nodes.
var documents = map[string]struct {
	text   string
	target any
}{
	"lease":                {`{"owner":"a","incarnation":"i","address":"1.2.3.4:5","nonce":"i/1","weight":0.8}`, &pool.Lease{}},
	"accepted job":         {`{"spec":{"id":"0123456789abcdef","payload":"p","steps":[{"count":2,"cpu":500,"memory_mb":64,"gpus":1,"estimate_ms":900,"gang":true}]},"tenant":"t","queue":{"name":"q","host":"h","path_prefix":"/p/","pool":"w","priority":1,"max_attempts":2,"stretch":3,"target_ms":1000,"public":false},"accepted_ms":1}`, &pool.Accepted{}},
	"progress":             {`{"token":7,"serial":3,"state":"running","steps":[{"s":0,"e":"AQ==","u":[{"i":1,"r":2,"f":1,"p":"c","w":["x","y"],"b":[5,6],"n":"Aw==","t":12,"d":"AQ==","a":{"x":"1.2.3.4:5"},"l":[{"m":1,"l":[{"w":"z","r":2,"a":1001}]}]}]}]}`, &pool.Progress{}},
	"cancellation":         {`{"at_ms":9}`, &cancellation{}},
	"member":               {`{"name":"a","incarnation":"i","address":"1.2.3.4:5","weight":0.8}`, &member{}},
	"ping request":         {`{"pool":"w","from":"a","token":7,"store_lost":true}`, &pingRequest{}},
	"ping reply":           {`{"owner":true,"store_age_ms":5,"store_lost":true,"waiting":{"q":2},"store_latency_ms":4}`, &pingReply{}},
	"notice of acceptance": {`{"pool":"w","row":{"Table":"jobs","Part":"w/1","Name":"n","Value":"e30=","Version":4,"Gone":false}}`, &acceptedNotice{}},
	"job request":          {`{"pool":"w","id":"0123456789abcdef","queue":"q"}`, &jobRequest{}},
	"lookup reply":         {`{"state":"running"}`, &lookupReply{}},
	"waiting reply":        {`{"waiting":3}`, &waitingReply{}},
}

// TestDocumentsOfProductionAreReadAndWrittenAlike checks that nodes of the production version and of
// this one understand each other: what production writes is read without loss, and written again
// as production would write it.
func TestDocumentsOfProductionAreReadAndWrittenAlike(t *testing.T) {
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, json.Unmarshal([]byte(document.text), document.target))
			require.Empty(t, changedField(t, document.text, document.target))
		})
	}
}

// changedField returns the name of a field of the original document that has another value in the written
// one; empty if there is none.
func changedField(t *testing.T, original string, value any) string {
	written, err := json.Marshal(value)
	require.NoError(t, err)
	var before, after map[string]any
	require.NoError(t, json.Unmarshal([]byte(original), &before))
	require.NoError(t, json.Unmarshal(written, &after))
	for field := range before {
		if !reflect.DeepEqual(before[field], after[field]) {
			return field
		}
	}
	return ""
}

// TestUnknownFieldsAreIgnored checks that documents of a version that has added fields are read as
// before, at every depth.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			known, extended := newOf(document.target), newOf(document.target)
			require.NoError(t, json.Unmarshal([]byte(document.text), known))
			var fields any
			require.NoError(t, json.Unmarshal([]byte(document.text), &fields))
			addUnknownFields(fields)
			text, err := json.Marshal(fields)
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(text, extended))
			require.Equal(t, known, extended)
		})
	}
}

func newOf(target any) any { return reflect.New(reflect.TypeOf(target).Elem()).Interface() }

// fixedKeys are the objects whose keys are data rather than fields.
var fixedKeys = map[string]bool{"a": true, "waiting": true}

// addUnknownFields adds a field to each object of a decoded document.
func addUnknownFields(value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			if !fixedKeys[key] {
				addUnknownFields(inner)
			}
		}
		value["field_of_a_later_version"] = []any{"text", 1.5}
	case []any:
		for _, inner := range value {
			addUnknownFields(inner)
		}
	}
}

// TestUnknownMethodIsRefused checks that a call of a later version gets an error and not silence.
func TestUnknownMethodIsRefused(t *testing.T) {
	n := newTestNode(t, 1, nil)
	_, err := n.servePeer(t.Context(), "method of a later version", []byte(`{}`))
	require.ErrorContains(t, err, "method of a later version")
}
