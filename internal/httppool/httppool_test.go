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

// TestWhatARequestSaysOfIdleConnections: only a request whose time ran out ends them.
func TestWhatARequestSaysOfIdleConnections(t *testing.T) {
	errUnwanted := errors.New("no longer wanted")
	cases := map[string]struct {
		cause error
		// opened is how many connections the next request finds opened after it.
		opened int
	}{
		"time ran out":     {context.DeadlineExceeded, 2},
		"no longer wanted": {errUnwanted, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := listen(t)
			address := "http://" + server.Address()
			client := &http.Client{Transport: New(func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} })}
			get(t, client, t.Context(), address)
			require.Equal(t, 1, server.Opened())
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
			require.NoError(t, err)
			_, err = client.Do(request)
			require.Error(t, err)
			get(t, client, t.Context(), address)
			require.Equal(t, c.opened, server.Opened())
		})
	}
}

// listen serves behind a proxy, which counts the connections.
func listen(t *testing.T) *faultproxy.Proxy {
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

// TestOwnLatenessSaysNothingOfConnections: a process at the limit of its processor sees its
// requests' time run out though the answers are there. Ending idle connections then cost it
// new ones, up to 1,687 a second at an owner of 3,000 workers, and still more of its
// processor.
func TestOwnLatenessSaysNothingOfConnections(t *testing.T) {
	cases := map[string]struct {
		overdue time.Duration
		opened  int
	}{
		"noticed at once": {0, 2},
		"noticed late":    {2 * ownLateness, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := listen(t)
			address := "http://" + server.Address()
			pool := New(func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} })
			client := &http.Client{Transport: pool}
			get(t, client, t.Context(), address)
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-c.overdue))
			defer cancel()
			closeIfSilent(ctx, pool.transport(server.Address()))
			get(t, client, t.Context(), address)
			require.Equal(t, c.opened, server.Opened())
		})
	}
}
