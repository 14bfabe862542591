package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
)

// The tests in this file make an open connection unresponsive without a reset. Only one call may
// fail before the client replaces the connection.

// unresponsiveConn is a connection that can drop all traffic or block writes.
type unresponsiveConn struct {
	net.Conn
	dropTraffic atomic.Bool
	blockWrites atomic.Bool
	closing     chan struct{}
	once        sync.Once
}

// Write implements net.Conn.
func (c *unresponsiveConn) Write(content []byte) (int, error) {
	if c.blockWrites.Load() {
		<-c.closing
		return 0, net.ErrClosed
	}
	if c.dropTraffic.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Read implements net.Conn. It discards data while traffic is dropped. Otherwise, a frame in
// transit would make the connection look responsive.
func (c *unresponsiveConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if err != nil || !c.dropTraffic.Load() {
			return count, err
		}
	}
}

// Close implements net.Conn.
func (c *unresponsiveConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	return c.Conn.Close()
}

// testNetwork connects a client with a server over unresponsiveConns.
type testNetwork struct {
	client *Client
	dialed atomic.Int32
	// dropNewTraffic makes new connections drop all traffic, as connections to a hung process do.
	dropNewTraffic atomic.Bool
	mutex          sync.Mutex
	open           []*unresponsiveConn
}

func newTestNetwork(t *testing.T, handler Handler) *testNetwork {
	network := &testNetwork{}
	server := NewServer(handler)
	network.client = NewClient(func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go server.ServeConnection(serverConn)
		network.dialed.Add(1)
		connection := &unresponsiveConn{Conn: clientConn, closing: make(chan struct{})}
		connection.dropTraffic.Store(network.dropNewTraffic.Load())
		network.mutex.Lock()
		defer network.mutex.Unlock()
		network.open = append(network.open, connection)
		return connection, nil
	})
	t.Cleanup(network.client.Close)
	return network
}

// dropOpenTraffic makes all open connections drop their traffic.
func (n *testNetwork) dropOpenTraffic() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.dropTraffic.Store(true)
	}
}

// blockOpenWrites makes writes on all open connections block.
func (n *testNetwork) blockOpenWrites() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.blockWrites.Store(true)
	}
}

// unresponsiveCallLimit is the time limit of calls that are expected to fail.
const unresponsiveCallLimit = 50 * time.Millisecond

func (n *testNetwork) call(t *testing.T, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := n.client.Call(ctx, "peer", lookupRequest("one"))
	return err
}

// startCall starts a call and returns a channel that receives its error.
func (n *testNetwork) startCall(t *testing.T, id string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := n.client.Call(t.Context(), "peer", lookupRequest(id))
		ended <- err
	}()
	return ended
}

func echo(context.Context, *peerpb.Request) ([]byte, error) { return []byte("{}"), nil }

func TestUnresponsiveConnectionFailsOneCall(t *testing.T) {
	network := newTestNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	for range 3 {
		network.dropOpenTraffic()
		err := network.call(t, unresponsiveCallLimit)
		require.True(t, fault.IsKind(err, fault.OutcomeUnknown), "%v", err)
		require.NoError(t, network.call(t, time.Minute), "the next call must use a new connection")
	}
}

// TestBlockedWriteHonorsDeadline guards against a call that waits for buffer space beyond the
// call's deadline.
func TestBlockedWriteHonorsDeadline(t *testing.T) {
	network := newTestNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	network.blockOpenWrites()
	ended := make(chan error, 1)
	go func() { ended <- network.call(t, unresponsiveCallLimit) }()
	select {
	case err := <-ended:
		require.True(t, fault.IsKind(err, fault.OutcomeUnknown), "%v", err)
	case <-time.After(writeTimeout / 2):
		t.Fatal("the call is blocked by its connection")
	}
	require.NoError(t, network.call(t, time.Minute))
}

// TestSlowResponseKeepsConnection checks that a slow call keeps its connection while responses to
// other calls arrive on the connection.
func TestSlowResponseKeepsConnection(t *testing.T) {
	release := make(chan struct{})
	network := newTestNetwork(t, func(_ context.Context, request *peerpb.Request) ([]byte, error) {
		if request.Id == "slow" {
			<-release
		}
		return []byte("{}"), nil
	})
	require.NoError(t, network.call(t, time.Minute))
	slow := network.startCall(t, "slow")
	require.NoError(t, network.call(t, time.Minute))
	close(release)
	require.NoError(t, <-slow)
	require.EqualValues(t, 1, network.dialed.Load())
}

// TestUnresponsivePeerIsNotRedialedByEveryCall guards against filling the accept queue of a hung
// process.
func TestUnresponsivePeerIsNotRedialedByEveryCall(t *testing.T) {
	network := newTestNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	network.dropOpenTraffic()
	network.dropNewTraffic.Store(true)
	for range 10 {
		require.Error(t, network.call(t, 10*time.Millisecond))
	}
	require.LessOrEqual(t, network.dialed.Load(), int32(2))
}

// TestReplacedConnectionFinishesPendingCalls checks that pending calls continue on a connection
// that the client replaces for new calls.
func TestReplacedConnectionFinishesPendingCalls(t *testing.T) {
	release := make(chan struct{})
	network := newTestNetwork(t, func(_ context.Context, request *peerpb.Request) ([]byte, error) {
		if request.Id == "one" {
			return []byte("{}"), nil
		}
		<-release
		return []byte("{}"), nil
	})
	require.NoError(t, network.call(t, time.Minute))
	slow := network.startCall(t, "slow")
	ctx, cancel := context.WithTimeout(t.Context(), unresponsiveCallLimit)
	defer cancel()
	_, err := network.client.Call(ctx, "peer", lookupRequest("slower"))
	require.Error(t, err)
	require.NoError(t, network.call(t, time.Minute))
	close(release)
	require.NoError(t, <-slow)
}
