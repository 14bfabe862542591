package httpstore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/store"
)

func newTestClient(t *testing.T) (*standin.Server, *Client) {
	site := standin.NewSite(nil, "", time.Now())
	server := standin.NewServer(site, 1, time.Now)
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return server, New(httpServer.URL, httpServer.Client())
}

func putIfRevision(key, value string, revision int64) store.Transaction {
	return store.Transaction{
		Conditions: []store.Condition{{Key: key, Revision: revision}},
		Writes:     []store.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTableContract(t *testing.T) {
	_, client := newTestClient(t)
	ctx := t.Context()
	first, err := client.Commit(ctx, putIfRevision("a/1", "x", store.Absent))
	require.NoError(t, err)
	require.True(t, first.Committed)

	second, err := client.Commit(ctx, putIfRevision("a/1", "y", store.Absent))
	require.NoError(t, err)
	require.False(t, second.Committed)
	require.Equal(t, []string{"a/1"}, second.Failed)

	partlyFailing := putIfRevision("a/2", "z", store.Absent)
	partlyFailing.Conditions = append(partlyFailing.Conditions, store.Condition{Key: "a/1", Revision: first.Revision + 1})
	result, err := client.Commit(ctx, partlyFailing)
	require.NoError(t, err)
	require.False(t, result.Committed, "a failed condition must prevent all writes")

	row, err := client.Get(ctx, "a/2")
	require.NoError(t, err)
	require.Equal(t, store.Absent, row.Revision)

	_, err = client.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "a/1", Delete: true}, {Key: "b/1", Value: []byte("w")}}})
	require.NoError(t, err)
	scan, err := client.Scan(ctx, "a/", first.Revision)
	require.NoError(t, err)
	require.Len(t, scan.Rows, 1)
	require.True(t, scan.Rows[0].Deleted)
	all, err := client.Scan(ctx, "", 0)
	require.NoError(t, err)
	require.Len(t, all.Rows, 1)
}

func TestCommitErrorByFault(t *testing.T) {
	cases := map[string]struct {
		fault  standin.Fault
		want   error
		effect bool
	}{
		"down":              {standin.Fault{Mode: standin.Down}, store.ErrUnavailable, false},
		"response lost":     {standin.Fault{Mode: standin.Lossy, Share: 1}, store.ErrOutcomeUnknown, true},
		"late effect":       {standin.Fault{Mode: standin.Late, Share: 1, DelaySeconds: 0.01}, store.ErrOutcomeUnknown, true},
		"deadline exceeded": {standin.Fault{Mode: standin.Slow, DelaySeconds: 0.3}, store.ErrOutcomeUnknown, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, client := newTestClient(t)
			server.SetFault("table", c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Commit(ctx, putIfRevision("k", "v", store.Absent))
			require.True(t, errors.Is(err, c.want), "%v", err)
			server.SetFault("table", standin.Fault{})
			require.Eventually(t, func() bool {
				row, err := client.Get(t.Context(), "k")
				return err == nil && (row.Revision != store.Absent) == c.effect
			}, time.Minute, time.Millisecond)
		})
	}
}

// TestPutErrorByFault guards against reporting an object as not written although it was.
func TestPutErrorByFault(t *testing.T) {
	cases := map[string]struct {
		fault standin.Fault
		want  error
	}{
		"down":          {standin.Fault{Mode: standin.Down}, store.ErrUnavailable},
		"response lost": {standin.Fault{Mode: standin.Lossy, Share: 1}, store.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, client := newTestClient(t)
			server.SetFault("objects", c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			err := client.Objects().Put(ctx, "x/y", []byte("content"))
			require.True(t, errors.Is(err, c.want), "%v", err)
			require.False(t, errors.Is(err, store.ErrUnavailable) && errors.Is(err, store.ErrOutcomeUnknown))
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	httpServer := httptest.NewServer(http.NotFoundHandler())
	client := New(httpServer.URL, httpServer.Client())
	httpServer.Close()
	_, err := client.Commit(t.Context(), putIfRevision("k", "v", store.Absent))
	require.True(t, errors.Is(err, store.ErrUnavailable), "a refused connection had no effect")
}

func TestObjects(t *testing.T) {
	server, client := newTestClient(t)
	objects := client.Objects()
	content := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	_, err := objects.Get(t.Context(), "x/y")
	require.True(t, errors.Is(err, store.ErrNotFound), "%v", err)
	require.NoError(t, objects.Put(t.Context(), "x/y", content))
	got, err := objects.Get(t.Context(), "x/y")
	require.NoError(t, err)
	require.True(t, bytes.Equal(content, got))
	server.SetFault("objects", standin.Fault{Mode: standin.Down})
	_, err = objects.Get(t.Context(), "x/y")
	require.True(t, errors.Is(err, store.ErrUnavailable), "%v", err)
}
