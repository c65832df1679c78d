package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout bounds a call; callers tell it to the daemon too.
	callTimeout = 2 * time.Second
	// submitTries is how often a caller tries before it gives a job up.
	submitTries = 6
	// lookEvery is the time between two looks at a job.
	lookEvery = 150 * time.Millisecond
)

// fate is what a caller knows of a job that it submitted.
type fate int

const (
	// refused: every answer said that it was not carried out.
	refused fate = iota
	// unknown: some try had no answer, or one that says nothing.
	unknown
	accepted
)

// submitted is a job as its caller sees it.
type submitted struct {
	id string
	// steps holds the number of tasks of each step.
	steps []int

	mu         sync.Mutex
	fate       fate
	acceptedAt time.Time
	canceledAt time.Time
	// canceling is set when a cancel was sent, whatever came of it.
	canceling bool
	final     string
}

// caller submits jobs and follows them over connections that it keeps.
type caller struct {
	d      *deployment
	rnd    *rand.Rand
	client *http.Client
	prefix int
	jobs   []*submitted
}

func newCaller(d *deployment, seed uint64, number int) *caller {
	return &caller{
		d: d, rnd: rand.New(rand.NewPCG(seed, uint64(100+number))), prefix: number,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run submits jobs until ctx ends, and follows them until calling does.
func (c *caller) run(ctx, calling context.Context) {
	var following sync.WaitGroup
	for ctx.Err() == nil {
		j := c.draw()
		c.jobs = append(c.jobs, j)
		seed := c.rnd.Uint64()
		following.Go(func() { c.follow(calling, j, rand.New(rand.NewPCG(seed, 0))) })
		time.Sleep(between(c.rnd, 50, 500))
	}
	following.Wait()
}

// draw returns a job of one to three steps.
func (c *caller) draw() *submitted {
	j := &submitted{id: fmt.Sprintf("%04x%012x", c.prefix, len(c.jobs)+1)}
	for range 1 + c.rnd.IntN(3) {
		j.steps = append(j.steps, 1+c.rnd.IntN(4))
	}
	return j
}

// body returns the submission: each step follows the one before.
func (j *submitted) body() []byte {
	type step struct {
		Count       int   `json:"count"`
		CPU         int   `json:"cpu"`
		MemMb       int   `json:"memMb"`
		EstimatedMs int   `json:"estimatedMs"`
		After       []int `json:"after,omitempty"`
	}
	var steps []step
	for i, count := range j.steps {
		s := step{Count: count, CPU: 1000, MemMb: 500, EstimatedMs: 500}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	data, err := json.Marshal(map[string]any{"specification": "soak", "steps": steps})
	if err != nil {
		panic(err)
	}
	return data
}

// follow submits a job, looks at it now and then, and cancels some.
func (c *caller) follow(ctx context.Context, j *submitted, rnd *rand.Rand) {
	for range submitTries {
		status, _, err := c.call(rnd, http.MethodPost, j.id, j.body())
		j.settle(status, err)
		if j.fate == accepted || ctx.Err() != nil {
			break
		}
		time.Sleep(between(rnd, 50, 400))
	}
	if j.fate != accepted {
		return
	}
	cancelAt := time.Time{}
	if rnd.IntN(6) == 0 {
		cancelAt = time.Now().Add(between(rnd, 0, 2500))
	}
	for ctx.Err() == nil && j.final == "" {
		time.Sleep(lookEvery)
		if !cancelAt.IsZero() && time.Now().After(cancelAt) {
			cancelAt = time.Time{}
			c.cancel(rnd, j)
		}
		c.look(rnd, j)
	}
}

// settle takes in the outcome of one try to submit.
func (j *submitted) settle(status int, err error) {
	switch {
	case err == nil && status == http.StatusOK:
		j.fate, j.acceptedAt = accepted, time.Now()
	case err == nil && status == http.StatusServiceUnavailable:
	case err != nil && notSent(err):
	default:
		j.fate = unknown
	}
}

// notSent reports whether a call certainly did not reach a daemon.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *caller) cancel(rnd *rand.Rand, j *submitted) {
	j.mu.Lock()
	j.canceling = true
	j.mu.Unlock()
	status, _, err := c.call(rnd, http.MethodDelete, j.id, nil)
	if err == nil && status == http.StatusOK {
		j.mu.Lock()
		j.canceledAt = time.Now()
		j.mu.Unlock()
	}
}

// look asks for a job's state and checks the answer against earlier ones.
func (c *caller) look(rnd *rand.Rand, j *submitted) {
	status, text, err := c.call(rnd, http.MethodGet, j.id, nil)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch status {
	case http.StatusGone:
		c.d.report.add("job %s is not known %s after it was accepted", j.id, time.Since(j.acceptedAt).Round(time.Millisecond))
	case http.StatusOK:
		j.sees(c.d.report, text)
	}
}

// sees takes in a state that was told.
func (j *submitted) sees(r *report, text string) {
	var told struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &told); err != nil {
		r.add("job %s: state %q", j.id, text)
		return
	}
	if j.final != "" && told.State != j.final {
		r.add("job %s was told as %s and then as %s", j.id, j.final, told.State)
	}
	switch told.State {
	case "completed":
		j.final = told.State
	case "cancelled":
		j.final = told.State
		if !j.canceling {
			r.add("job %s is canceled, and nobody asked for it", j.id)
		}
	case "failed":
		r.add("job %s is told as failed, and none of its tasks can fail", j.id)
		j.final = told.State
	}
}

// call makes a call at some daemon.
func (c *caller) call(rnd *rand.Rand, method, id string, body []byte) (int, string, error) {
	p := pick(rnd, c.d.daemons)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.front()+"/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "jobs.example"
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}
