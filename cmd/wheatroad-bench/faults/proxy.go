package faults

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

// Proxy hands on connections between one daemon and the platform on loopback.
type Proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
}

// NewProxy listens on a free loopback port and hands connections on to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what becomes of bytes from now on.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.keep(near, far)
	go p.pipe(far, near, CutRequests)
	p.pipe(near, far, CutAnswers)
}

func (p *Proxy) keep(connections ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range connections {
		p.open[connection] = true
	}
}

func (p *Proxy) drop(connections ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range connections {
		delete(p.open, connection)
		_ = connection.Close()
	}
}

// pipe hands bytes on from one connection to the other, but in the mode that cuts this
// way. Bytes that a cut took are lost, and so is their connection.
func (p *Proxy) pipe(to, from net.Conn, cut Mode) {
	defer p.drop(to, from)
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.current(); {
		case mode == Silence || mode == cut:
			lost = true
		case mode == Delay:
			time.Sleep(proxyDelay)
		}
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *Proxy) current() Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}
