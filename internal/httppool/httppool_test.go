package httppool

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/faultproxy"
)

// TestOnlyTimeoutsCloseIdleConnections checks that a canceled request leaves idle connections
// open.
func TestOnlyTimeoutsCloseIdleConnections(t *testing.T) {
	errCanceledByCaller := errors.New("canceled by caller")
	cases := map[string]struct {
		cause error
		// opened is the total number of connections after the last request.
		opened int
	}{
		"timed out":          {context.DeadlineExceeded, 2},
		"canceled by caller": {errCanceledByCaller, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newCountedServer(t)
			address := "http://" + server.Address()
			client := &http.Client{Transport: New(func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} })}
			get(t, client, t.Context(), address)
			require.Equal(t, 1, server.EstablishedConnections())
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
			require.NoError(t, err)
			_, err = client.Do(request)
			require.Error(t, err)
			get(t, client, t.Context(), address)
			require.Equal(t, c.opened, server.EstablishedConnections())
		})
	}
}

// newCountedServer starts a server behind a proxy that counts connections.
func newCountedServer(t *testing.T) *faultproxy.Proxy {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
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

// TestUnusedServersAreEvicted guards against a pool that grows without bound as workers appear at
// new addresses.
func TestUnusedServersAreEvicted(t *testing.T) {
	pool := New(func() *http.Transport { return &http.Transport{} })
	for number := range minServersToEvict {
		pool.transport(fmt.Sprintf("worker-%d", number))
	}
	for _, entry := range pool.servers {
		entry.lastUsedAt = time.Now().Add(-2 * idleServerTimeout)
	}
	kept := pool.transport("worker-0")
	require.Len(t, pool.servers, minServersToEvict)
	require.Same(t, kept, pool.transport("worker-0"))
	pool.transport("another")
	require.Len(t, pool.servers, 2)
}

// TestLateTimeoutKeepsIdleConnections guards against an overloaded process that closes usable
// connections. Reconnecting would add load.
func TestLateTimeoutKeepsIdleConnections(t *testing.T) {
	cases := map[string]struct {
		overdue time.Duration
		opened  int
	}{
		"noticed at once": {0, 2},
		"noticed late":    {2 * maxTimerDelay, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newCountedServer(t)
			address := "http://" + server.Address()
			pool := New(func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} })
			client := &http.Client{Transport: pool}
			get(t, client, t.Context(), address)
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-c.overdue))
			defer cancel()
			closeIdleAfterTimeout(ctx, pool.transport(server.Address()))
			get(t, client, t.Context(), address)
			require.Equal(t, c.opened, server.EstablishedConnections())
		})
	}
}
