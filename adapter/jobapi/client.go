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

// maxAnswerBytes bounds an answer: a daemon's latest log lines are the largest.
const maxAnswerBytes = 8 << 20

// Client reaches the interface of one daemon.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon at address, host:port or a URL.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{base: endpoint.URL(address), http: &http.Client{Transport: transport}}
}

// Address returns the daemon's URL.
func (c *Client) Address() string { return c.base }

// CallError is a call that brought no good answer.
type CallError struct {
	Daemon string
	// Status is 0 when the daemon did not answer.
	Status  int
	Problem Problem
	// RetryAfter is when to come back, in seconds, as the daemon says; empty if
	// it does not.
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

// Uncertain reports whether the call may have been carried out: the daemon says
// so, or its answer is missing although the call may have reached it.
func (e *CallError) Uncertain() bool {
	if e.Problem.Kind != "" {
		return e.Problem.Kind == ProblemUncertain
	}
	return !NotSent(e.Cause)
}

// NotSent reports whether a call certainly did not reach a daemon.
func NotSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// Submit submits a job. An error is a *CallError; the call may be repeated at
// any daemon, with the same id and job.
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

// List returns the jobs that are not over. An error is a *CallError, of the kind
// ProblemNotLeading from a daemon that does not lead.
func (c *Client) List(ctx context.Context) ([]jobsched.JobView, error) {
	return call[[]jobsched.JobView](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Tasks returns what a job's tasks do. An error is a *CallError, as for List.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, &CallError{Daemon: c.base, Status: response.StatusCode, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.problem(response, data)
	}
	return data, nil
}

// problem reads an answer that is an error.
func (c *Client) problem(response *http.Response, data []byte) *CallError {
	e := &CallError{Daemon: c.base, Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	if err := json.Unmarshal(data, &e.Problem); err != nil || e.Problem.Kind == "" {
		e.Cause = &UnreadableResponseError{Status: response.StatusCode}
	}
	return e
}

// UnreadableResponseError is an answer that is no good one and says no problem: of
// another program at the address, or of a proxy between.
type UnreadableResponseError struct{ Status int }

// Error implements error.
func (e *UnreadableResponseError) Error() string {
	return fmt.Sprintf("answer with status %d that cannot be read", e.Status)
}
