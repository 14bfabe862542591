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

// unprovenPeriod is how long a connection on which nothing has arrived yet is kept after
// a call on it got no answer. It bounds the connections that a process which stands still
// collects to one in two seconds for each other node.
const unprovenPeriod = 2 * time.Second

// connection is a session with another node and the calls that use it.
type connection struct {
	session  *yamux.Session
	incoming *incomingWatch
	openedAt time.Time
	mutex    sync.Mutex
	calls    int
	// retired is true once new calls go elsewhere. The session is closed after the last
	// call then.
	retired bool
}

func newConnection(raw net.Conn) (*connection, error) {
	incoming := &incomingWatch{Conn: raw}
	session, err := yamux.Client(incoming, sessionConfig())
	if err != nil {
		return nil, err
	}
	return &connection{session: session, incoming: incoming, openedAt: time.Now()}, nil
}

// begin counts a call, unless the connection is retired.
func (c *connection) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.retired || c.session.IsClosed() {
		return false
	}
	c.calls++
	return true
}

// end counts a call off.
func (c *connection) end() {
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

// silentDuring reports whether the connection has to be replaced after a call that was
// sent at a time and got no answer by now: nothing has arrived on it in the second half of
// that time. In the first half the end of an earlier answer may have come.
func (c *connection) silentDuring(sentAt, now time.Time) bool {
	arrivedAt := c.incoming.lastAt()
	if arrivedAt.IsZero() {
		return now.Sub(c.openedAt) > unprovenPeriod
	}
	return arrivedAt.Before(sentAt.Add(now.Sub(sentAt) / 2))
}

// outcome is how a call ended.
type outcome struct {
	response *peerpb.Response
	// sent is false if the request surely did not reach the other node.
	sent bool
	err  error
}

// call sends a request and waits for the answer, until the context ends at the latest: a
// session whose buffers are full holds up whoever writes for writeTimeout.
func (c *connection) call(ctx context.Context, request *peerpb.Request) outcome {
	ended := make(chan outcome, 1)
	go func() {
		defer c.end()
		ended <- c.exchange(ctx, request)
	}()
	select {
	case result := <-ended:
		return result
	case <-ctx.Done():
		return outcome{sent: true, err: ctx.Err()}
	}
}

func (c *connection) exchange(ctx context.Context, request *peerpb.Request) outcome {
	stream, err := c.session.Open()
	if err != nil {
		return outcome{err: err}
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request); err != nil {
		return outcome{sent: true, err: err}
	}
	response := &peerpb.Response{}
	err = readMessage(progress.Reader(ctx, stream), response)
	return outcome{response: response, sent: true, err: err}
}

// incomingWatch notes when bytes arrive on a connection.
type incomingWatch struct {
	net.Conn
	arrivedNanos atomic.Int64
}

// Read implements io.Reader.
func (w *incomingWatch) Read(buffer []byte) (int, error) {
	count, err := w.Conn.Read(buffer)
	if count > 0 {
		w.arrivedNanos.Store(int64(time.Since(watchEpoch)))
	}
	return count, err
}

// watchEpoch is what incomingWatch counts from, on the steady clock.
var watchEpoch = time.Now()

// lastAt returns when bytes last arrived; zero if none have.
func (w *incomingWatch) lastAt() time.Time {
	nanos := w.arrivedNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return watchEpoch.Add(time.Duration(nanos))
}
