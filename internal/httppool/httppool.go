// Package httppool provides an HTTP transport with a separate connection pool for each server. A
// timeout therefore closes only the idle connections to the server that did not respond.
package httppool

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/progress"
)

// Pool is an http.RoundTripper that reuses connections. All open connections to a server may
// become unresponsive without a reset while new ones work. A request that times out therefore
// closes the server's idle connections, because each of them would make another request time out.
type Pool struct {
	newTransport func() *http.Transport
	mutex        sync.Mutex
	servers      map[string]*server
}

// server is the connection pool of one server.
type server struct {
	transport  *http.Transport
	lastUsedAt time.Time
}

const (
	// minServersToEvict is the smallest number of servers at which unused servers are evicted. A
	// server is unused if it has received no request for idleServerTimeout.
	minServersToEvict = 256
	idleServerTimeout = 2 * time.Minute
)

// New returns a Pool that creates a transport for each server with newTransport.
func New(newTransport func() *http.Transport) *Pool {
	return &Pool{newTransport: newTransport, servers: map[string]*server{}}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := p.transport(request.URL.Host)
	response, err := transport.RoundTrip(request)
	if err != nil {
		closeIdleAfterTimeout(request.Context(), transport)
		return nil, err
	}
	response.Body = &trackedBody{ReadCloser: response.Body, ctx: request.Context(), transport: transport}
	return response, nil
}

// maxTimerDelay is the longest time between a deadline and the detection of the timeout for which
// the timeout closes connections. It exceeds the timer delay of a process that is throttled for up
// to 0.1 s.
const maxTimerDelay = 150 * time.Millisecond

// closeIdleAfterTimeout closes idle connections if a request timed out. It ignores canceled
// requests. It also ignores timeouts that were detected late, because the response may have arrived
// in time.
func closeIdleAfterTimeout(ctx context.Context, transport *http.Transport) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	if overdue, bounded := progress.Overdue(ctx); bounded && overdue > maxTimerDelay {
		return
	}
	transport.CloseIdleConnections()
}

// transport returns the transport of a server and creates it on first use.
func (p *Pool) transport(host string) *http.Transport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	entry := p.servers[host]
	if entry == nil {
		p.evictUnused(now)
		entry = &server{transport: p.newTransport()}
		p.servers[host] = entry
	}
	entry.lastUsedAt = now
	return entry.transport
}

// evictUnused removes servers that were not used recently. It runs when the number of servers is a
// power of two, so that its cost is amortized.
func (p *Pool) evictUnused(now time.Time) {
	count := len(p.servers)
	if count < minServersToEvict || count&(count-1) != 0 {
		return
	}
	for host, entry := range p.servers {
		if now.Sub(entry.lastUsedAt) > idleServerTimeout {
			entry.transport.CloseIdleConnections()
			delete(p.servers, host)
		}
	}
}

// trackedBody is a response body that closes the server's idle connections if reading the body
// times out.
type trackedBody struct {
	io.ReadCloser
	ctx       context.Context
	transport *http.Transport
}

// Read implements io.Reader.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		closeIdleAfterTimeout(b.ctx, b.transport)
	}
	return count, err
}
