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

// Symptom: a node could not reach the owner of a pool for 10 s, although the owner and
// the path to it were well.
// Sequence: the connection to the owner goes silent without a reset; new connections
// work; every call on the old one times out after 0.4 s, one after another.
// Cause: a call that timed out left its connection in use; only the keep-alive, 5 s and
// a time-out of 5 s more, replaced it.
// Settled by: calls of 0.4 s, each begun when the last one failed, failed for 10.0 s.

// unresponsiveConn is a connection that can go silent: what is written to it is taken and
// lost, and nothing arrives any more.
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

// Read implements net.Conn. What arrives once the connection is silent is lost; a frame
// that was under way would show the connection as alive else.
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

// testNetwork connects a client with a server over connections that go silent.
type testNetwork struct {
	client *Client
	dialed atomic.Int32
	// dropNewTraffic is true while the other process serves no connection.
	dropNewTraffic atomic.Bool
	mutex          sync.Mutex
	open           []*unresponsiveConn
}

func newTestNetwork(t *testing.T, handler Handler) *testNetwork {
	network := &testNetwork{}
	server := NewServer(handler)
	network.client = NewClient(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConnection(far)
		network.dialed.Add(1)
		connection := &unresponsiveConn{Conn: near, closing: make(chan struct{})}
		connection.dropTraffic.Store(network.dropNewTraffic.Load())
		network.mutex.Lock()
		defer network.mutex.Unlock()
		network.open = append(network.open, connection)
		return connection, nil
	})
	t.Cleanup(network.client.Close)
	return network
}

// dropOpenTraffic strikes every connection that is open now.
func (n *testNetwork) dropOpenTraffic() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.dropTraffic.Store(true)
	}
}

// blockOpenWrites makes every connection that is open now take no more bytes.
func (n *testNetwork) blockOpenWrites() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.blockWrites.Store(true)
	}
}

// unresponsiveCallLimit is how long the tests' calls wait.
const unresponsiveCallLimit = 50 * time.Millisecond

func (n *testNetwork) call(t *testing.T, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := n.client.Call(ctx, "peer", lookup("one"))
	return err
}

// startCall begins a call that may take long and returns where its outcome comes.
func (n *testNetwork) startCall(t *testing.T, id string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := n.client.Call(t.Context(), "peer", lookup(id))
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
		require.NoError(t, network.call(t, time.Minute), "the next call goes over a new connection")
	}
}

// TestBlockedWriteHonorsDeadline: with full buffers a
// call cannot even be sent, and gave up after 5 s.
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
		t.Fatal("the call is held by its connection")
	}
	require.NoError(t, network.call(t, time.Minute))
}

// TestSlowResponseKeepsConnection: a connection on which others' answers arrive is not
// silent, and a call that waits for longer goes on.
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

// TestUnresponsivePeerIsNotRedialedByEveryCall: a process that stands still answers on no
// connection; a new one for each call would fill its queue of new connections.
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

// TestReplacedConnectionFinishesPendingCalls: only new calls leave a connection on
// which one call got no answer.
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
	_, err := network.client.Call(ctx, "peer", lookup("slower"))
	require.Error(t, err)
	require.NoError(t, network.call(t, time.Minute))
	close(release)
	require.NoError(t, <-slow)
}
