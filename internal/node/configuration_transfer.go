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

// Limits of a configuration's transfer from another node.
const (
	// maxChunkBytes is how much of a configuration one call brings. With its encoding a chunk
	// takes 35 ms of a link of 10 Mbit/s, so that pings behind it are answered in time.
	maxChunkBytes = 32 << 10
	// chunkTimeout bounds one such call: 30 times what a link of 10 Mbit/s takes for it.
	chunkTimeout = time.Second
	// storeTransferGrace is how long the store's own answer may take before other nodes are
	// asked as well: 1.8 MB on a link of 10 Mbit/s, within the least bound of 2 s.
	storeTransferGrace = 1500 * time.Millisecond
	// servedRetention is how long a version that was replaced counts as being fetched after the
	// last call for it: a version that replaces it sooner than a transfer takes would
	// otherwise make them begin anew, for as long as changes come.
	servedRetention = 2 * chunkTimeout
	// maxServedDocuments bounds the versions that are kept for that.
	maxServedDocuments = 4
)

// document is a configuration as the store keeps it.
type document struct {
	version int64
	content []byte
}

// chunkRequest asks for a part of a configuration, from an offset in bytes.
type chunkRequest struct {
	Version int64 `json:"version"`
	Offset  int   `json:"offset"`
}

// chunkReply is a part of the answering node's configuration: from the requested offset
// if it is of the requested version, and from its beginning otherwise.
type chunkReply struct {
	Version int64 `json:"version"`
	// Size is how many bytes the whole configuration has.
	Size    int    `json:"size"`
	Content []byte `json:"content"`
}

// download is a transfer of a configuration from other nodes: one at a time, and in
// chunks. Whole documents in each answer about an owner or about news filled small links
// and never arrived. What has arrived is kept when a call fails.
type download struct {
	document
	active bool
}

// downloadConfiguration fetches a version from another node, unless a transfer is under
// way. The store's own answer goes first: both at once would share the link.
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
	n.callPeerWithTimeout(chunkTimeout, address, methodChunk, request, func(answer []byte, err error) {
		var reply chunkReply
		if err == nil {
			err = json.Unmarshal(answer, &reply)
		}
		if err != nil {
			n.edges.Record.Count("retries", "configuration_chunk")
			n.download.active = false
			return
		}
		n.handleChunk(address, request, reply)
	})
}

// handleChunk takes in a part of a configuration and asks for the next one.
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
	finished := n.download.document
	n.download = download{}
	if !superseded && len(finished.content) == reply.Size {
		n.applyDocument(finished.content, "peer")
	}
}

// serveChunk answers another node with a part of this one's configuration. It may be
// called anywhere.
func (n *Node) serveChunk(request chunkRequest) (chunkReply, error) {
	served := n.servedDocuments.find(request.Version, n.document.Load())
	if served == nil {
		return chunkReply{}, fault.New(fault.ConfigurationOld, "this node has no configuration yet")
	}
	offset := request.Offset
	if served.version != request.Version {
		offset = 0
	}
	if offset < 0 || offset > len(served.content) {
		return chunkReply{}, fault.New(fault.InvalidRequest, "offset %d of a configuration of %d bytes", offset, len(served.content))
	}
	end := min(offset+maxChunkBytes, len(served.content))
	return chunkReply{Version: served.version, Size: len(served.content), Content: served.content[offset:end]}, nil
}

// servedDocuments are the versions that other nodes are fetching. Its methods may be
// called anywhere.
type servedDocuments struct {
	mutex   sync.Mutex
	entries []servedDocument
}

type servedDocument struct {
	*document
	requestedAt time.Time
}

// find returns a version that is being fetched, and otherwise the newest one, which it
// keeps for the calls to come. Versions that nobody fetches any more go with the next call.
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

// evictOldest drops the version whose last call is the oldest. The mutex is held.
func (s *servedDocuments) evictOldest() {
	oldest := slices.MinFunc(s.entries, func(a, b servedDocument) int { return a.requestedAt.Compare(b.requestedAt) })
	s.entries = slices.DeleteFunc(s.entries, func(d servedDocument) bool { return d.document == oldest.document })
}

// trackStoreTransfer notes that an answer of the store about the configuration arrives, from its
// first byte until the returned function is called.
func (n *Node) trackStoreTransfer(ctx context.Context) (context.Context, func()) {
	observed := progress.With(ctx, func(int) {
		now := uptime.Now()
		n.configurationTransferStart.CompareAndSwap(nil, &now)
	})
	return observed, func() { n.configurationTransferStart.Store(nil) }
}

// storeTransferPending reports whether an answer about the configuration arrives that
// still has its head start.
func (n *Node) storeTransferPending() bool {
	startedAt := n.configurationTransferStart.Load()
	return startedAt != nil && uptime.Since(*startedAt) < storeTransferGrace
}
