package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// jsonCodec decodes catalogs in JSON.
type jsonCodec struct{}

func (jsonCodec) ConfigurationTable() string { return "operator" }
func (jsonCodec) ConfigurationKey() rows.Key {
	return rows.Key{Table: "operator", Name: "configuration"}
}
func (jsonCodec) EvacuationRows() (table, prefix string) { return "operator", "evacuate/" }
func (jsonCodec) ParseEvacuationKey(key rows.Key) (string, bool) {
	return strings.CutPrefix(key.Name, "evacuate/")
}
func (jsonCodec) WorkerTable() string { return "workers" }
func (jsonCodec) DecodeCatalog(value []byte) (*catalog.Catalog, error) {
	decoded := &catalog.Catalog{}
	return decoded, json.Unmarshal(value, decoded)
}
func (jsonCodec) DecodeWorker(string, []byte) (*fleet.Worker, error) { return &fleet.Worker{}, nil }

// throttledLink limits the bandwidth of all connections of one machine.
type throttledLink struct {
	bytesPerSecond int
	mutex          sync.Mutex
	freeAt         time.Time
}

// transmit waits until the link has carried the given bytes.
func (l *throttledLink) transmit(count int) {
	l.mutex.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(count) * time.Second / time.Duration(l.bytesPerSecond))
	until := l.freeAt
	l.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// throttledConnection is a connection over a link.
type throttledConnection struct {
	net.Conn
	link *throttledLink
}

// readSegmentBytes is the most that one connection receives before other connections get their turn
// on the link.
const readSegmentBytes = 8 << 10

// Read implements net.Conn.
func (c *throttledConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer[:min(len(buffer), readSegmentBytes)])
	c.link.transmit(count)
	return count, err
}

// dial opens connections over the link.
func (l *throttledLink) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &throttledConnection{Conn: connection, link: l}, nil
}

// listen opens a port of this machine. Connections to the port are not throttled.
func (*throttledLink) listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

const (
	largeConfigurationBytes = 1 << 20
	// slowLinkBytesPerSecond makes the large configuration take longer than any one call may.
	slowLinkBytesPerSecond = 400_000
	// transferTimeout bounds a test's wait for a transfer.
	transferTimeout = 40 * time.Second
)

// largeDocument returns an encoded configuration of the given version.
func largeDocument(t *testing.T, version int64) []byte {
	document, err := json.Marshal(catalog.Catalog{Version: version})
	require.NoError(t, err)
	return append(document, bytes.Repeat([]byte(" "), largeConfigurationBytes-len(document))...)
}

// TestLargeConfigurationComesFromAnotherNodeOverASmallLink: on a slow link a configuration may take
// longer to receive than one call may last. It must still arrive, or the node refuses requests.
func TestLargeConfigurationComesFromAnotherNodeOverASmallLink(t *testing.T) {
	source := newGateway(t, refusingStore{}).node
	source.dependencies.Codec = jsonCodec{}
	source.applyDocument(largeDocument(t, 2), "feed")

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	eventLoop := loop.NewGoroutine()
	slowLink := &throttledLink{bytesPerSecond: slowLinkBytesPerSecond}
	n := New(ctx, Options{Name: "node-1"}, Dependencies{
		Store: refusingStore{}, Peers: peer.NewClient(slowLink.dial), Codec: jsonCodec{}, Loop: eventLoop, Recorder: discardRecorder{},
	})
	n.memberSample.members["node-2"] = member{Name: "node-2", Address: servePeers(t, source)}
	eventLoop.Post(n.Start)
	go eventLoop.Run(ctx)

	require.Eventually(t, func() bool {
		current := n.catalog.Load()
		return current != nil && current.Version == 2
	}, transferTimeout, 20*time.Millisecond)
}
