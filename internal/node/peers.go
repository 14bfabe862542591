package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Methods of calls between nodes.
const (
	methodPing                = "ping"
	methodIndirectCheck       = "seen"
	methodConfigurationStatus = "news"
	methodLookup              = "lookup"
	methodWaiting             = "waiting"
	methodStore               = "store"
	methodChunk               = "chunk"
	// methodAccepted informs a pool's owner of an accepted job.
	methodAccepted = "accepted"
)

// jobRequest names a job or a queue.
type jobRequest struct {
	Pool  string `json:"pool"`
	ID    string `json:"id,omitempty"`
	Queue string `json:"queue,omitempty"`
}

type lookupReply struct {
	State taskgraph.State `json:"state"`
}

type waitingReply struct {
	Waiting int `json:"waiting"`
}

// call sends a request to another node and waits for the reply. It may be called from any
// goroutine.
func (n *Node) call(ctx context.Context, address, method string, body any) ([]byte, error) {
	document, err := json.Marshal(body)
	if err != nil {
		return nil, fault.New(fault.Internal, "%s: %v", method, err)
	}
	request := &peerpb.Request{Body: &peerpb.Request_PoolCall{PoolCall: &peerpb.PoolCall{Method: method, Document: document}}}
	reply, err := n.dependencies.Peers.Call(ctx, address, request)
	n.recordReceived("peer "+method, int64(len(reply)))
	return reply, err
}

// callPeer sends a request to another node without blocking the loop. It runs done on the loop with
// the reply or the error.
func (n *Node) callPeer(address, method string, body any, done func([]byte, error)) {
	n.callPeerWithTimeout(pingTimeout, address, method, body, done)
}

// callPeerWithTimeout is callPeer with the given timeout.
func (n *Node) callPeerWithTimeout(timeout time.Duration, address, method string, body any, done func([]byte, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ports.ctx, timeout)
		defer cancel()
		document, err := n.call(ctx, address, method, body)
		n.dependencies.Loop.Post(func() { done(document, err) })
	}()
}

// ServePeer handles another node's request. It may be called from any goroutine.
func (n *Node) ServePeer(ctx context.Context, request *peerpb.Request) ([]byte, error) {
	call := request.GetPoolCall()
	if call == nil {
		return nil, fault.New(fault.InvalidRequest, "peer request has no pool call")
	}
	reply, err := n.servePeer(ctx, call.Method, call.Document)
	if err != nil {
		return nil, err
	}
	return json.Marshal(reply)
}

// decodeBody decodes the body of another node's request.
func decodeBody[T any](method string, body []byte) (T, error) {
	var request T
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fault.New(fault.InvalidRequest, "%s: %v", method, err)
	}
	return request, nil
}

func (n *Node) servePeer(ctx context.Context, method string, body []byte) (any, error) {
	switch method {
	case methodConfigurationStatus:
		return n.currentConfigurationStatus(), nil
	case methodPing, methodIndirectCheck:
		request, err := decodeBody[pingRequest](method, body)
		if err != nil {
			return nil, err
		}
		if method == methodIndirectCheck {
			return n.serveIndirectCheck(ctx, request)
		}
		return n.servePing(ctx, request)
	case methodStore:
		request, err := decodeBody[storeRequest](method, body)
		if err != nil {
			return nil, err
		}
		return n.serveStore(ctx, request)
	case methodAccepted:
		notice, err := decodeBody[acceptedNotice](method, body)
		if err != nil {
			return nil, err
		}
		return n.serveAccepted(notice)
	case methodChunk:
		request, err := decodeBody[chunkRequest](method, body)
		if err != nil {
			return nil, err
		}
		return n.serveChunk(request)
	}
	return n.serveJobCall(ctx, method, body)
}

// serveJobCall handles a request about a job or a queue.
func (n *Node) serveJobCall(ctx context.Context, method string, body []byte) (any, error) {
	request, err := decodeBody[jobRequest](method, body)
	if err != nil {
		return nil, err
	}
	gateway := &Gateway{node: n}
	switch method {
	case methodLookup:
		state, err := gateway.lookupLocal(ctx, request.Pool, request.ID)
		return lookupReply{State: state}, err
	case methodWaiting:
		count, err := gateway.waitingLocal(ctx, request.Pool, request.Queue)
		return waitingReply{Waiting: count}, err
	}
	return nil, fault.New(fault.InvalidRequest, "unknown peer method %q", method)
}

// loopCallTimeout bounds the wait of a request handler for the loop.
const loopCallTimeout = 500 * time.Millisecond
