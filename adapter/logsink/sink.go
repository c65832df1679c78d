// Package logsink writes log lines without ever holding up who logs them.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds what may wait to be written: some seconds of the lines
	// of a busy leader.
	bufferBytes = 512 << 10
	// flushInterval is how long lines gather: a write costs more than the lines.
	flushInterval = 100 * time.Millisecond
	// pieceBytes bounds one write: what POSIX promises to write to a pipe in
	// one piece (PIPE_BUF on Linux). A collector that takes what one read brings
	// for whole lines tears those that a larger write spreads over two reads,
	// and what it then stores is not JSON.
	pieceBytes = 4096
)

// Sink gathers lines and writes them in the background. A reader that stalls,
// or a pipe that is full, costs lines and not requests; a line says how
// many were dropped.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int
	total   int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New makes a Sink that writes to out. Close writes what is left.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line. It never blocks and never fails: a line for which there
// is no room is counted and dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.buffer.Len()+len(line) > bufferBytes {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.buffer.Write(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes what is left, for at most the time given.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		batch, closed := s.take()
		if !s.writePieces(batch) {
			return
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// writePieces writes a batch in pieces of whole lines. It returns false when
// nothing can be written any more; there is nowhere left to tell it.
func (s *Sink) writePieces(batch []byte) bool {
	for len(batch) > 0 {
		n := pieceOf(batch)
		if _, err := s.out.Write(batch[:n]); err != nil {
			return false
		}
		batch = batch[n:]
	}
	return true
}

// pieceOf returns the length of the first piece of a batch: as many whole lines
// as fit, or one that is longer.
func pieceOf(batch []byte) int {
	if len(batch) <= pieceBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:pieceBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

// take returns what waits, and whether the sink is closed.
func (s *Sink) take() ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := bytes.Clone(s.buffer.Bytes())
	s.buffer.Reset()
	if s.dropped > 0 {
		batch = fmt.Appendf(batch, `{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", s.dropped)
		s.dropped = 0
	}
	return batch, s.closed
}
