package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/core/job"
	standin "github.com/guavarill/guavarill/standin/platform"
)

const (
	// callTimeout bounds a call. Callers send it to the daemon with the call.
	callTimeout = 2 * time.Second
	// submitTries is how often a caller tries to submit a job.
	submitTries = 6
	// lookEvery is the interval at which a caller polls the state of a job.
	lookEvery = 150 * time.Millisecond
)

// fate is the outcome of a submission as its caller knows it.
type fate int

const (
	// refused: every response said that the request was not executed.
	refused fate = iota
	// unknown: an attempt got no response, or one that leaves the outcome open.
	unknown
	accepted
)

// submitted is a job and its state as its caller knows it.
type submitted struct {
	id string
	// steps holds the number of tasks of each step.
	steps []int
	// longRunning is whether its tasks run until it is canceled; it has one step.
	longRunning bool
	// crashing is whether its only task crashes each worker that starts it.
	crashing bool
	// copyable is whether its tasks may run twice at a time.
	copyable bool

	mu   sync.Mutex
	fate fate
	// rejections counts the answers that the job was rejected for want of room.
	rejections int
	acceptedAt time.Time
	canceledAt time.Time
	// cancelSentAt is when the first cancel was sent, whatever its outcome.
	cancelSentAt time.Time
	// goneAt is when a cancel was told that there is no such job.
	goneAt time.Time
	final  job.State
}

// caller submits jobs and polls their states over persistent connections.
type caller struct {
	d      *deployment
	rnd    *rand.Rand
	client *standin.Caller
	prefix int
	jobs   []*submitted
	// rejected is set once a job was rejected for want of room.
	rejected atomic.Bool
}

func newCaller(d *deployment, seed uint64, number int) *caller {
	return &caller{
		d: d, rnd: rand.New(rand.NewPCG(seed, uint64(100+number))), prefix: number,
		client: &standin.Caller{
			Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
			Queue:  standin.JobsQueue(), Timeout: callTimeout,
		},
	}
}

// run submits jobs until ctx ends, and polls their states until calling ends.
func (c *caller) run(ctx, calling context.Context) {
	var following sync.WaitGroup
	for ctx.Err() == nil {
		c.submitNext(calling, &following)
		time.Sleep(between(c.rnd, 50, 500))
	}
	following.Wait()
}

// submitNext draws a job, and submits it and polls its states until calling ends, beside
// the others of following.
func (c *caller) submitNext(calling context.Context, following *sync.WaitGroup) {
	j := c.draw()
	c.jobs = append(c.jobs, j)
	seed := c.rnd.Uint64()
	following.Go(func() { c.follow(calling, j, rand.New(rand.NewPCG(seed, 0))) })
}

// nextID returns the id of the caller's next job.
func (c *caller) nextID() string { return fmt.Sprintf("%04x%012x", c.prefix, len(c.jobs)+1) }

// copyableEvery is of how many jobs one may run its tasks twice at a time, in a run with
// copies.
const copyableEvery = 3

// draw returns a random job of one to three steps.
func (c *caller) draw() *submitted {
	j := &submitted{id: c.nextID()}
	for range 1 + c.rnd.IntN(3) {
		j.steps = append(j.steps, 1+c.rnd.IntN(4))
	}
	if c.d.copies && c.rnd.IntN(copyableEvery) == 0 {
		j.copyable = true
		c.d.site.Audit.AllowCopies(j.id)
	}
	return j
}

// submit submits a job, with retries, and reports whether it was accepted.
func (c *caller) submit(ctx context.Context, j *submitted, rnd *rand.Rand) bool {
	for range submitTries {
		j.settle(c.submitOnce(rnd, j))
		if j.rejections > 0 {
			c.rejected.Store(true)
		}
		if j.fate == accepted || ctx.Err() != nil {
			break
		}
		time.Sleep(between(rnd, 50, 400))
	}
	return j.fate == accepted
}

func (c *caller) submitOnce(rnd *rand.Rand, j *submitted) (status int, err error) {
	if j.longRunning {
		return c.client.SubmitLongRunning(c.anyone(rnd), j.id, j.steps[0])
	}
	if j.crashing {
		return c.client.SubmitCrashing(c.anyone(rnd), j.id)
	}
	if j.copyable {
		return c.client.SubmitCopyable(c.anyone(rnd), j.id, j.steps)
	}
	return c.client.Submit(c.anyone(rnd), j.id, j.steps)
}

// follow submits a job and polls its state until it is final. It cancels one job in
// six.
func (c *caller) follow(ctx context.Context, j *submitted, rnd *rand.Rand) {
	if !c.submit(ctx, j, rnd) {
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

// settle records the outcome of one attempt to submit.
func (j *submitted) settle(status int, err error) {
	switch {
	case err == nil && status == http.StatusOK:
		j.fate, j.acceptedAt = accepted, time.Now()
	case err == nil && status == http.StatusServiceUnavailable:
	case err == nil && status == http.StatusTooManyRequests:
		// The earlier attempts are ruled out by this answer.
		j.fate, j.rejections = refused, j.rejections+1
	case err != nil && jobapi.NotSent(err):
	default:
		j.fate = unknown
	}
}

func (c *caller) cancel(rnd *rand.Rand, j *submitted) {
	j.mu.Lock()
	if j.cancelSentAt.IsZero() {
		j.cancelSentAt = time.Now()
	}
	j.mu.Unlock()
	status, err := c.client.Cancel(c.anyone(rnd), j.id)
	if err == nil && status == http.StatusOK {
		j.mu.Lock()
		j.canceledAt = time.Now()
		j.mu.Unlock()
	}
}

// look polls a job's state and checks it against earlier ones.
func (c *caller) look(rnd *rand.Rand, j *submitted) {
	status, state, err := c.client.State(c.anyone(rnd), j.id)
	var garbled *standin.StateError
	switch {
	case errors.As(err, &garbled):
		c.d.report.add("job %s: %v", j.id, garbled)
		return
	case err != nil:
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch status {
	case http.StatusGone:
		c.d.report.add("job %s is not known %s after it was accepted", j.id, time.Since(j.acceptedAt).Round(time.Millisecond))
	case http.StatusOK:
		j.sees(c.d.report, state)
	}
}

// sees checks and records a reported state.
func (j *submitted) sees(r *report, state job.State) {
	if j.final != "" && state != j.final {
		r.add("job %s was told as %s and then as %s", j.id, j.final, state)
	}
	if !state.Final() {
		return
	}
	j.final = state
	switch {
	case state == job.Canceled && j.cancelSentAt.IsZero():
		r.add("job %s is canceled, and nobody asked for it", j.id)
	case state == job.Completed && j.crashing:
		r.add("job %s is told as completed, and its task never is", j.id)
	case state == job.Failed && !j.crashing:
		r.add("job %s is told as failed, and none of its tasks can fail", j.id)
	}
}

// anyone returns the address of a random daemon.
func (c *caller) anyone(rnd *rand.Rand) string { return pick(rnd, c.d.daemons).Front() }
