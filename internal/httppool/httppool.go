// Package httppool provides an HTTP transport with a separate connection pool per server, so that
// a timeout can close the idle connections to that server only.
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
// closes the server's idle connections, each of which would make another request time out.
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
	// minServersToEvict is the number of servers from which unused ones are evicted. A server is
	// unused after idleServerTimeout.
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

// maxTimerDelay is the longest delay with which a timeout may be noticed and still count against
// the server. It exceeds the timer delay of a process that is throttled for up to 0.1 s.
const maxTimerDelay = 150 * time.Millisecond

// closeIdleAfterTimeout closes idle connections if a request timed out. Canceled requests do not
// count, nor do timeouts noticed late, because the response may have arrived in time.
func closeIdleAfterTimeout(ctx context.Context, transport *http.Transport) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	if overdue, bounded := progress.Overdue(ctx); bounded && overdue > maxTimerDelay {
		return
	}
	transport.CloseIdleConnections()
}

func (p *Pool) transport(host string) *http.Transport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	known := p.servers[host]
	if known == nil {
		p.evictUnused(now)
		known = &server{transport: p.newTransport()}
		p.servers[host] = known
	}
	known.lastUsedAt = now
	return known.transport
}

// evictUnused removes servers that were not used recently. It runs when the number of servers is a
// power of two, so that its cost is amortized.
func (p *Pool) evictUnused(now time.Time) {
	count := len(p.servers)
	if count < minServersToEvict || count&(count-1) != 0 {
		return
	}
	for host, known := range p.servers {
		if now.Sub(known.lastUsedAt) > idleServerTimeout {
			known.transport.CloseIdleConnections()
			delete(p.servers, host)
		}
	}
}

// trackedBody is a response body whose connection may become unresponsive while it is read.
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
