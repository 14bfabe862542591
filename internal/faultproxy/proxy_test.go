package faultproxy

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo starts an echo server and returns its address.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	return listener.Addr().String()
}

// TestProxyModes guards against a connection that forwards again after bytes were lost, against
// new connections that stay affected, and against a reset that leaves connections open.
func TestProxyModes(t *testing.T) {
	proxy, err := New(echo(t))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	for _, mode := range []Mode{Blackhole, DropResponses, DropRequests} {
		connection, err := net.Dial("tcp", proxy.Address())
		require.NoError(t, err)
		require.Equal(t, byte('a'), exchange(t, connection, 'a'))
		proxy.SetMode(mode)
		_, err = connection.Write([]byte{'b'})
		require.NoError(t, err)
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = connection.Read(make([]byte, 1))
		require.Error(t, err, "mode %d", mode)
		proxy.SetMode(Forward)
	}
	connection, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	require.Equal(t, byte('c'), exchange(t, connection, 'c'))
	proxy.Reset()
	_, err = connection.Read(make([]byte, 1))
	require.Error(t, err)
}

// TestConnectionsShareTheRateOfALink guards against a rate limit that applies to each connection
// separately.
func TestConnectionsShareTheRateOfALink(t *testing.T) {
	const (
		rate  = 200 << 10
		bytes = 32 << 10
	)
	proxy, err := New(echo(t))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	proxy.SetRate(rate)
	began := time.Now()
	var transfers sync.WaitGroup
	for range 2 {
		connection, err := net.Dial("tcp", proxy.Address())
		require.NoError(t, err)
		t.Cleanup(func() { connection.Close() })
		transfers.Go(func() {
			go func() { _, _ = connection.Write(make([]byte, bytes)) }()
			_, err := io.ReadFull(connection, make([]byte, bytes))
			assert.NoError(t, err)
		})
	}
	transfers.Wait()
	require.GreaterOrEqual(t, time.Since(began), 2*bytes*time.Second/rate)
}

// TestEachDirectionOfALinkHasItsOwnRate guards against a limit shared by both directions, and
// against one that remains after SetRate(0).
func TestEachDirectionOfALinkHasItsOwnRate(t *testing.T) {
	proxy := &Proxy{}
	proxy.SetRate(1)
	began := time.Now()
	answered, limited := proxy.answers.reserve(60)
	require.True(t, limited)
	require.GreaterOrEqual(t, answered.Sub(began), time.Minute)
	asked, limited := proxy.requests.reserve(1)
	require.True(t, limited)
	require.True(t, asked.Before(answered))
	proxy.SetRate(0)
	_, limited = proxy.answers.reserve(60)
	require.False(t, limited)
}

func exchange(t *testing.T, connection net.Conn, b byte) byte {
	_, err := connection.Write([]byte{b})
	require.NoError(t, err)
	answer := make([]byte, 1)
	_, err = io.ReadFull(connection, answer)
	require.NoError(t, err)
	return answer[0]
}

// TestBlackholedConnectionsStayBlackholed guards against silenced connections that forward or
// close, and against new connections that are silenced too.
func TestBlackholedConnectionsStayBlackholed(t *testing.T) {
	proxy, err := New(echo(t))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	silent, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	require.Equal(t, byte('a'), exchange(t, silent, 'a'))
	proxy.SilenceOpenConnections()
	_, err = silent.Write([]byte{'b'})
	require.NoError(t, err)
	require.NoError(t, silent.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	fresh, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { fresh.Close() })
	require.Equal(t, byte('c'), exchange(t, fresh, 'c'))
}
