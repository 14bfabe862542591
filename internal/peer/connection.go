package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/progress"
)

// firstReadTimeout is how long a connection on which nothing has arrived yet is kept after
// a call on it got no answer. It bounds the connections that a process which stands still
// collects to one in two seconds for each other node.
const firstReadTimeout = 2 * time.Second

// connection is a session with another node and the calls that use it.
type connection struct {
	session  *yamux.Session
	incoming *readTracker
	openedAt time.Time
	mutex    sync.Mutex
	calls    int
	// retired is true once new calls go elsewhere. The session is closed after the last
	// call then.
	retired bool
}

func newConnection(raw net.Conn) (*connection, error) {
	incoming := &readTracker{Conn: raw}
	session, err := yamux.Client(incoming, sessionConfig())
	if err != nil {
		return nil, err
	}
	return &connection{session: session, incoming: incoming, openedAt: time.Now()}, nil
}

// acquire counts a call, unless the connection is retired.
func (c *connection) acquire() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.retired || c.session.IsClosed() {
		return false
	}
	c.calls++
	return true
}

// release counts a call off.
func (c *connection) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls--
	c.closeIfUnused()
}

// retire keeps new calls off the connection.
func (c *connection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = true
	c.closeIfUnused()
}

func (c *connection) closeIfUnused() {
	if c.retired && c.calls == 0 {
		// Closing waits for the session's goroutines, of which one may call back here.
		go c.session.Close()
	}
}

// unresponsiveSince reports whether the connection has to be replaced after a call that was
// sent at a time and got no answer by now: nothing has arrived on it in the second half of
// that time. In the first half the end of an earlier answer may have come.
func (c *connection) unresponsiveSince(sentAt, now time.Time) bool {
	lastReadAt := c.incoming.lastReadAt()
	if lastReadAt.IsZero() {
		return now.Sub(c.openedAt) > firstReadTimeout
	}
	return lastReadAt.Before(sentAt.Add(now.Sub(sentAt) / 2))
}

// callResult is how a call ended.
type callResult struct {
	response *peerpb.Response
	// sent is false if the request surely did not reach the other node.
	sent bool
	err  error
}

// call sends a request and waits for the answer, until the context ends at the latest: a
// session whose buffers are full holds up whoever writes for writeTimeout.
func (c *connection) call(ctx context.Context, request *peerpb.Request) callResult {
	results := make(chan callResult, 1)
	go func() {
		defer c.release()
		results <- c.roundTrip(ctx, request)
	}()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return callResult{sent: true, err: ctx.Err()}
	}
}

func (c *connection) roundTrip(ctx context.Context, request *peerpb.Request) callResult {
	stream, err := c.session.Open()
	if err != nil {
		return callResult{err: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request); err != nil {
		return callResult{sent: true, err: err}
	}
	response := &peerpb.Response{}
	err = readMessage(progress.Reader(ctx, stream), response)
	return callResult{response: response, sent: true, err: err}
}

// readTracker notes when bytes arrive on a connection.
type readTracker struct {
	net.Conn
	lastReadNanos atomic.Int64
}

// Read implements io.Reader.
func (w *readTracker) Read(buffer []byte) (int, error) {
	count, err := w.Conn.Read(buffer)
	if count > 0 {
		w.lastReadNanos.Store(int64(time.Since(readTrackerEpoch)))
	}
	return count, err
}

// readTrackerEpoch is what incomingWatch counts from, on the steady clock.
var readTrackerEpoch = time.Now()

// lastReadAt returns when bytes last arrived; zero if none have.
func (w *readTracker) lastReadAt() time.Time {
	nanos := w.lastReadNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return readTrackerEpoch.Add(time.Duration(nanos))
}
