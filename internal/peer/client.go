package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/progress"
)

// Dialer opens a connection to another node.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client keeps one connection to each other node.
type Client struct {
	dial     Dialer
	mutex    sync.Mutex
	sessions map[string]*yamux.Session
}

// NewClient returns a client that connects with dial, or over plain TCP when dial
// is nil.
func NewClient(dial Dialer) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, sessions: map[string]*yamux.Session{}}
}

// dialTimeout bounds the wait for a connection, so that a dead node costs little.
const dialTimeout = 2 * time.Second

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Call sends a request and returns the whole answer. The error is a *fault.Error.
// NoOwner means that the request did not reach the other node; OutcomeUnknown that
// it may have.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) ([]byte, error) {
	if by, bounded := progress.AnswerBy(ctx); bounded {
		request.BudgetMillis = time.Until(by).Milliseconds()
	}
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, fault.New(fault.NoOwner, "node %s cannot be reached", address)
	}
	stream, err := session.Open()
	if err != nil {
		c.forget(address, session)
		return nil, fault.New(fault.NoOwner, "node %s cannot be reached", address)
	}
	defer stream.Close()
	response, err := exchange(ctx, stream, request)
	if err != nil {
		return nil, fault.New(fault.OutcomeUnknown, "node %s gave no answer", address)
	}
	if response.Id != request.Id {
		return nil, fault.New(fault.OutcomeUnknown, "node %s answered another request", address)
	}
	if response.Fault != nil {
		return nil, fromFault(response.Fault)
	}
	return response.Document, nil
}

func exchange(ctx context.Context, stream net.Conn, request *peerpb.Request) (*peerpb.Response, error) {
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request); err != nil {
		return nil, err
	}
	response := &peerpb.Response{}
	err := readMessage(progress.Reader(ctx, stream), response)
	return response, err
}

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mutex.Lock()
	known := c.sessions[address]
	c.mutex.Unlock()
	if known != nil && !known.IsClosed() {
		return known, nil
	}
	connection, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, err
	}
	return c.keep(address, session), nil
}

// keep remembers a new session unless another request made one meanwhile.
func (c *Client) keep(address string, session *yamux.Session) *yamux.Session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if other := c.sessions[address]; other != nil && !other.IsClosed() {
		session.Close()
		return other
	}
	c.sessions[address] = session
	return session
}

func (c *Client) forget(address string, session *yamux.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
	session.Close()
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, session := range c.sessions {
		session.Close()
	}
}
