package httptarget

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/fate"
)

// testConn is a conn without net/http on top, together with its peer.
type testConn struct {
	t    *testing.T
	c    *conn
	peer net.Conn
}

func newTestConn(t *testing.T) *testConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // the connection stands
	target := New(Options{})
	t.Cleanup(target.Close)
	target.Limit(l.Addr().String(), 1)
	p, _ := target.pool(l.Addr().String())
	p.open = 1
	c, err := p.connect(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.close()
		peer.Close() //nolint:errcheck // the test is over
	})
	return &testConn{t: t, c: c, peer: peer}
}

// Idle returns how many connections to address are in the pool, unused.
func (t *Target) Idle(address string) int {
	p, ok := t.pool(address)
	if !ok {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

func (w *testConn) exchange(answer string) {
	w.t.Helper()
	w.c.arm(time.Time{})
	if _, err := io.WriteString(w.c, "request"); err != nil {
		w.t.Fatal(err)
	}
	if _, err := io.WriteString(w.peer, answer); err != nil {
		w.t.Fatal(err)
	}
	if _, err := io.ReadFull(w.c, make([]byte, len(answer))); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testConn) pooled() bool {
	w.c.pool.mu.Lock()
	defer w.c.pool.mu.Unlock()
	return len(w.c.pool.idle) == 1
}

// read begins a read and returns once it waits at the empty socket.
func (w *testConn) read() chan error {
	w.t.Helper()
	result := make(chan error, 1)
	go func() {
		_, err := w.c.Read(make([]byte, 64))
		result <- err
	}()
	w.await("the reader waits", w.parked)
	return result
}

func (w *testConn) await(what string, holds func() bool) {
	w.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !holds(); {
		if time.Now().After(limit) {
			w.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (w *testConn) parked() bool {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.c.parked
}

// Guards against a caller receiving the bytes after another caller's response,
// which happens if a connection is reused while its reader still holds them. A
// reader that asks for more input holds none.
func TestPooledOnceReaderAsksForMore(t *testing.T) {
	w := newTestConn(t)
	w.exchange("answer")
	w.c.finish()
	if w.pooled() {
		t.Fatal("pooled while the reader may hold more")
	}
	w.read()
	w.await("the connection is pooled", w.pooled)
}

func TestPooledAtOnceWhenReaderWaits(t *testing.T) {
	w := newTestConn(t)
	w.exchange("answer")
	w.read()
	if w.pooled() {
		t.Fatal("pooled before the exchange ended")
	}
	w.c.finish()
	if !w.pooled() {
		t.Fatal("not pooled although the reader holds nothing")
	}
}

// Bytes that arrive between two exchanges are not taken as a response, whether
// the reader or the next writer finds them first.
func TestUnaskedBytesEndTheConnection(t *testing.T) {
	w := newTestConn(t)
	w.exchange("answer")
	w.c.finish()
	result := w.read()
	io.WriteString(w.peer, "stray") //nolint:errcheck // the read shows it
	if err := <-result; !errors.Is(err, faultUnsolicited) {
		t.Errorf("reader: got %v", err)
	}

	w = newTestConn(t)
	io.WriteString(w.peer, "stray") //nolint:errcheck // the write shows it
	w.awaitBytes()
	w.c.arm(time.Time{})
	if _, err := io.WriteString(w.c, "request"); !errors.Is(err, faultUnsolicited) {
		t.Errorf("writer: got %v", err)
	}
	if got := w.c.seal(); got != fate.SentNothing {
		t.Errorf("writer: %s sent", got)
	}
}

func (w *testConn) awaitBytes() {
	w.t.Helper()
	w.peer.(*net.TCPConn).CloseWrite() //nolint:errcheck // the wait below shows it
	err := w.c.raw.Read(func(fd uintptr) bool { return pendingInput(fd, make([]byte, 1)) != nil })
	if err != nil {
		w.t.Fatal(err)
	}
}

// Guards against sending a request that was reported as not run, which happens
// if an exchange is given up before its writer runs and the writer then runs.
// Conversely, a request that was written counts as sent in every later call.
func TestSealDecidesOnce(t *testing.T) {
	w := newTestConn(t)
	w.c.arm(time.Time{})
	if got := w.c.seal(); got != fate.SentNothing {
		t.Errorf("before the write: %s sent", got)
	}
	if _, err := io.WriteString(w.c, "request"); !errors.Is(err, faultSealed) {
		t.Errorf("after the seal: got %v", err)
	}

	w = newTestConn(t)
	w.c.arm(time.Time{})
	io.WriteString(w.c, "request") //nolint:errcheck // what counts is that it may have been sent
	for range 2 {
		if got := w.c.seal(); got != fate.SentPart {
			t.Errorf("after the write: %s sent", got)
		}
	}
}

// Guards against an entry that was paused sending a request that its caller and
// the homes of its id have given up.
func TestNothingIsSentPastTheDeadline(t *testing.T) {
	w := newTestConn(t)
	w.c.arm(time.Now().Add(-time.Millisecond))
	if _, err := io.WriteString(w.c, "request"); !errors.Is(err, faultPastDeadline) {
		t.Errorf("got %v", err)
	}
	if got := w.c.seal(); got != fate.SentNothing {
		t.Errorf("%s sent", got)
	}
}
