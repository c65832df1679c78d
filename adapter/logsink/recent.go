package logsink

import (
	"bytes"
	"sync"
)

// Recent keeps the latest lines in memory, for operators who ask the daemon
// itself. It is not safe to keep them all: a busy leader writes some hundred
// kilobytes a second.
type Recent struct {
	limit int

	mu    sync.Mutex
	lines bytes.Buffer
}

// NewRecent returns a Recent that keeps at most limit bytes.
func NewRecent(limit int) *Recent { return &Recent{limit: limit} }

// Write takes a line in. It never fails.
func (r *Recent) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines.Write(line)
	if excess := r.lines.Len() - r.limit; excess > 0 {
		r.drop(excess)
	}
	return len(line), nil
}

// drop drops the oldest lines, a quarter of the limit at a time: each drop
// moves what is kept.
func (r *Recent) drop(excess int) {
	kept := r.lines.Bytes()
	kept = kept[min(len(kept), excess+r.limit/4):]
	if end := bytes.IndexByte(kept, '\n'); end >= 0 {
		kept = kept[end+1:]
	}
	kept = bytes.Clone(kept)
	r.lines.Reset()
	r.lines.Write(kept)
}

// Lines returns the lines that are kept, the oldest first.
func (r *Recent) Lines() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.lines.Bytes())
}
