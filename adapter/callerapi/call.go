package callerapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/traffic"
)

// maxRequestIDBytes bounds a request id, which homes hash and logs may contain.
const maxRequestIDBytes = 128

func (s *Server) call(c echo.Context) error {
	req, err := s.readRequest(c)
	if err != nil {
		return err
	}
	resp, err := s.o.Engine.Do(c.Request().Context(), req)
	if err != nil {
		return err
	}
	return writeResponse(c, resp)
}

// readRequest reads the whole request before it is processed, so that a caller
// that stops sending midway uses no capacity of a target.
func (s *Server) readRequest(c echo.Context) (*traffic.Request, error) {
	r := c.Request()
	req := &traffic.Request{
		Service:    c.Param("service"),
		ID:         r.Header.Get(traffic.HeaderRequestID),
		Method:     r.Method,
		Path:       targetPath(r),
		Query:      r.URL.RawQuery,
		Header:     forwardedHeader(r.Header),
		Idempotent: isIdempotentMethod(r.Method),
		Priority:   model.PriorityNormal,
	}
	if err := readOptions(req, r.Header); err != nil {
		return nil, err
	}
	body, err := s.readBody(c, req)
	if err != nil {
		return nil, err
	}
	req.Body = body
	return req, nil
}

func (s *Server) readBody(c echo.Context, req *traffic.Request) ([]byte, error) {
	r := c.Request()
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, s.o.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(req, fate.ReasonRequestTooLarge, err)
	case err != nil && r.Context().Err() != nil:
		return nil, refusal(req, fate.ReasonCallerGone, err)
	case err != nil:
		return nil, refusal(req, fate.ReasonInvalidRequest, err)
	}
	return body, nil
}

// readOptions sets the fields of req from the caller's headers. An invalid header
// rejects the request: a wrong default for idempotence could run it twice.
func readOptions(req *traffic.Request, h http.Header) error {
	if len(req.ID) > maxRequestIDBytes {
		return invalidHeader(req, traffic.HeaderRequestID)
	}
	switch h.Get(traffic.HeaderIdempotent) {
	case "":
	case "true":
		req.Idempotent = true
	case "false":
		req.Idempotent = false
	default:
		return invalidHeader(req, traffic.HeaderIdempotent)
	}
	if v := h.Get(traffic.HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return invalidHeader(req, traffic.HeaderTimeout)
		}
		req.Timeout = d
	}
	if v := h.Get(traffic.HeaderPriority); v != "" {
		p, ok := model.ParsePriority(v)
		if !ok {
			return invalidHeader(req, traffic.HeaderPriority)
		}
		req.Priority = p
	}
	return nil
}

// HeaderError reports a header of the caller whose value is invalid.
type HeaderError struct{ Name string }

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s cannot be read", e.Name) }

func invalidHeader(req *traffic.Request, name string) error {
	return refusal(req, fate.ReasonInvalidRequest, &HeaderError{Name: name})
}

// refusal returns the error for a request that was rejected before it reached
// the engine.
func refusal(req *traffic.Request, reason fate.Reason, cause error) *fate.Error {
	return &fate.Error{Fate: fate.NotRun, Reason: reason, Service: req.Service, RequestID: req.ID, Cause: cause}
}

func isIdempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// targetPath returns the path after the call segment, escaped as the caller sent
// it, or "/" if there is none.
func targetPath(r *http.Request) string {
	const segments = 4 // of /v1/services/{service}/call
	path := r.URL.EscapedPath()
	for range segments {
		next := strings.IndexByte(path[1:], '/')
		if next < 0 {
			return "/"
		}
		path = path[1+next:]
	}
	return path
}
