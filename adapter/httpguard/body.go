package httpguard

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
)

// TooLargeError reports a body of more than Limit bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.Limit)
}

// NoMemoryError reports a request for which there is no memory now. Nothing was done of it.
type NoMemoryError struct{}

// Error implements error.
func (*NoMemoryError) Error() string { return "no memory for the request" }

// TimeoutError reports a body that was not complete in time.
type TimeoutError struct{ Cause error }

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("the body was not complete in time: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TimeoutError) Unwrap() error { return e.Cause }

const (
	// firstBytes is the size of the buffer with which the reading of a body begins.
	firstBytes = 4 << 10
	// growth is how many times as large each next buffer is.
	growth = 4
)

// ReadBody reads a request's body of at most limit bytes until ctx ends. The memory counts
// until the request is answered. An error is a *TooLargeError, a *NoMemoryError, a
// *TimeoutError or one of the connection.
func ReadBody(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	c := connOf(r.Context())
	if c != nil {
		stop := context.AfterFunc(ctx, c.endRead)
		defer stop()
	}
	data, err := readAll(r, limit, c)
	if err != nil && (ctx.Err() != nil || isTimeout(err)) {
		return nil, &TimeoutError{Cause: err}
	}
	return data, err
}

func readAll(r *http.Request, limit int64, c *conn) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := grow(data, r.ContentLength, limit, c)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, &TooLargeError{Limit: limit}
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the data in a larger buffer. length is the announced size of the body, -1 if
// none is.
func grow(data []byte, length, limit int64, c *conn) ([]byte, error) {
	size := max(int64(cap(data))*growth, firstBytes)
	if length >= 0 && length < size*growth {
		// One byte more shows the end.
		size = length + 1
	}
	size = min(size, limit+1)
	if err := c.reserve(size + int64(cap(data))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// Reserve counts bytes of memory for a request whose body was read, until it is answered. An
// error is a *NoMemoryError.
func Reserve(ctx context.Context, bytes int64) error {
	return connOf(ctx).reserve(bytes)
}

// reserve does what Reserve does for the request of a connection, and counts a refusal. A nil
// connection is not bounded.
func (c *conn) reserve(bytes int64) error {
	if c == nil || c.server.guard.take(c, bytes) {
		return nil
	}
	c.server.guard.refused.count(c.server.name, CauseMemory)
	return &NoMemoryError{}
}

// isTimeout reports whether a read failed because its deadline had passed.
func isTimeout(err error) bool { return os.IsTimeout(err) }
