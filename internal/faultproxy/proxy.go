// Package faultproxy hands on connections on loopback and does to them what links under faults do.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode int

// The modes of a proxy.
const (
	// Pass hands on all bytes.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// Silence takes them and hands on nothing, either way.
	Silence
	// CutAnswers hands on requests and no answers; CutRequests the other way round.
	CutAnswers
	CutRequests
)

// proxyDelay is how late Delay hands bytes on.
const proxyDelay = 150 * time.Millisecond

// chunkBytes is the most that a connection hands on at once, so that small answers on
// other connections of a slow link are not held up behind a large one.
const chunkBytes = 8 << 10

// Proxy hands on connections between one daemon and the platform on loopback.
type Proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
	// silent has open connections that hand on nothing any more.
	silent map[net.Conn]bool
	// accepted counts the connections that were accepted.
	accepted int
	// answers and requests pace the two directions, each for all connections together.
	answers  rateLimiter
	requests rateLimiter
}

// New listens on a free loopback port and hands connections on to target.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Opened returns how many connections were made through the proxy so far.
func (p *Proxy) Opened() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.accepted
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what becomes of bytes from now on.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
}

// SetRate limits the bytes per second of all connections together, in each direction by
// itself. Zero lifts the limit.
func (p *Proxy) SetRate(bytesPerSecond int) {
	p.answers.set(bytesPerSecond)
	p.requests.set(bytesPerSecond)
}

// SilenceOpen makes every open connection hand on nothing any more, either way and for
// good, without ending it. New connections work.
func (p *Proxy) SilenceOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.silent[connection] = true
	}
}

// Reset breaks every open connection.
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

// Close ends the proxy and its connections.
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

func (p *Proxy) serve(near net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.track(near, server)
	go p.pipe(server, near, CutRequests, &p.requests)
	p.pipe(near, server, CutAnswers, &p.answers)
}

func (p *Proxy) track(connections ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.accepted++
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

// pipe hands bytes on from one connection to the other, but in the mode that cuts this
// way, and no faster than its pace. Bytes that a cut took are lost, and so is their
// connection.
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
		case mode == Silence || mode == dropMode:
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

// modeFor returns what becomes of bytes that arrive on a connection now.
func (p *Proxy) modeFor(from net.Conn) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.silent[from] {
		return Silence
	}
	return p.mode
}

// rateLimiter spreads bytes over time.
type rateLimiter struct {
	mutex sync.Mutex
	// bytesPerSecond is zero without a limit.
	bytesPerSecond int
	// busyUntil is when all bytes that were let in so far have passed.
	busyUntil time.Time
}

func (p *rateLimiter) set(bytesPerSecond int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bytesPerSecond = bytesPerSecond
	p.busyUntil = time.Time{}
}

// wait returns once count further bytes have passed.
func (p *rateLimiter) wait(count int) {
	if passed, limited := p.reserve(count); limited {
		time.Sleep(time.Until(passed))
	}
}

// reserve lets count bytes in behind all others, and returns when they have passed.
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
