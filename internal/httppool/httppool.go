// Package httppool keeps the HTTP connections to many servers, those of each server by
// themselves, so that what one call finds out about them serves the calls after it.
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

// Pool sends requests over kept connections. A server may leave all open connections
// silent, without a reset, while new ones work. So a request whose time runs out ends the
// idle connections to its server too: each of them would cost another request its time.
// Pool implements http.RoundTripper.
type Pool struct {
	newTransport func() *http.Transport
	mutex        sync.Mutex
	servers      map[string]*server
}

// server is one server's connections.
type server struct {
	transport *http.Transport
	usedAt    time.Time
}

const (
	// serversSwept is how many servers are known before those that were not used for
	// unusedPeriod are forgotten.
	serversSwept = 256
	unusedPeriod = 2 * time.Minute
)

// New returns a pool whose connections to each server are kept by a transport of its own.
func New(newTransport func() *http.Transport) *Pool {
	return &Pool{newTransport: newTransport, servers: map[string]*server{}}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := p.transport(request.URL.Host)
	response, err := transport.RoundTrip(request)
	if err != nil {
		closeIfSilent(request.Context(), transport)
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, ctx: request.Context(), transport: transport}
	return response, nil
}

// ownLateness is how late a process may notice that a request's time ran out: more than a
// timer is late on a machine that is not at the limit of its processor, also one whose
// quota of processor time is spent for up to 0.1 s.
const ownLateness = 150 * time.Millisecond

// closeIfSilent ends idle connections if a request's time ran out. A request that its
// caller no longer wants says nothing of them, nor does one whose end this process noticed
// late: its answer may have been there.
func closeIfSilent(ctx context.Context, transport *http.Transport) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	if overdue, bounded := progress.Overdue(ctx); bounded && overdue > ownLateness {
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
		p.sweep(now)
		known = &server{transport: p.newTransport()}
		p.servers[host] = known
	}
	known.usedAt = now
	return known.transport
}

// sweep forgets servers that were not used for long, whenever their number reaches a power
// of two.
func (p *Pool) sweep(now time.Time) {
	count := len(p.servers)
	if count < serversSwept || count&(count-1) != 0 {
		return
	}
	for host, known := range p.servers {
		if now.Sub(known.usedAt) > unusedPeriod {
			known.transport.CloseIdleConnections()
			delete(p.servers, host)
		}
	}
}

// watchedBody is an answer's body. Its connection may go silent midway.
type watchedBody struct {
	io.ReadCloser
	ctx       context.Context
	transport *http.Transport
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		closeIfSilent(b.ctx, b.transport)
	}
	return count, err
}
