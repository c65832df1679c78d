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

// Client reaches one daemon's operators' interface.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon at address, host:port or a URL.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{
		base: endpoint.URL(address),
		http: &http.Client{
			Transport: transport,
			// A daemon redirects nobody, and a change must go where it was sent.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Address returns the daemon's URL.
func (c *Client) Address() string { return c.base }

// CallError is a call that brought no answer that could be understood.
type CallError struct {
	Daemon string
	// Outcome is OutcomeNotDone when the call certainly changed nothing: it was
	// not sent, or the daemon said that it does not understand it.
	Outcome port.Outcome
	// Cause is an *AnswerError when the daemon answered.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Daemon, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ResponseError is an answer that is an error.
type ResponseError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Problem.Kind, e.Problem.Detail)
}

// Apply sends a manifest. An error is a *CallError.
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
	var result ChangeResult
	status, answer, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(answer, &result); err != nil || result.Outcome == "" {
		return ChangeResult{}, c.responseError(status, answer)
	}
	return result, nil
}

// Status returns the daemon's status. An error is a *CallError.
func (c *Client) Status(ctx context.Context) (daemon.Status, error) {
	return get[daemon.Status](ctx, c, "/v1/status")
}

// Tasks returns the tasks of the daemon's shards. An error is a *CallError.
func (c *Client) Tasks(ctx context.Context) ([]daemon.TaskStatus, error) {
	return get[[]daemon.TaskStatus](ctx, c, "/v1/tasks")
}

// Timeline returns the events that the daemon holds. An error is a *CallError.
func (c *Client) Timeline(ctx context.Context) ([]timeline.Event, error) {
	return get[[]timeline.Event](ctx, c, "/v1/timeline")
}

// Manifest returns the manifest in force at the daemon, nil when it knows none.
// An error is a *CallError.
func (c *Client) Manifest(ctx context.Context) (*manifest.Manifest, error) {
	status, answer, err := c.do(ctx, http.MethodGet, "/v1/manifest", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.checkNoManifest(status, answer)
	}
	m, err := manifest.Parse(answer)
	if err != nil {
		return nil, &CallError{Daemon: c.base, Outcome: port.OutcomeNotDone, Cause: err}
	}
	return m, nil
}

// checkNoManifest returns nil when the daemon says that it knows none.
func (c *Client) checkNoManifest(status int, answer []byte) error {
	failed := c.responseError(status, answer)
	var said *ResponseError
	if errors.As(failed, &said) && said.Problem.Kind == NoManifest {
		return nil
	}
	return failed
}

// Drain begins a planned stop. An error is a *CallError.
func (c *Client) Drain(ctx context.Context) error {
	status, answer, err := c.do(ctx, http.MethodPost, "/v1/drain", nil)
	if err == nil && status != http.StatusAccepted {
		err = c.responseError(status, answer)
	}
	return err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	status, answer, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if status != http.StatusOK {
		return value, c.responseError(status, answer)
	}
	if err := json.Unmarshal(answer, &value); err != nil {
		return value, &CallError{Daemon: c.base, Outcome: port.OutcomeNotDone, Cause: err}
	}
	return value, nil
}

// responseError makes the error of an answer that is not the expected one. Only
// what the daemon itself calls a bad request certainly changed nothing: a
// status without its JSON may come from something between.
func (c *Client) responseError(status int, answer []byte) *CallError {
	cause := &ResponseError{Status: status}
	if json.Unmarshal(answer, &cause.Problem) != nil {
		cause.Problem.Detail = string(answer)
	}
	failed := &CallError{Daemon: c.base, Outcome: port.OutcomeUnknown, Cause: cause}
	if status < http.StatusInternalServerError && cause.Problem.Kind != "" {
		failed.Outcome = port.OutcomeNotDone
	}
	return failed
}

// maxResponseBytes bounds what is read of an answer; a fleet's tasks fit.
const maxResponseBytes = 256 << 20

func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, answer, err := c.exchange(ctx, method, path, body)
	if err == nil {
		return status, answer, nil
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, answer, err
}
