package logsink

import (
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
