package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/progress"
)

// Dialer opens a connection to another node.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client calls other nodes. It keeps one connection per node and replaces it when it becomes
// unresponsive.
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

// Call sends a request and returns the response document. The error is a *fault.Error: NoOwner
// means that the request was not sent, OutcomeUnknown that it may have been executed.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) ([]byte, error) {
	if by, bounded := progress.FirstByteDeadline(ctx); bounded {
		request.BudgetMillis = time.Until(by).Milliseconds()
	}
	current, err := c.acquireConnection(ctx, address)
	if err != nil {
		return nil, fault.New(fault.NoOwner, "cannot connect to node %s; request not sent", address)
	}
	sentAt := time.Now()
	result := current.call(ctx, request)
	if result.err != nil {
		return nil, c.handleCallFailure(address, current, sentAt, result.sent)
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

// handleCallFailure retires the connection of a failed call if it is unresponsive. Otherwise every
// call would fail until the keep-alive closes the connection after 10 s.
func (c *Client) handleCallFailure(address string, failed *connection, sentAt time.Time, sent bool) error {
	if !sent {
		c.removeConnection(address, failed)
		return fault.New(fault.NoOwner, "node %s cannot be reached", address)
	}
	if failed.unresponsiveSince(sentAt, time.Now()) {
		c.removeConnection(address, failed)
	}
	return fault.New(fault.OutcomeUnknown, "no response from node %s; outcome unknown", address)
}

// acquireConnection returns a connection to address on which a call has been acquired.
func (c *Client) acquireConnection(ctx context.Context, address string) (*connection, error) {
	c.mutex.Lock()
	known := c.connections[address]
	c.mutex.Unlock()
	if known != nil && known.acquire() {
		return known, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	created, err := newConnection(raw)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return c.addConnection(address, created), nil
}

// addConnection stores a new connection, unless another call stored one in the meantime.
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

// removeConnection makes new calls open another connection. Pending calls continue.
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
