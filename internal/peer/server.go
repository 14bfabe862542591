package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
)

// Handler executes a request and returns a JSON document or an error of a listed kind.
type Handler func(ctx context.Context, request *peerpb.Request) ([]byte, error)

// Server serves requests of other nodes.
type Server struct {
	handler  Handler
	mutex    sync.Mutex
	sessions map[*yamux.Session]bool
	// closing is set, under the mutex, before Shutdown waits for requests.
	closing  bool
	requests sync.WaitGroup
}

// NewServer returns a server that passes requests to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, sessions: map[*yamux.Session]bool{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.ServeConnection(connection)
	}
}

// ServeConnection serves requests on a connection until it is closed.
func (s *Server) ServeConnection(connection net.Conn) {
	session, err := yamux.Server(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return
	}
	s.trackSession(session, true)
	defer s.trackSession(session, false)
	defer session.Close()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		if s.beginRequest() {
			go s.serveRequest(stream)
		} else {
			go serveStream(stream, rejectRequest)
		}
	}
}

// beginRequest registers a request for which Shutdown waits. It returns false if Shutdown has been
// called.
func (s *Server) beginRequest() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing {
		return false
	}
	s.requests.Add(1)
	return true
}

func (s *Server) serveRequest(stream net.Conn) {
	defer s.requests.Done()
	serveStream(stream, s.handler)
}

// rejectRequest answers requests received during shutdown. They are not executed.
func rejectRequest(context.Context, *peerpb.Request) ([]byte, error) {
	return nil, fault.New(fault.NoOwner, "node is shutting down; request not executed")
}

func (s *Server) trackSession(session *yamux.Session, open bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if open {
		s.sessions[session] = true
	} else {
		delete(s.sessions, session)
	}
}

// requestReadTimeout limits the time between the opening of a stream and the end of its request.
const requestReadTimeout = 10 * time.Second

// serveStream reads a request from a stream and writes the handler's response.
func serveStream(stream net.Conn, handler Handler) {
	defer stream.Close()
	request := &peerpb.Request{}
	// SetReadDeadline fails only on a closed stream, and then so does the read.
	_ = stream.SetReadDeadline(time.Now().Add(requestReadTimeout))
	if err := readMessage(stream, request); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(request.BudgetMillis)*time.Millisecond)
	defer cancel()
	response := &peerpb.Response{Id: request.Id}
	document, err := handler(ctx, request)
	if err != nil {
		response.Fault = toFault(err)
	} else {
		response.Document = document
	}
	// A write error means that the caller has disconnected.
	_ = writeMessage(stream, response)
}

// Shutdown waits until all registered requests are answered or ctx ends, then closes all
// connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.mutex.Lock()
	s.closing = true
	s.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for session := range s.sessions {
		session.Close()
	}
}

// Session limits: detection time of dead connections, and receive window per stream.
const (
	keepAlive    = 5 * time.Second
	writeTimeout = 5 * time.Second
	streamWindow = 1 << 20
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}
