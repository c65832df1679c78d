package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedWriter simulates a standard output that can stall.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against a daemon that blocks while its output is not read: the reader
// stalls, more lines are logged, and the reader continues.
func TestStalledOutputCostsLinesOnly(t *testing.T) {
	w := &gatedWriter{gate: make(chan struct{})}
	s := New(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3 * bufferBytes / len(line) {
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	close(w.gate)
	s.Close(10 * time.Second)
	if text := w.String(); !strings.Contains(text, "log lines dropped") {
		t.Error("the output does not report the dropped lines")
	}
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	w := &gatedWriter{gate: make(chan struct{})}
	close(w.gate)
	s := New(w)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := s.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close(10 * time.Second)
	if text := w.String(); text != "a\nb\nc\n" {
		t.Errorf("%q", text)
	}
}

// writeRecorder records the bytes of each write.
type writeRecorder struct {
	mu      sync.Mutex
	written [][]byte
}

func (p *writeRecorder) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written = append(p.written, bytes.Clone(b))
	return len(b), nil
}

// Guards against lines in the collected log that are not JSON. The batch of a busy
// leader is larger than one read of the collector: the batch was written at once,
// and the line at the boundary of two reads was split.
func TestWritesHoldWholeLines(t *testing.T) {
	out := new(writeRecorder)
	s := New(out)
	long := strings.Repeat("x", 2*maxWriteBytes) + "\n"
	for i := range 200 {
		fmt.Fprintf(s, "line %03d %s\n", i, strings.Repeat("y", 100))
	}
	_, _ = s.Write([]byte(long))
	s.Close(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	total := 0
	for _, p := range out.written {
		total += bytes.Count(p, []byte("\n"))
		if !bytes.HasSuffix(p, []byte("\n")) {
			t.Errorf("a write ends within a line: %q", p[max(0, len(p)-20):])
		}
		if len(p) > maxWriteBytes && string(p) != long {
			t.Errorf("a write of %d bytes", len(p))
		}
	}
	if total != 201 {
		t.Errorf("%d lines were written, want 201", total)
	}
}
