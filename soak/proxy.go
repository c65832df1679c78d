package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the data that passes through it.
type mode int

const (
	pass mode = iota
	// slow delays each piece of data.
	slow
	// silent forwards nothing in either direction, and keeps connections open.
	silent
	// answersCut forwards calls but no responses: calls are executed, and their
	// callers do not learn of it.
	answersCut
	// reset closes connections at once.
	reset
	modeCount
)

// slowDelay is the delay of each piece by a slow proxy: shorter than all timeouts, and
// long compared with the few milliseconds that a call usually takes.
const slowDelay = 120 * time.Millisecond

// proxy forwards connections to one address.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

// newProxy starts a proxy on the loopback interface.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode, also for connections that are open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		p.closeAll()
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll resets all connections.
func (p *proxy) closeAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(in)
	}
}

func (p *proxy) connect(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil || p.current() == reset {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, silent, silent) })
	both.Go(func() { p.copy(in, out, silent, answersCut) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy forwards one direction, except in the modes cut1 and cut2. Data sent in these
// modes is lost permanently, and the connection is unusable afterwards.
func (p *proxy) copy(to, from net.Conn, cut1, cut2 mode) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		m := p.current()
		lost = lost || m == cut1 || m == cut2
		if m == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}
