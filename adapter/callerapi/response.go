package callerapi

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/traffic"
)

// errorBody is the JSON of an error.
type errorBody struct {
	Fate             string      `json:"fate"`
	Reason           fate.Reason `json:"reason"`
	Detail           string      `json:"detail,omitempty"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
	RequestID        string      `json:"requestId,omitempty"`
}

// writeResponse forwards a target's response. It declares the length, so that a
// caller can distinguish a connection that breaks midway from a whole response.
func writeResponse(c echo.Context, resp *traffic.Response) error {
	h := c.Response().Header()
	for name, values := range forwardedHeader(resp.Header) {
		h[name] = values
	}
	setFateHeaders(h, fate.Answered.String(), resp.RequestID)
	if isBodyAllowed(c.Request().Method, resp.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	} else if declared := resp.Header["Content-Length"]; c.Request().Method == http.MethodHead && declared != nil {
		h["Content-Length"] = declared
	}
	c.Response().WriteHeader(resp.Status)
	if len(resp.Body) == 0 {
		return nil
	}
	// The write fails only if the caller has disconnected, and then no error can
	// reach it.
	_, _ = c.Response().Write(resp.Body)
	return nil
}

func isBodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// handleError writes the error response to a request that got no response from a
// target. It does nothing if a response has already begun.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var f *fate.Error
	if !errors.As(err, &f) {
		f = typedError(err)
	}
	h := c.Response().Header()
	setFateHeaders(h, f.Fate.String(), f.RequestID)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	// The write fails only if the caller has disconnected.
	_ = c.JSON(statusOf(f), errorBody{
		Fate:             f.Fate.String(),
		Reason:           f.Reason,
		Detail:           detailOf(f),
		RetryAfterMillis: int64(f.RetryAfter / time.Millisecond),
		RequestID:        f.RequestID,
	})
}

// typedError converts an untyped error into a fate.Error. Errors of echo itself
// occur before a target is called, so their fate is NotRun.
func typedError(err error) *fate.Error {
	f := &fate.Error{Fate: fate.NotRun, Reason: fate.ReasonInternal, Cause: err}
	var h *echo.HTTPError
	if !errors.As(err, &h) {
		// The handler itself failed, possibly after the request was sent.
		f.Fate = fate.Unknown
		return f
	}
	f.Reason = fate.ReasonInvalidRequest
	if h.Code == http.StatusNotFound {
		f.Reason = fate.ReasonNoRoute
	}
	return f
}

func detailOf(f *fate.Error) string {
	if f.Cause == nil {
		return ""
	}
	return f.Cause.Error()
}

// statusOf returns the HTTP status of an error. The package comment lists the
// statuses.
func statusOf(f *fate.Error) int {
	if f.Fate == fate.Unknown {
		return statusOfUnknown(f)
	}
	switch f.Reason {
	case fate.ReasonInvalidRequest:
		return http.StatusBadRequest
	case fate.ReasonUnknownService, fate.ReasonNoRoute:
		return http.StatusNotFound
	case fate.ReasonRequestTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if f.Reason.IsShed() {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func statusOfUnknown(f *fate.Error) int {
	switch {
	case f.Reason == fate.ReasonClaimMismatch:
		return http.StatusUnprocessableEntity
	case f.Reason == fate.ReasonDeadline, f.Reason == fate.ReasonTargetSilent, errors.Is(f.Cause, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
