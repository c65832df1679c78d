package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/guavarill/guavarill/adapter/endpoint"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

// maxResponseBytes bounds the body of a response. The largest one contains a daemon's
// latest log lines.
const maxResponseBytes = 8 << 20

// Client calls the interface of one daemon.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon at address, which is host:port or a URL.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{base: endpoint.URL(address), http: &http.Client{Transport: transport}}
}

// Address returns the daemon's URL.
func (c *Client) Address() string { return c.base }

// CallError reports a call that did not succeed. It has either a Problem, as the daemon
// reported it, or a Cause.
type CallError struct {
	// Daemon is the daemon's URL.
	Daemon string
	// Status is the HTTP status, 0 when the daemon did not respond.
	Status  int
	Problem Problem
	// RetryAfter is the time in seconds after which to retry, as the daemon specified it;
	// empty if it did not.
	RetryAfter string
	Cause      error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("daemon %s: %v", e.Daemon, e.Cause)
	}
	text := fmt.Sprintf("daemon %s: %s: %s", e.Daemon, e.Problem.Kind, e.Problem.Detail)
	if e.RetryAfter != "" {
		text += "; try again after " + e.RetryAfter + " s"
	}
	return text
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Uncertain reports whether the call may have been carried out: the daemon reported that
// the outcome is unknown, or the response is missing although the call may have reached
// the daemon.
func (e *CallError) Uncertain() bool {
	if e.Problem.Kind != "" {
		return e.Problem.Kind == ProblemUncertain
	}
	return !NotSent(e.Cause)
}

// NotSent reports whether a call that failed with err was certainly not sent, because no
// connection could be opened.
func NotSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// Submit submits a job. An error is a *CallError. The call is idempotent: it may be
// repeated at any daemon with the same id and job.
func (c *Client) Submit(ctx context.Context, queue string, id job.ID, spec *job.Spec) (JobState, error) {
	return call[JobState](ctx, c, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/jobs/"+string(id), spec)
}

// State returns a job's state. An error is a *CallError.
func (c *Client) State(ctx context.Context, id job.ID) (JobState, error) {
	return call[JobState](ctx, c, http.MethodGet, "/v1/jobs/"+string(id), nil)
}

// Cancel cancels a job. An error is a *CallError.
func (c *Client) Cancel(ctx context.Context, id job.ID) (JobState, error) {
	return call[JobState](ctx, c, http.MethodDelete, "/v1/jobs/"+string(id), nil)
}

// Queue returns a queue's status. An error is a *CallError.
func (c *Client) Queue(ctx context.Context, queue string) (QueueStatus, error) {
	return call[QueueStatus](ctx, c, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil)
}

// List returns the jobs that are not in a final state. An error is a *CallError; a daemon
// that is not the leader reports ProblemNotLeading.
func (c *Client) List(ctx context.Context) ([]jobsched.JobView, error) {
	return call[[]jobsched.JobView](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Tasks returns the states of a job's tasks. Errors are as for List.
func (c *Client) Tasks(ctx context.Context, id job.ID) (jobsched.JobView, error) {
	return call[jobsched.JobView](ctx, c, http.MethodGet, "/v1/jobs/"+string(id)+"/tasks", nil)
}

// Status returns the daemon's status. An error is a *CallError.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Log returns the daemon's latest log lines. An error is a *CallError.
func (c *Client) Log(ctx context.Context) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/log", nil)
}

// call makes a call and decodes the JSON of its response.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	data, err := c.do(ctx, method, path, body)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, &CallError{Daemon: c.base, Status: http.StatusOK, Cause: err}
	}
	return result, nil
}

// do makes a call and returns the body of a response with status 200. An error is a
// *CallError.
func (c *Client) do(ctx context.Context, method, path string, body any) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, &CallError{Daemon: c.base, Cause: err}
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, &CallError{Daemon: c.base, Cause: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &CallError{Daemon: c.base, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &CallError{Daemon: c.base, Status: response.StatusCode, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.callError(response, data)
	}
	return data, nil
}

// callError returns the error for a response with another status than 200.
func (c *Client) callError(response *http.Response, data []byte) *CallError {
	e := &CallError{Daemon: c.base, Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	if err := json.Unmarshal(data, &e.Problem); err != nil || e.Problem.Kind == "" {
		e.Cause = &UnreadableResponseError{Status: response.StatusCode}
	}
	return e
}

// UnreadableResponseError reports a response that is neither a success nor contains a
// Problem. It may come from another program at the address or from a proxy.
type UnreadableResponseError struct{ Status int }

// Error implements error.
func (e *UnreadableResponseError) Error() string {
	return fmt.Sprintf("answer with status %d that cannot be read", e.Status)
}
