package manifest

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// TooLongError is a compressed value that is longer than it may be. A few
// kilobytes can decompress to gigabytes, which would end the daemon that reads
// them, and every other one after it.
type TooLongError struct{ MaxBytes int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("decompressed value is larger than %d bytes", e.MaxBytes)
}

// Compress returns data as one gzip member, always the same bytes for the same
// data: the header names neither time nor file. Members can be joined;
// Decompress returns their contents joined. At most a few bytes for each 16 KiB
// are added to data that does not compress.
//
// It is the fastest level, as daemons compress on their control loop.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(&LoadError{Part: "compression level", Cause: err})
	}
	// A bytes.Buffer takes every write.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// IsCompressed tells what Compress wrote from an encoded message, in which the
// first byte would be a field of a kind that does not exist.
func IsCompressed(value []byte) bool {
	return len(value) >= 2 && value[0] == 0x1f && value[1] == 0x8b
}

// Decompress reads what Compress wrote and checks its sums. An error is a
// *TooLongError for more than most bytes, or one of package gzip or io for a
// value that is damaged or cut short.
func Decompress(value []byte, most int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > most {
		return nil, &TooLongError{MaxBytes: most}
	}
	return data, nil
}
