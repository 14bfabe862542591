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

// jsonCodec reads configurations that are catalogs in JSON.
type jsonCodec struct{}

func (jsonCodec) ConfigurationTable() string { return "operator" }
func (jsonCodec) ConfigurationKey() rows.Key {
	return rows.Key{Table: "operator", Name: "configuration"}
}
func (jsonCodec) EvacuationRows() (table, prefix string) { return "operator", "evacuate/" }
func (jsonCodec) EvacuatedZone(key rows.Key) (string, bool) {
	return strings.CutPrefix(key.Name, "evacuate/")
}
func (jsonCodec) WorkerTable() string { return "workers" }
func (jsonCodec) DecodeCatalog(value []byte) (*catalog.Catalog, error) {
	decoded := &catalog.Catalog{}
	return decoded, json.Unmarshal(value, decoded)
}
func (jsonCodec) DecodeWorker(string, []byte) (*fleet.Worker, error) { return &fleet.Worker{}, nil }

// throttledLink paces what arrives over all connections of one machine.
type throttledLink struct {
	bytesPerSecond int
	mutex          sync.Mutex
	freeAt         time.Time
}

// transmit waits until the link has carried some bytes.
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

// readSegmentBytes is how much of one connection a link carries before others get their turn.
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

// listen opens a port of this machine.
func (*throttledLink) listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

const (
	largeConfigurationBytes = 1 << 20
	// slowLinkBytesPerSecond carries the large configuration in some 3.5 s.
	slowLinkBytesPerSecond = 400_000
	// transferTimeout bounds the wait for what must arrive.
	transferTimeout = 40 * time.Second
)

// largeDocument is a configuration of a version.
func largeDocument(t *testing.T, version int64) []byte {
	document, err := json.Marshal(catalog.Catalog{Version: version})
	require.NoError(t, err)
	return append(document, bytes.Repeat([]byte(" "), largeConfigurationBytes-len(document))...)
}

// TestLargeConfigurationComesFromAnotherNodeOverASmallLink: at the end of a day accepted
// jobs had no answer, since most nodes refused every request: their configuration was a
// minute old. It had grown to 1.2 MB, and each node asked others for it all the time: in
// each ping of a pool's owner and in each call for news, which end after 0.4 s. On links
// of 10 Mbit/s none of these answers was ever whole; what had arrived was thrown away.
// Their links were full at 1,160 KB/s while their processors were at 0 to 3%, 24 of the
// 32 MB/s that all of them took in came from other nodes, and nothing ended it.
func TestLargeConfigurationComesFromAnotherNodeOverASmallLink(t *testing.T) {
	source := newGateway(t, refusingStore{}).node
	source.edges.Codec = jsonCodec{}
	source.applyDocument(largeDocument(t, 2), "feed")

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	own := loop.NewGoroutine()
	slowLink := &throttledLink{bytesPerSecond: slowLinkBytesPerSecond}
	n := New(ctx, Options{Name: "node-1"}, Edges{
		Store: refusingStore{}, Peers: peer.NewClient(slowLink.dial), Codec: jsonCodec{}, Loop: own, Record: discardRecorder{},
	})
	n.sample.members["node-2"] = member{Name: "node-2", Address: servePeers(t, source)}
	own.Post(n.Start)
	go own.Run(ctx)

	require.Eventually(t, func() bool {
		current := n.catalog.Load()
		return current != nil && current.Version == 2
	}, transferTimeout, 20*time.Millisecond)
}
