package httppool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestWhatARequestSaysOfIdleConnections: only a request whose time ran out ends them.
func TestWhatARequestSaysOfIdleConnections(t *testing.T) {
	errUnwanted := errors.New("no longer wanted")
	cases := map[string]struct {
		cause error
		// opened is how many connections the next request finds opened after it.
		opened int32
	}{
		"time ran out":     {context.DeadlineExceeded, 2},
		"no longer wanted": {errUnwanted, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var opened atomic.Int32
			address := listen(t, &opened)
			client := &http.Client{Transport: New(func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} })}
			get(t, client, t.Context(), address)
			require.EqualValues(t, 1, opened.Load())
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
			require.NoError(t, err)
			_, err = client.Do(request)
			require.Error(t, err)
			get(t, client, t.Context(), address)
			require.Equal(t, c.opened, opened.Load())
		})
	}
}

func listen(t *testing.T, opened *atomic.Int32) string {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = countOpened(opened)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

func get(t *testing.T, client *http.Client, ctx context.Context, address string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	buffer := make([]byte, 64)
	for err == nil {
		_, err = response.Body.Read(buffer)
	}
	require.NoError(t, response.Body.Close())
}

// TestUnusedServersAreForgotten: workers come and go at new addresses for as long as a
// node runs.
func TestUnusedServersAreForgotten(t *testing.T) {
	pool := New(func() *http.Transport { return &http.Transport{} })
	for number := range serversSwept {
		pool.transport(fmt.Sprintf("worker-%d", number))
	}
	for _, known := range pool.servers {
		known.usedAt = time.Now().Add(-2 * unusedPeriod)
	}
	kept := pool.transport("worker-0")
	require.Len(t, pool.servers, serversSwept)
	require.Same(t, kept, pool.transport("worker-0"))
	pool.transport("another")
	require.Len(t, pool.servers, 2)
}

func countOpened(opened *atomic.Int32) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
}
