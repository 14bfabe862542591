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

// firstReadTimeout is the age up to which a connection that has received nothing is kept after a
// failed call. It limits reconnects to a hung process to one every two seconds.
const firstReadTimeout = 2 * time.Second

// connection is a yamux session with another node, shared by concurrent calls.
type connection struct {
	session  *yamux.Session
	incoming *readTracker
	openedAt time.Time
	mutex    sync.Mutex
	calls    int
	// retired is true once new calls use another connection. The session is closed after the last
	// pending call.
	retired bool
}

func newConnection(netConn net.Conn) (*connection, error) {
	incoming := &readTracker{Conn: netConn}
	session, err := yamux.Client(incoming, sessionConfig())
	if err != nil {
		return nil, err
	}
	return &connection{session: session, incoming: incoming, openedAt: time.Now()}, nil
}

// acquire registers a call on the connection. It returns false if the connection is retired or
// closed.
func (c *connection) acquire() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.retired || c.session.IsClosed() {
		return false
	}
	c.calls++
	return true
}

// release unregisters a call.
func (c *connection) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls--
	c.closeIfUnused()
}

// retire prevents new calls on the connection.
func (c *connection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = true
	c.closeIfUnused()
}

func (c *connection) closeIfUnused() {
	if c.retired && c.calls == 0 {
		// Close waits for the session's goroutines, one of which may be calling this method.
		go c.session.Close()
	}
}

// unresponsiveSince reports whether a connection must be replaced after a call that was sent at
// sentAt and had no response by now. The connection must be replaced if it received nothing in the
// second half of that time. Data received in the first half may belong to an earlier response.
func (c *connection) unresponsiveSince(sentAt, now time.Time) bool {
	lastReadAt := c.incoming.lastReadAt()
	if lastReadAt.IsZero() {
		return now.Sub(c.openedAt) > firstReadTimeout
	}
	return lastReadAt.Before(sentAt.Add(now.Sub(sentAt) / 2))
}

// callResult is the outcome of a call.
type callResult struct {
	response *peerpb.Response
	// sent is false if the request cannot have reached the other node.
	sent bool
	err  error
}

// call sends a request and waits for the response until ctx ends. The exchange runs on a separate
// goroutine, because a write to a session with full buffers blocks for up to writeTimeout.
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
	err = readMessage(progress.NewReader(ctx, stream), response)
	return callResult{response: response, sent: true, err: err}
}

// readTracker is a net.Conn that records when it last received data.
type readTracker struct {
	net.Conn
	lastReadNanos atomic.Int64
}

// Read implements io.Reader.
func (r *readTracker) Read(buffer []byte) (int, error) {
	count, err := r.Conn.Read(buffer)
	if count > 0 {
		r.lastReadNanos.Store(int64(time.Since(readTrackerEpoch)))
	}
	return count, err
}

// readTrackerEpoch is the base of readTracker.lastReadNanos, on the monotonic clock.
var readTrackerEpoch = time.Now()

// lastReadAt returns the time at which data was last received, or the zero time if none was
// received.
func (r *readTracker) lastReadAt() time.Time {
	nanos := r.lastReadNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return readTrackerEpoch.Add(time.Duration(nanos))
}
