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
	// maxChunkBytes is the maximum size of a chunk. Pings queued behind a chunk on a slow link must
	// not time out. At 10 Mbit/s an encoded chunk takes 35 ms.
	maxChunkBytes = 32 << 10
	// chunkTimeout bounds the call for one chunk. It is some 30 times the transmission time of a
	// chunk at 10 Mbit/s.
	chunkTimeout = time.Second
	// storeTransferGrace is how long the store may take to send the configuration before this node
	// also downloads it from another node. It must be below MaxConfigurationAge, which is at least
	// 2 s. At 10 Mbit/s the store sends 1.8 MB in this time.
	storeTransferGrace = 1500 * time.Millisecond
	// servedRetention is how long a node keeps a replaced version after the last request for that
	// version. Without it, frequent changes would make downloads start over.
	servedRetention = 2 * chunkTimeout
	// maxServedDocuments is the maximum number of versions that a node keeps for downloads.
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

// chunkReply is a chunk of a configuration. If the responding node has the requested version, the
// chunk starts at the requested offset. Otherwise it is the first chunk of the version that the
// responding node has.
type chunkReply struct {
	Version int64 `json:"version"`
	// Size is the size of the whole configuration in bytes.
	Size    int    `json:"size"`
	Content []byte `json:"content"`
}

// download is a transfer of a configuration from other nodes. A node runs one download at a time.
// It requests the configuration in chunks, so that the download completes on slow links, and keeps
// the received content when a call fails. A whole configuration in each response to a ping could
// fill a slow link and miss the ping's timeout.
type download struct {
	document
	active bool
}

// downloadConfiguration downloads a version from another node. It does nothing while another
// download runs, or while the store sends a configuration, as both transfers would share the link.
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

// handleChunk appends a chunk to the download. It then requests the next chunk, or applies the
// complete configuration.
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

// servedDocuments keeps the versions that other nodes are downloading. The methods may be called
// from any goroutine.
type servedDocuments struct {
	mutex   sync.Mutex
	entries []servedDocument
}

type servedDocument struct {
	*document
	requestedAt time.Time
}

// find returns the requested version if it is retained, and the newest version otherwise. It
// retains the returned version for further requests, and evicts the versions that were not
// requested for servedRetention.
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

// trackStoreTransfer tracks one store call that reads the configuration. The returned context
// records when the first byte of the response arrives. The caller calls the returned function when
// the call ends.
func (n *Node) trackStoreTransfer(ctx context.Context) (context.Context, func()) {
	observed := progress.WithObserver(ctx, func(int) {
		now := uptime.Now()
		n.configurationTransferStart.CompareAndSwap(nil, &now)
	})
	return observed, func() { n.configurationTransferStart.Store(nil) }
}

// storeTransferPending reports whether the store started to send a configuration less than
// storeTransferGrace ago and is still sending.
func (n *Node) storeTransferPending() bool {
	startedAt := n.configurationTransferStart.Load()
	return startedAt != nil && uptime.Since(*startedAt) < storeTransferGrace
}
