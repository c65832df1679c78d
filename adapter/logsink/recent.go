package logsink

import (
	"bytes"
	"sync"
)

// Recent keeps the latest log lines in memory, for operators who query the daemon
// itself. Its size is limited because a busy leader writes some hundred kilobytes
// per second.
type Recent struct {
	limit int

	mu    sync.Mutex
	lines bytes.Buffer
}

// NewRecent returns a Recent that keeps at most limit bytes.
func NewRecent(limit int) *Recent { return &Recent{limit: limit} }

// Write appends a line and drops the oldest lines if the limit is exceeded. It
// never fails.
func (r *Recent) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines.Write(line)
	if excess := r.lines.Len() - r.limit; excess > 0 {
		r.drop(excess)
	}
	return len(line), nil
}

// drop removes the oldest lines: excess bytes and another quarter of the limit, up
// to the end of a line. Removing more than the excess makes drops rare, as each one
// copies the remaining lines.
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

// Lines returns a copy of the kept lines, the oldest first.
func (r *Recent) Lines() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.lines.Bytes())
}
