package peer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/progress"
)

// Dialer opens a connection to another node.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client calls other nodes. It keeps one connection per node and replaces an unresponsive
// connection.
type Client struct {
	dial        Dialer
	mutex       sync.Mutex
	connections map[string]*connection
}

// NewClient returns a client that connects with dial, or over TCP if dial is nil.
func NewClient(dial Dialer) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, connections: map[string]*connection{}}
}

// dialTimeout limits the time spent connecting to a node.
const dialTimeout = 2 * time.Second

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// ErrRefused marks the error of a call whose connection was refused: no process listens at the address. A
// machine that is unreachable refuses nothing. A firewall that rejects, or a proxy, gives the same error.
var ErrRefused = errors.New("peer: connection refused")

// RefusedError returns the error of a call to an address that refuses connections.
func RefusedError(address string) error {
	return errors.Mark(fault.New(fault.NoOwner, "node %s refuses connections; request not sent", address), ErrRefused)
}

// Call sends a request to the node at address and returns the response document. The error is a
// *fault.Error, marked as ErrRefused if the connection was refused. The kind NoOwner means that the
// request was not executed. The kind OutcomeUnknown means that the node may have executed the request.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) ([]byte, error) {
	if deadline, bounded := progress.FirstByteDeadline(ctx); bounded {
		request.BudgetMillis = time.Until(deadline).Milliseconds()
	}
	conn, err := c.acquireConnection(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, RefusedError(address)
	}
	if err != nil {
		return nil, fault.New(fault.NoOwner, "cannot connect to node %s; request not sent", address)
	}
	sentAt := time.Now()
	result := conn.call(ctx, request)
	if result.err != nil {
		return nil, c.handleCallFailure(address, conn, sentAt, result.sent)
	}
	response := result.response
	if response.Id != request.Id {
		return nil, fault.New(fault.OutcomeUnknown, "node %s sent a response with the wrong request ID; outcome unknown", address)
	}
	if response.Fault != nil {
		return nil, fromFault(response.Fault)
	}
	return response.Document, nil
}

// handleCallFailure returns the error of a failed call. It removes the call's connection if the
// request was not sent or the connection is unresponsive. Without the removal, every call would
// fail until the keep-alive closes the connection after 10 s.
func (c *Client) handleCallFailure(address string, failed *connection, sentAt time.Time, sent bool) error {
	if !sent {
		c.removeConnection(address, failed)
		return fault.New(fault.NoOwner, "connection to node %s failed; request not sent", address)
	}
	if failed.unresponsiveSince(sentAt, time.Now()) {
		c.removeConnection(address, failed)
	}
	return fault.New(fault.OutcomeUnknown, "no response from node %s; outcome unknown", address)
}

// acquireConnection returns a connection to address. The new call is registered on the connection.
func (c *Client) acquireConnection(ctx context.Context, address string) (*connection, error) {
	c.mutex.Lock()
	existing := c.connections[address]
	c.mutex.Unlock()
	if existing != nil && existing.acquire() {
		return existing, nil
	}
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	created, err := newConnection(netConn)
	if err != nil {
		netConn.Close()
		return nil, err
	}
	return c.addConnection(address, created), nil
}

// addConnection stores a new connection and registers the new call on it. If another call has
// stored a connection in the meantime, addConnection uses that connection and retires the new one.
func (c *Client) addConnection(address string, created *connection) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if other := c.connections[address]; other != nil && other.acquire() {
		created.retire()
		return other
	}
	c.connections[address] = created
	created.acquire()
	return created
}

// removeConnection removes a failed connection, so that new calls open another one. Pending calls
// on the failed connection continue.
func (c *Client) removeConnection(address string, failed *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[address] == failed {
		delete(c.connections, address)
	}
	failed.retire()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, open := range c.connections {
		open.session.Close()
	}
}
