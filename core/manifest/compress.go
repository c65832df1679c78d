package manifest

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// TooLargeError reports a compressed value that decompresses to more than MaxBytes.
// A few kilobytes can decompress to gigabytes, which would exhaust the memory of
// the daemon that reads them, and then of every other daemon.
type TooLargeError struct{ MaxBytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("decompressed value is larger than %d bytes", e.MaxBytes)
}

// Compress returns data as one gzip member, always as the same bytes for the same
// data: the header holds neither a time nor a file name. Members can be
// concatenated; Decompress returns their concatenated contents. Data that does not
// compress grows by at most a few bytes for each 16 KiB.
//
// It uses the fastest level, because daemons compress on their control loop.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(&LoadError{Part: "compression level", Cause: err})
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// IsCompressed reports whether value begins with the gzip magic number, as the
// output of Compress does. An encoded protobuf message never begins with it, as
// its first byte would be a field tag with an invalid wire type.
func IsCompressed(value []byte) bool {
	return len(value) >= 2 && value[0] == 0x1f && value[1] == 0x8b
}

// Decompress decompresses the output of Compress and verifies its checksums. The
// error is a *TooLargeError if the result has more than most bytes, or an error of
// package gzip or io if the value is damaged or truncated.
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
		return nil, &TooLargeError{MaxBytes: most}
	}
	return data, nil
}
