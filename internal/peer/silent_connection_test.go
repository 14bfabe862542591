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

// silentConn is a connection that can go silent: what is written to it is taken and
// lost, and nothing arrives any more.
type silentConn struct {
	net.Conn
	silent  atomic.Bool
	stuck   atomic.Bool
	closing chan struct{}
	once    sync.Once
}

// Write implements net.Conn.
func (c *silentConn) Write(content []byte) (int, error) {
	if c.stuck.Load() {
		<-c.closing
		return 0, net.ErrClosed
	}
	if c.silent.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Read implements net.Conn. What arrives once the connection is silent is lost; a frame
// that was under way would show the connection as alive else.
func (c *silentConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if err != nil || !c.silent.Load() {
			return count, err
		}
	}
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	return c.Conn.Close()
}

// silentNetwork connects a client with a server over connections that go silent.
type silentNetwork struct {
	client *Client
	dialed atomic.Int32
	// standsStill is true while the other process serves no connection.
	standsStill atomic.Bool
	mutex       sync.Mutex
	open        []*silentConn
}

func newSilentNetwork(t *testing.T, handler Handler) *silentNetwork {
	network := &silentNetwork{}
	server := NewServer(handler)
	network.client = NewClient(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConnection(far)
		network.dialed.Add(1)
		connection := &silentConn{Conn: near, closing: make(chan struct{})}
		connection.silent.Store(network.standsStill.Load())
		network.mutex.Lock()
		defer network.mutex.Unlock()
		network.open = append(network.open, connection)
		return connection, nil
	})
	t.Cleanup(network.client.Close)
	return network
}

// silence strikes every connection that is open now.
func (n *silentNetwork) silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.silent.Store(true)
	}
}

// block makes every connection that is open now take no more bytes.
func (n *silentNetwork) block() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.open {
		connection.stuck.Store(true)
	}
}

// silentCallLimit is how long the tests' calls wait.
const silentCallLimit = 50 * time.Millisecond

func (n *silentNetwork) call(t *testing.T, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := n.client.Call(ctx, "peer", lookup("one"))
	return err
}

// callLater begins a call that may take long and returns where its outcome comes.
func (n *silentNetwork) callLater(t *testing.T, id string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := n.client.Call(t.Context(), "peer", lookup(id))
		ended <- err
	}()
	return ended
}

func echo(context.Context, *peerpb.Request) ([]byte, error) { return []byte("{}"), nil }

func TestSilentConnectionToANodeCostsOneCall(t *testing.T) {
	network := newSilentNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	for range 3 {
		network.silence()
		err := network.call(t, silentCallLimit)
		require.True(t, fault.IsKind(err, fault.OutcomeUnknown), "%v", err)
		require.NoError(t, network.call(t, time.Minute), "the next call goes over a new connection")
	}
}

// TestSilentConnectionThatTakesNoBytesHoldsNoCallBeyondItsDeadline: with full buffers a
// call cannot even be sent, and gave up after 5 s.
func TestSilentConnectionThatTakesNoBytesHoldsNoCallBeyondItsDeadline(t *testing.T) {
	network := newSilentNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	network.block()
	ended := make(chan error, 1)
	go func() { ended <- network.call(t, silentCallLimit) }()
	select {
	case err := <-ended:
		require.True(t, fault.IsKind(err, fault.OutcomeUnknown), "%v", err)
	case <-time.After(writeTimeout / 2):
		t.Fatal("the call is held by its connection")
	}
	require.NoError(t, network.call(t, time.Minute))
}

// TestSlowAnswersKeepTheirConnection: a connection on which others' answers arrive is not
// silent, and a call that waits for longer goes on.
func TestSlowAnswersKeepTheirConnection(t *testing.T) {
	release := make(chan struct{})
	network := newSilentNetwork(t, func(_ context.Context, request *peerpb.Request) ([]byte, error) {
		if request.Id == "slow" {
			<-release
		}
		return []byte("{}"), nil
	})
	require.NoError(t, network.call(t, time.Minute))
	slow := network.callLater(t, "slow")
	require.NoError(t, network.call(t, time.Minute))
	close(release)
	require.NoError(t, <-slow)
	require.EqualValues(t, 1, network.dialed.Load())
}

// TestSilentPeerIsNotDialedByEveryCall: a process that stands still answers on no
// connection; a new one for each call would fill its queue of new connections.
func TestSilentPeerIsNotDialedByEveryCall(t *testing.T) {
	network := newSilentNetwork(t, echo)
	require.NoError(t, network.call(t, time.Minute))
	network.silence()
	network.standsStill.Store(true)
	for range 10 {
		require.Error(t, network.call(t, 10*time.Millisecond))
	}
	require.LessOrEqual(t, network.dialed.Load(), int32(2))
}

// TestCallUnderWayOutlivesItsReplacedConnection: only new calls leave a connection on
// which one call got no answer.
func TestCallUnderWayOutlivesItsReplacedConnection(t *testing.T) {
	release := make(chan struct{})
	network := newSilentNetwork(t, func(_ context.Context, request *peerpb.Request) ([]byte, error) {
		if request.Id == "one" {
			return []byte("{}"), nil
		}
		<-release
		return []byte("{}"), nil
	})
	require.NoError(t, network.call(t, time.Minute))
	slow := network.callLater(t, "slow")
	ctx, cancel := context.WithTimeout(t.Context(), silentCallLimit)
	defer cancel()
	_, err := network.client.Call(ctx, "peer", lookup("slower"))
	require.Error(t, err)
	require.NoError(t, network.call(t, time.Minute))
	close(release)
	require.NoError(t, <-slow)
}
