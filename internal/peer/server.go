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

// Handler answers one request with a JSON document or an error of a listed kind.
type Handler func(ctx context.Context, request *peerpb.Request) ([]byte, error)

// Server accepts connections of other nodes.
type Server struct {
	handler  Handler
	mutex    sync.Mutex
	sessions map[*yamux.Session]bool
	// closing is set, under the mutex, before requests is waited for.
	closing  bool
	requests sync.WaitGroup
}

// NewServer returns a server that answers with handler.
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

// ServeConnection answers the requests of one connection until it ends.
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

// beginRequest counts a request that Shutdown must wait for, unless it has begun to wait.
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

// rejectRequest answers requests that come after the end of service. They did nothing.
func rejectRequest(context.Context, *peerpb.Request) ([]byte, error) {
	return nil, fault.New(fault.NoOwner, "the node is stopping")
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

// requestReadTimeout bounds how long a request may take to arrive once its stream is open.
const requestReadTimeout = 10 * time.Second

// serveStream reads a request from a stream and writes the handler's answer.
func serveStream(stream net.Conn, handler Handler) {
	defer stream.Close()
	request := &peerpb.Request{}
	// A stream that cannot take a deadline is closed already.
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
	// A caller that went away needs no answer.
	_ = writeMessage(stream, response)
}

// Shutdown waits until all requests that have begun are answered, then closes all
// connections. The context bounds the wait.
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

// Session limits: how long a dead connection goes unnoticed, and how much of one
// answer may be under way.
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
