// Package faultproxy is a TCP proxy on loopback that injects network faults.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is the fault that a proxy injects.
type Mode int

const (
	// Forward forwards all bytes.
	Forward Mode = iota
	// Delay forwards them after a delay.
	Delay
	// Blackhole discards the bytes of both directions.
	Blackhole
	// DropResponses discards the bytes from the target, DropRequests those to it.
	DropResponses
	DropRequests
)

// proxyDelay is the delay of the mode Delay.
const proxyDelay = 150 * time.Millisecond

// chunkBytes bounds a single write, so that on a slow link small responses are not blocked by a
// large one on another connection.
const chunkBytes = 8 << 10

// Proxy forwards TCP connections to a target.
type Proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
	// silent contains the connections that no longer forward anything.
	silent map[net.Conn]bool
	// established counts the connections that were opened to the target.
	established int
	// answers and requests limit the rate of each direction over all connections.
	answers  rateLimiter
	requests rateLimiter
}

// New returns a proxy that listens on a free loopback port and forwards connections to target.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// EstablishedConnections returns the number of connections established through the proxy so far.
func (p *Proxy) EstablishedConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.established
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode for bytes that arrive from now on.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
}

// SetRate limits the bytes per second of all connections together, separately for each direction.
// Zero removes the limit.
func (p *Proxy) SetRate(bytesPerSecond int) {
	p.answers.set(bytesPerSecond)
	p.requests.set(bytesPerSecond)
}

// SilenceOpenConnections makes all open connections discard bytes of both directions from now on,
// without closing them. New connections work.
func (p *Proxy) SilenceOpenConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.silent[connection] = true
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	go p.pipe(server, client, DropRequests, &p.requests)
	p.pipe(client, server, DropResponses, &p.answers)
}

func (p *Proxy) track(connections ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.established++
	for _, connection := range connections {
		p.open[connection] = true
	}
}

func (p *Proxy) closeConnections(connections ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range connections {
		delete(p.open, connection)
		delete(p.silent, connection)
		_ = connection.Close()
	}
}

// pipe forwards bytes in one direction, within the rate limit. In the mode dropMode it discards
// them; once bytes are lost the connection never forwards again.
func (p *Proxy) pipe(to, from net.Conn, dropMode Mode, pace *rateLimiter) {
	defer p.closeConnections(to, from)
	buffer := make([]byte, chunkBytes)
	lost := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.modeFor(from); {
		case mode == Blackhole || mode == dropMode:
			lost = true
		case mode == Delay:
			time.Sleep(proxyDelay)
		}
		if lost {
			continue
		}
		pace.wait(count)
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// modeFor returns the mode for bytes that arrive on a connection.
func (p *Proxy) modeFor(from net.Conn) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.silent[from] {
		return Blackhole
	}
	return p.mode
}

// rateLimiter limits bytes per second.
type rateLimiter struct {
	mutex sync.Mutex
	// bytesPerSecond is zero if there is no limit.
	bytesPerSecond int
	// busyUntil is when all reserved bytes have been sent.
	busyUntil time.Time
}

func (p *rateLimiter) set(bytesPerSecond int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bytesPerSecond = bytesPerSecond
	p.busyUntil = time.Time{}
}

// wait blocks until the link has sent count further bytes.
func (p *rateLimiter) wait(count int) {
	if passed, limited := p.reserve(count); limited {
		time.Sleep(time.Until(passed))
	}
}

// reserve reserves the link for count bytes and returns when they will have been sent.
func (p *rateLimiter) reserve(count int) (passed time.Time, limited bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.bytesPerSecond == 0 {
		return time.Time{}, false
	}
	if now := time.Now(); p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(count) * time.Second / time.Duration(p.bytesPerSecond))
	return p.busyUntil, true
}
