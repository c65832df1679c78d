package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/guavarill/guavarill/adapter/endpoint"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

// Client is a client of one daemon's HTTP API for operators.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon at address, which is host:port or a URL.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{
		base: endpoint.URL(address),
		http: &http.Client{
			Transport: transport,
			// Daemons send no redirects, and a change must not reach any other server.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Address returns the daemon's URL.
func (c *Client) Address() string { return c.base }

// CallError reports a call without a usable response.
type CallError struct {
	Daemon string
	// Outcome is OutcomeNotDone if the call definitely changed nothing: it was not
	// sent, the daemon rejected it as invalid, it was a dry run, or the response to
	// a read could not be decoded.
	Outcome port.Outcome
	// Cause is a *ResponseError for an error response, and for a response to a
	// change that could not be decoded.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Daemon, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ResponseError reports an error response.
type ResponseError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Problem.Kind, e.Problem.Detail)
}

// Apply sends a manifest to be accepted. If base is not nil, the change conflicts
// unless base is the current revision. With dryRun, nothing is changed. An error is
// a *CallError.
func (c *Client) Apply(ctx context.Context, document []byte, base *model.Revision, dryRun bool) (ChangeResult, error) {
	query := url.Values{}
	if base != nil {
		query.Set("base", strconv.FormatUint(uint64(*base), 10))
	}
	if dryRun {
		query.Set("dryRun", "true")
	}
	result, err := c.change(ctx, "/v1/manifest?"+query.Encode(), document)
	var failed *CallError
	if dryRun && errors.As(err, &failed) {
		failed.Outcome = port.OutcomeNotDone
	}
	return result, err
}

// Cancel cancels workloads. An error is a *CallError.
func (c *Client) Cancel(ctx context.Context, request CancelRequest) (ChangeResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return ChangeResult{}, &CallError{Daemon: c.base, Outcome: port.OutcomeNotDone, Cause: err}
	}
	return c.change(ctx, "/v1/cancel", body)
}

func (c *Client) change(ctx context.Context, path string, body []byte) (ChangeResult, error) {
	return c.changeWith(ctx, http.MethodPost, path, body)
}

// changeWith makes a call that changes something, and decodes its outcome.
func (c *Client) changeWith(ctx context.Context, method, path string, body []byte) (ChangeResult, error) {
	var result ChangeResult
	status, response, err := c.do(ctx, method, path, body)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(response, &result); err != nil || result.Outcome == "" {
		return ChangeResult{}, c.responseError(status, response)
	}
	return result, nil
}

// Status returns the status of the daemon. An error is a *CallError.
func (c *Client) Status(ctx context.Context) (daemon.Status, error) {
	return get[daemon.Status](ctx, c, "/v1/status")
}

// Tasks returns the tasks of the shards that the daemon owns. An error is a *CallError.
func (c *Client) Tasks(ctx context.Context) ([]daemon.TaskStatus, error) {
	return get[[]daemon.TaskStatus](ctx, c, "/v1/tasks")
}

// Timeline returns the timeline events that the daemon retains. An error is a
// *CallError.
func (c *Client) Timeline(ctx context.Context) ([]timeline.Event, error) {
	return get[[]timeline.Event](ctx, c, "/v1/timeline")
}

// Manifest returns the manifest in force at the daemon, or nil if there is none. An
// error is a *CallError.
func (c *Client) Manifest(ctx context.Context) (*manifest.Manifest, error) {
	status, response, err := c.do(ctx, http.MethodGet, "/v1/manifest", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.checkNoManifest(status, response)
	}
	m, err := manifest.Parse(response)
	if err != nil {
		return nil, &CallError{Daemon: c.base, Outcome: port.OutcomeNotDone, Cause: err}
	}
	return m, nil
}

// checkNoManifest returns nil if the response reports that the daemon has no
// manifest, and the error of the response otherwise.
func (c *Client) checkNoManifest(status int, response []byte) error {
	failed := c.responseError(status, response)
	var said *ResponseError
	if errors.As(failed, &said) && said.Problem.Kind == NoManifest {
		return nil
	}
	return failed
}

// Drain starts a planned stop of the daemon. An error is a *CallError.
func (c *Client) Drain(ctx context.Context) error {
	status, response, err := c.do(ctx, http.MethodPost, "/v1/drain", nil)
	if err == nil && status != http.StatusAccepted {
		err = c.responseError(status, response)
	}
	return err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	status, response, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if status != http.StatusOK {
		return value, c.responseError(status, response)
	}
	if err := json.Unmarshal(response, &value); err != nil {
		return value, &CallError{Daemon: c.base, Outcome: port.OutcomeNotDone, Cause: err}
	}
	return value, nil
}

// responseError returns the error for an unexpected response. The outcome is
// OutcomeNotDone only for a status below 500 with a Problem in the body: a status
// without one may come from a proxy and does not show whether the daemon made the
// change.
func (c *Client) responseError(status int, response []byte) *CallError {
	cause := &ResponseError{Status: status}
	if json.Unmarshal(response, &cause.Problem) != nil {
		cause.Problem.Detail = string(response)
	}
	failed := &CallError{Daemon: c.base, Outcome: port.OutcomeUnknown, Cause: cause}
	if status < http.StatusInternalServerError && cause.Problem.Kind != "" {
		failed.Outcome = port.OutcomeNotDone
	}
	return failed
}

// maxResponseBytes limits how much of a response body is read. The tasks of a whole
// fleet fit.
const maxResponseBytes = 256 << 20

// do sends a request and returns the status and the body of the response. Without a
// connection the request was not sent, so the outcome of the error is
// OutcomeNotDone; otherwise it is OutcomeUnknown.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, response, err := c.exchange(ctx, method, path, body)
	if err == nil {
		return status, response, nil
	}
	failed := &CallError{Daemon: c.base, Outcome: port.OutcomeUnknown, Cause: err}
	if !connected.Load() {
		failed.Outcome = port.OutcomeNotDone
	}
	return 0, nil, failed
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, response, err
}
