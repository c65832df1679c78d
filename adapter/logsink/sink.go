// Package logsink writes log lines without blocking the code that logs them.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written. It holds some seconds
	// of the lines of a busy leader.
	bufferBytes = 512 << 10
	// flushInterval is the time for which lines are collected before they are
	// written, because a write costs more than the lines in it.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes bounds one write: the size up to which a write to a pipe is
	// atomic (PIPE_BUF on Linux). A collector that expects whole lines in each read
	// would split a line that a larger write spreads over two reads, and would
	// store fragments that are not JSON.
	maxWriteBytes = 4096
)

// Sink buffers lines and writes them in the background. While the reader stalls or
// the pipe is full, lines are dropped, but the writers of lines are not blocked. A
// line in the output reports how many were dropped.
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

// New returns a Sink that writes to out. Call Close to write the remaining lines.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line. It never blocks and never fails: a line that exceeds the
// buffer, or arrives after Close, is dropped and counted.
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

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes the remaining lines. It returns when they are written or limit has
// passed.
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
		if !s.writeBatch(batch) {
			return
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// writeBatch writes a batch in several writes of whole lines. It returns false if
// a write fails; the error is discarded because there is no other place to log it.
func (s *Sink) writeBatch(batch []byte) bool {
	for len(batch) > 0 {
		n := nextWriteLen(batch)
		if _, err := s.out.Write(batch[:n]); err != nil {
			return false
		}
		batch = batch[n:]
	}
	return true
}

// nextWriteLen returns the length of the next write of a batch: as many whole lines as
// fit into maxWriteBytes, or a single line that is longer.
func nextWriteLen(batch []byte) int {
	if len(batch) <= maxWriteBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

// take removes and returns the buffered lines, and reports whether the sink is
// closed.
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
