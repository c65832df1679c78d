package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// step is a step of a job on the wire. Fields whose value is 0 are omitted.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	MemMB       int   `json:"memMb,omitempty"`
	GPUs        int   `json:"gpus,omitempty"`
	EstimatedMs int   `json:"estimatedMs,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

// clientJob is a job as its client knows it.
type clientJob struct {
	id            string
	specification string
	steps         []step
	queue         queue
	// state is the one that was told last.
	state string
}

// newJob makes a job for a queue. Its specification tells how the tasks of each step behave.
func (r *rig) newJob(q queue, steps []step, specs []taskSpec) *clientJob {
	for i, s := range steps {
		specs[i].Need = capacity{CPU: s.CPU, MemMB: s.MemMB, GPUs: s.GPUs}
	}
	text, err := json.Marshal(specs)
	r.must(err)
	return &clientJob{id: fmt.Sprintf("%016x", rand.Uint64()), specification: string(text), steps: steps, queue: q}
}

// job returns the job with an id, nil if no client has sent it.
func (r *rig) job(id string) *clientJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// client is where the calls of all clients leave from.
var client = &http.Client{
	Timeout:   3 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second},
}

// call makes a call to any daemon, and returns the status and the body of the response.
func (r *rig) call(method string, j *clientJob, body []byte) (int, []byte, error) {
	front := r.daemons[rand.IntN(len(r.daemons))].front()
	path := j.queue.Prefix + j.id
	request, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = j.queue.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		r.note("client: %s %s at %s: %v", method, path, front, err)
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.note("client: %s %s at %s: %d %s", method, path, front, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, text, err
}

// submitTries is how often a client tries to hand a job in.
const submitTries = 5

// submit hands a job in, and reports whether it was accepted.
func (r *rig) submit(j *clientJob) bool {
	r.mu.Lock()
	r.jobs[j.id] = j
	r.mu.Unlock()
	body, err := json.Marshal(map[string]any{"specification": j.specification, "steps": j.steps})
	r.must(err)
	r.note("client: job %s is %s", j.id, body)
	for range submitTries {
		if status, _, err := r.call(http.MethodPost, j, body); err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// look asks for the state of a job.
func (r *rig) look(j *clientJob) {
	status, text, err := r.call(http.MethodGet, j, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var told struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &told) == nil {
		j.state = told.State
	}
}
