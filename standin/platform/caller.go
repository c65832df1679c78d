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

// TaskCPU is the size of a caller's task, in thousandths of a core.
const TaskCPU = 1000

// StateError reports a response with status 200 that contains no state.
type StateError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *StateError) Error() string { return fmt.Sprintf("state %q: %v", e.Text, e.Cause) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Cause }

// Caller calls daemons like the users' callers.
type Caller struct {
	Client *http.Client
	// Queue is the queue of its jobs.
	Queue Queue
	// Timeout bounds a call. It is sent to the daemon with the call.
	Timeout time.Duration
}

// Submit submits a job with the given number of tasks in each step and returns the
// status of the response. Each step follows the previous one.
func (c *Caller) Submit(address, id string, steps []int) (int, error) {
	return c.submit(address, id, "text", chain(steps))
}

// SubmitCopyable submits a job like Submit whose tasks may run twice at a time, and of
// whose runs some are stragglers.
func (c *Caller) SubmitCopyable(address, id string, steps []int) (int, error) {
	list := chain(steps)
	for i := range list {
		list[i].Speculative = true
	}
	return c.submit(address, id, straggling, list)
}

// chain returns steps with the given numbers of tasks, each of which follows the previous
// one.
func chain(steps []int) []step {
	var list []step
	for i, count := range steps {
		s := newStep(count)
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	return list
}

// SubmitLongRunning submits a job with the given number of long-running tasks and
// returns the status of the response.
func (c *Caller) SubmitLongRunning(address, id string, count int) (int, error) {
	s := newStep(count)
	s.LongRunning = true
	return c.submit(address, id, LongRunning, []step{s})
}

// SubmitCrashing submits a job with one task that crashes each worker that starts it,
// and returns the status of the response.
func (c *Caller) SubmitCrashing(address, id string) (int, error) {
	return c.submit(address, id, crashing, []step{newStep(1)})
}

// crashing is the specification by which workers recognize tasks that crash them.
const crashing = "crashing"

// straggling is the specification by which workers recognize tasks of which some runs
// take several times as long.
const straggling = "straggling"

// LongRunning is the specification by which workers recognize long-running tasks.
const LongRunning = "long-running"

// step is a step of a job on the wire.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstimatedMs int   `json:"estimatedMs"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	Speculative bool  `json:"speculative,omitempty"`
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

// Cancel cancels a job and returns the status of the response.
func (c *Caller) Cancel(address, id string) (int, error) {
	status, _, err := c.call(http.MethodDelete, address, id, nil)
	return status, err
}

// callersStates maps the names of states in the callers' interface to the states, where
// the names differ.
var callersStates = map[job.State]job.State{"cancelled": job.Canceled}

// State returns the status of the response to a query of a job's state, and the state.
// The state is empty unless the status is 200. A response with status 200 and no state
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
