package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TaskCPU is what a caller's task takes of a worker, in thousandths of a core.
const TaskCPU = 1000

// StateError is an answer that tells no state.
type StateError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *StateError) Error() string { return fmt.Sprintf("state %q: %v", e.Text, e.Cause) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Cause }

// Caller calls daemons as the users' callers do.
type Caller struct {
	Client *http.Client
	// Queue is the one that its jobs are for.
	Queue Queue
	// Timeout bounds a call; daemons are told.
	Timeout time.Duration
}

// Submit submits a job with so many tasks in each step, each of which follows
// the one before, and returns the status of the answer.
func (c *Caller) Submit(address, id string, steps []int) (int, error) {
	var list []step
	for i, count := range steps {
		s := newStep(count)
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	return c.submit(address, id, "text", list)
}

// SubmitLongRunning submits a job with so many long-running tasks, and returns
// the status of the answer.
func (c *Caller) SubmitLongRunning(address, id string, count int) (int, error) {
	s := newStep(count)
	s.LongRunning = true
	return c.submit(address, id, LongRunning, []step{s})
}

// SubmitCrashing submits a job with one task that crashes each worker that starts
// it, and returns the status of the answer.
func (c *Caller) SubmitCrashing(address, id string) (int, error) {
	return c.submit(address, id, crashing, []step{newStep(1)})
}

// crashing is the specification by which a worker knows tasks that crash it.
const crashing = "crashing"

// LongRunning is the specification by which a worker knows long-running tasks.
const LongRunning = "long-running"

// step is a step of a job on the wire.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstimatedMs int   `json:"estimatedMs"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

func newStep(count int) step {
	return step{Count: count, CPU: TaskCPU, MemMb: 500, EstimatedMs: 500}
}

func (c *Caller) submit(address, id, specification string, steps []step) (int, error) {
	body, err := json.Marshal(map[string]any{"specification": specification, "steps": steps})
	if err != nil {
		return 0, err
	}
	status, _, err := c.call(http.MethodPost, address, id, body)
	return status, err
}

// Cancel cancels a job and returns the status of the answer.
func (c *Caller) Cancel(address, id string) (int, error) {
	status, _, err := c.call(http.MethodDelete, address, id, nil)
	return status, err
}

// callersStates are the states as callers are told them, where they differ from
// the product's.
var callersStates = map[job.State]job.State{"cancelled": job.Canceled}

// State asks for a job's state and returns the status of the answer with it. The
// state is empty unless the status is 200; an answer with that status and no state
// is a *StateError.
func (c *Caller) State(address, id string) (int, job.State, error) {
	status, text, err := c.call(http.MethodGet, address, id, nil)
	if err != nil || status != http.StatusOK {
		return status, "", err
	}
	var told struct {
		State job.State `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &told); err != nil {
		return status, "", &StateError{Text: text, Cause: err}
	}
	if state, differs := callersStates[told.State]; differs {
		return status, state, nil
	}
	return status, told.State, nil
}

func (c *Caller) call(method, address, id string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.Queue.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = c.Queue.Host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	response, err := c.Client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}
