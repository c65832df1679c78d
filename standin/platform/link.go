package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkPiece is the number of bytes that a Link forwards at a time.
	linkPiece = 4 << 10
	// linkQueue is the maximum number of pieces in transit for each connection: the
	// amount that 10 Mbit/s transfer in 0.3 s.
	linkQueue = 96
)

// Link is a VM's network link to one address. All connections share the link's rate for
// the data to the VM, which is also delayed. Data from the VM is forwarded at once.
type Link struct {
	target string
	// rate is in bytes a second.
	rate     int
	delay    time.Duration
	listener net.Listener
	passed   atomic.Int64
	silent   atomic.Bool

	mu sync.Mutex
	// free is when the link has sent the pieces so far.
	free  time.Time
	conns map[*linkConn]struct{}
}

// linkConn is a connection over a link: its connections to the VM and to the target.
type linkConn struct {
	vm, target net.Conn
	frozen     atomic.Bool
}

// NewLink starts a link on the loopback interface.
func NewLink(target string, bytesPerSecond int, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		target: target, rate: bytesPerSecond, delay: delay, listener: listener, conns: make(map[*linkConn]struct{}),
	}
	go l.serve()
	return l, nil
}

// Address returns the address at which the VM reaches the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Passed returns the number of bytes that have arrived at the VM.
func (l *Link) Passed() int64 { return l.passed.Load() }

// Cut stops the traffic of all connections, including new ones, without closing them.
func (l *Link) Cut() {
	l.silent.Store(true)
	l.Freeze()
}

// Freeze stops the traffic of the open connections without closing them. New ones
// work.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.frozen.Store(true)
	}
}

// Close closes the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.close()
	}
}

func (c *linkConn) close() {
	_ = c.vm.Close()
	_ = c.target.Close()
}

func (l *Link) serve() {
	for {
		vm, err := l.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = vm.Close()
			continue
		}
		c := &linkConn{vm: vm, target: target}
		c.frozen.Store(l.silent.Load())
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		go l.connect(c)
	}
}

// connect forwards both directions until one of them ends.
func (l *Link) connect(c *linkConn) {
	pieces := make(chan linkPacket, linkQueue)
	var all sync.WaitGroup
	all.Go(func() { c.up() })
	all.Go(func() { l.read(c, pieces) })
	all.Go(func() { l.down(c, pieces) })
	all.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// linkPacket is a piece with the time at which it arrives at the VM.
type linkPacket struct {
	data  []byte
	comes time.Time
}

// up forwards the data from the VM.
func (c *linkConn) up() {
	defer c.close()
	buffer := make([]byte, linkPiece)
	for {
		n, err := c.vm.Read(buffer)
		if n > 0 && !c.frozen.Load() {
			if _, err := c.target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// read reads the data from the target and assigns each piece its time on the link.
func (l *Link) read(c *linkConn, pieces chan<- linkPacket) {
	defer close(pieces)
	for {
		buffer := make([]byte, linkPiece)
		n, err := c.target.Read(buffer)
		if n > 0 {
			pieces <- linkPacket{data: buffer[:n], comes: l.turn(n)}
		}
		if err != nil {
			return
		}
	}
}

// down forwards the data from the target to the VM.
func (l *Link) down(c *linkConn, pieces <-chan linkPacket) {
	defer c.close()
	lost := false
	for p := range pieces {
		if lost || c.frozen.Load() {
			continue
		}
		time.Sleep(time.Until(p.comes))
		if _, err := c.vm.Write(p.data); err != nil {
			// The remaining pieces are discarded, so that the reader ends.
			lost = true
			c.close()
			continue
		}
		l.passed.Add(int64(len(p.data)))
	}
}

// turn returns when a piece that the target sends now arrives at the VM.
func (l *Link) turn(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	return l.free.Add(l.delay)
}
