package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedWriter stands for a standard output that can stall.
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

// TestStalledOutputCostsLinesOnly
//
// Symptom if broken: the daemon stands still while nobody reads its output.
// Events: the reader stalls, lines keep coming, the reader goes on.
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
		t.Error("the dropped lines are not told")
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

// pieces keeps what each write brings.
type pieces struct {
	mu      sync.Mutex
	written [][]byte
}

func (p *pieces) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written = append(p.written, bytes.Clone(b))
	return len(b), nil
}

// TestWritesHoldWholeLines
//
// Symptom: lines in the collected log that are no JSON. Events: a busy leader's
// batch is larger than what the collector reads at a time. Cause: the batch went
// out in one write, and the line at the edge of a read was torn.
func TestWritesHoldWholeLines(t *testing.T) {
	out := new(pieces)
	s := New(out)
	long := strings.Repeat("x", 2*pieceBytes) + "\n"
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
		if len(p) > pieceBytes && string(p) != long {
			t.Errorf("a write of %d bytes", len(p))
		}
	}
	if total != 201 {
		t.Errorf("%d lines were written, want 201", total)
	}
}
