package httpguard

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// skippedBytes is the size of the largest body that is read although its handler did not
// want it, so that the connection can be kept.
const skippedBytes = 16 << 10

// bound returns a handler that follows the requests of a handler.
func bound(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.end()
		done, ok := c.awaitTurn(r.Context())
		defer done()
		hasBody := r.ContentLength != 0 && r.Body != http.NoBody
		if !ok || !c.begin(hasBody) {
			// The connection was closed, with nothing of the request done.
			panic(http.ErrAbortHandler)
		}
		if hasBody {
			r.Body = &body{r.Body, c}
		}
		answer := &response{ResponseWriter: w, request: r, conn: c}
		handler.ServeHTTP(answer, r)
		if !answer.written {
			answer.WriteHeader(http.StatusOK)
		}
	})
}

// awaitTurn waits until a request may be handled. done ends its turn. ok is false if the
// connection ended before.
func (c *conn) awaitTurn(ctx context.Context) (done func(), ok bool) {
	if c.pace.isFree() {
		return func() {}, true
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	c.wait(stop)
	done, err := c.pace.takeTurn(waiting)
	if err != nil {
		return func() {}, false
	}
	return done, true
}

// body notes when a request's body is complete.
type body struct {
	io.ReadCloser
	conn *conn
}

// GivenUpError reports a request that was given up while it was read.
type GivenUpError struct{}

// Error implements error.
func (*GivenUpError) Error() string { return "the request was given up" }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.bodyComplete() {
		return 0, &GivenUpError{}
	}
	return n, err
}

// response has the connection end with an answer to a request whose body was not read.
type response struct {
	http.ResponseWriter
	request *http.Request
	conn    *conn
	written bool
}

// Unwrap returns the ResponseWriter below, for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if !w.written {
		w.written = true
		w.skipBody()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// skipBody reads the rest of a small body. What is left of another one is not waited for.
func (w *response) skipBody() {
	if w.conn.bodyIsComplete() {
		return
	}
	if n := w.request.ContentLength; 0 < n && n <= skippedBytes {
		// An error shows in that the body is not complete.
		_, _ = io.Copy(io.Discard, w.request.Body)
	}
	if !w.conn.bodyIsComplete() {
		w.Header().Set("Connection", "close")
	}
}
