package review

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record.txt of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Add writes a line with the seconds since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
