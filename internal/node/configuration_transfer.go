package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// Limits of the transfer of a configuration from another node.
const (
	// maxChunkBytes is the maximum size of a chunk. Encoded, it takes 35 ms on a link of 10 Mbit/s,
	// so that pings queued behind it are answered in time.
	maxChunkBytes = 32 << 10
	// chunkTimeout bounds the call for one chunk: 30 times its transmission time on a link of 10
	// Mbit/s.
	chunkTimeout = time.Second
	// storeTransferGrace is how long the store's own response may take before other nodes are
	// polled too. It is below the strictest limit on the configuration's age, 2 s.
	storeTransferGrace = 1500 * time.Millisecond
	// servedRetention is how long a replaced version is kept after the last request for it, so that
	// frequent changes do not make transfers start over.
	servedRetention = 2 * chunkTimeout
	// maxServedDocuments bounds the retained versions.
	maxServedDocuments = 4
)

// document is a configuration as encoded in the store.
type document struct {
	version int64
	content []byte
}

// chunkRequest requests a chunk of a configuration at an offset in bytes.
type chunkRequest struct {
	Version int64 `json:"version"`
	Offset  int   `json:"offset"`
}

// chunkReply is a chunk of a configuration: from the requested offset if the responding node has
// the requested version, otherwise the first chunk of the version that it has.
type chunkReply struct {
	Version int64 `json:"version"`
	// Size is the size of the whole configuration in bytes.
	Size    int    `json:"size"`
	Content []byte `json:"content"`
}

// download is a transfer of a configuration from other nodes. There is one at a time; it runs in
// chunks, so that it completes on slow links, and keeps the received content when a call fails.
type download struct {
	document
	active bool
}

// downloadConfiguration downloads a version from another node unless a transfer is in progress,
// including one from the store, which would share the link.
func (n *Node) downloadConfiguration(address string, version int64) {
	if n.download.active || n.storeTransferPending() {
		return
	}
	if n.download.version < version {
		n.download.document = document{version: version}
	}
	n.download.active = true
	n.downloadChunk(address)
}

func (n *Node) downloadChunk(address string) {
	request := chunkRequest{Version: n.download.version, Offset: len(n.download.content)}
	n.callPeerWithTimeout(chunkTimeout, address, methodChunk, request, func(response []byte, err error) {
		var reply chunkReply
		if err == nil {
			err = json.Unmarshal(response, &reply)
		}
		if err != nil {
			n.dependencies.Recorder.Count("retries", "configuration_chunk")
			n.download.active = false
			return
		}
		n.handleChunk(address, request, reply)
	})
}

// handleChunk appends a chunk and requests the next one.
func (n *Node) handleChunk(address string, request chunkRequest, reply chunkReply) {
	if reply.Version != request.Version {
		n.download.document = document{version: reply.Version}
	}
	n.download.content = append(n.download.content, reply.Content...)
	current := n.catalog.Load()
	superseded := current != nil && current.Version >= n.download.version
	if !superseded && len(reply.Content) > 0 && len(n.download.content) < reply.Size {
		n.downloadChunk(address)
		return
	}
	completed := n.download.document
	n.download = download{}
	if !superseded && len(completed.content) == reply.Size {
		n.applyDocument(completed.content, "peer")
	}
}

// serveChunk returns a chunk of this node's configuration to another node. It may be called from
// any goroutine.
func (n *Node) serveChunk(request chunkRequest) (chunkReply, error) {
	served := n.servedDocuments.find(request.Version, n.document.Load())
	if served == nil {
		return chunkReply{}, fault.New(fault.ConfigurationStale, "configuration not loaded yet")
	}
	offset := request.Offset
	if served.version != request.Version {
		offset = 0
	}
	if offset < 0 || offset > len(served.content) {
		return chunkReply{}, fault.New(fault.InvalidRequest, "chunk offset %d is outside the configuration of %d bytes", offset, len(served.content))
	}
	end := min(offset+maxChunkBytes, len(served.content))
	return chunkReply{Version: served.version, Size: len(served.content), Content: served.content[offset:end]}, nil
}

// servedDocuments are the versions that other nodes are downloading. Its methods may be called from
// any goroutine.
type servedDocuments struct {
	mutex   sync.Mutex
	entries []servedDocument
}

type servedDocument struct {
	*document
	requestedAt time.Time
}

// find returns the requested version if it is retained, and otherwise the newest one, which it
// retains for further requests. It evicts the versions that are no longer requested.
func (s *servedDocuments) find(version int64, newest *document) *document {
	if newest == nil {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := uptime.Now()
	s.entries = slices.DeleteFunc(s.entries, func(d servedDocument) bool { return now.Sub(d.requestedAt) > servedRetention })
	for _, wanted := range []int64{version, newest.version} {
		for i := range s.entries {
			if s.entries[i].version == wanted {
				s.entries[i].requestedAt = now
				return s.entries[i].document
			}
		}
	}
	if len(s.entries) == maxServedDocuments {
		s.evictOldest()
	}
	s.entries = append(s.entries, servedDocument{document: newest, requestedAt: now})
	return newest
}

// evictOldest removes the version that was least recently requested. The mutex must be held.
func (s *servedDocuments) evictOldest() {
	oldest := slices.MinFunc(s.entries, func(a, b servedDocument) int { return a.requestedAt.Compare(b.requestedAt) })
	s.entries = slices.DeleteFunc(s.entries, func(d servedDocument) bool { return d.document == oldest.document })
}

// trackStoreTransfer returns a context that records when the store's response with the
// configuration starts to arrive, and a function that ends the tracking.
func (n *Node) trackStoreTransfer(ctx context.Context) (context.Context, func()) {
	observed := progress.WithObserver(ctx, func(int) {
		now := uptime.Now()
		n.configurationTransferStart.CompareAndSwap(nil, &now)
	})
	return observed, func() { n.configurationTransferStart.Store(nil) }
}

// storeTransferPending reports whether the store's response with the configuration is arriving and
// still within storeTransferGrace.
func (n *Node) storeTransferPending() bool {
	startedAt := n.configurationTransferStart.Load()
	return startedAt != nil && uptime.Since(*startedAt) < storeTransferGrace
}
