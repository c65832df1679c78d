package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// capacity is what a worker offers, and what a task needs.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPUs  int `json:"gpus"`
}

func (c capacity) plus(o capacity) capacity {
	return capacity{c.CPU + o.CPU, c.MemMB + o.MemMB, c.GPUs + o.GPUs}
}

func (c capacity) fits(room capacity) bool {
	return c.CPU <= room.CPU && c.MemMB <= room.MemMB && c.GPUs <= room.GPUs
}

// taskSpec is how the tasks of one step behave. The specification of a job is a JSON list
// of them, one for each step: a worker learns of a task no more than that text.
type taskSpec struct {
	// Ms is how long a run of the first task takes; 0 if it lasts until it is stopped.
	Ms int `json:"ms"`
	// StaggerMs is how much longer a run of each task takes than one of the task before.
	StaggerMs int      `json:"staggerMs,omitempty"`
	Need      capacity `json:"need"`
}

// worker is one boot of a worker. It follows the pages: leases, fencing tokens, run
// numbers, numbered ends, admission by capacity.
type worker struct {
	id string
	// machine is the machine of which the worker is one life.
	machine  string
	rig      *rig
	room     capacity
	labels   []string
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	began  time.Time
	token  int64
	lease  time.Time
	expiry *time.Timer
	runs   map[string]*taskRun
	barred map[string]int
	ends   []taskEnd
	number int64
	ended  chan struct{}
	// down is set once the worker has crashed.
	down bool
}

type taskRun struct {
	worker *worker
	task   string
	number int
	spec   taskSpec
	began  time.Time
	timer  *time.Timer
	// stopping is set once a stop was ordered, which takes some time.
	stopping bool
}

type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
	// void is set when the lease has lapsed before the end was taken note of.
	void bool
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// startWorker starts a worker and enters it in the store.
func (r *rig) startWorker(id string, room capacity, labels ...string) *worker {
	return r.startWorkerAt("127.0.0.1:0", "m-"+id, id, room, labels...)
}

// startWorkerAt starts a life of a machine at an address.
func (r *rig) startWorkerAt(address, machine, id string, room capacity, labels ...string) *worker {
	l, err := net.Listen("tcp", address)
	r.must(err)
	w := &worker{
		id: id, machine: machine, rig: r, room: room, labels: labels, listener: l, began: time.Now(),
		runs: make(map[string]*taskRun), barred: make(map[string]int), ended: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	r.workers = append(r.workers, w)
	r.store.Put("servers/"+id, map[string]any{
		"service": poolName, "address": l.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "clockMs": w.clock(), "sequence": 1, "capacity": room, "labels": labels, "machine": machine,
	})
	r.note("worker %s is up at %s", id, l.Addr())
	return w
}

// entrySilence is after how long without a sign of life the entry of a worker is removed:
// three ping intervals.
const entrySilence = 4500 * time.Millisecond

// crash ends the worker and all that it runs without a word. Its entry stays for a while.
func (w *worker) crash() {
	w.mu.Lock()
	w.down = true
	for _, run := range w.runs {
		run.timer.Stop()
		w.rig.audit.ended(run, "lost with its worker")
	}
	w.runs = nil
	w.mu.Unlock()
	_ = w.server.Close()
	w.rig.note("worker %s has crashed", w.id)
	time.AfterFunc(entrySilence, func() { w.rig.store.Delete("servers/" + w.id) })
}

// reboot starts the next life of the worker's machine, with another id at the same address.
func (w *worker) reboot(id string) *worker {
	return w.rig.startWorkerAt(w.listener.Addr().String(), w.machine, id, w.room, w.labels...)
}

// order is the body of every call to a worker.
type order struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	UntilMs       int64  `json:"untilMs"`
	FencingToken  int64  `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
}

// reply is the body of a worker's response.
type reply struct {
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

func respond(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		respond(out, http.StatusMisdirectedRequest, reply{ClockMs: w.clock()})
		return
	}
	switch r.URL.Path {
	case "/run-start":
		status, answer := w.start(o)
		respond(out, status, answer)
	case "/run-stop":
		status, answer := w.stop(o)
		respond(out, status, answer)
	case "/hold":
		w.hold(out, r, o)
	case "/pace":
		respond(out, http.StatusOK, reply{ClockMs: w.clock()})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// admit reports whether an order's token is not lower than one seen before. w.mu is held.
func (w *worker) admit(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// maxLease is the longest lease that a worker takes.
const maxLease = 6 * time.Second

// extend prolongs the lease. w.mu is held.
func (w *worker) extend(untilMs int64) {
	until := w.began.Add(time.Duration(untilMs-1) * time.Millisecond)
	if most := time.Now().Add(maxLease); until.After(most) {
		until = most
	}
	if !until.After(w.lease) {
		return
	}
	w.lease = until
	if w.expiry == nil {
		w.expiry = time.AfterFunc(time.Until(until), w.expire)
		return
	}
	w.expiry.Reset(time.Until(until))
}

// expire ends all that runs, as its lease has lapsed.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || time.Now().Before(w.lease) {
		return
	}
	for i := range w.ends {
		w.ends[i].void = true
	}
	for _, run := range w.runs {
		w.end(run, "lapsed")
	}
}

// committed is what the runs take. w.mu is held.
func (w *worker) committed() capacity {
	var sum capacity
	for _, run := range w.runs {
		sum = sum.plus(run.spec.Need)
	}
	return sum
}

func (w *worker) start(o order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := reply{ClockMs: w.clock()}
	if w.down {
		return http.StatusServiceUnavailable, answer
	}
	if !w.admit(o.FencingToken) {
		answer.Reason = "fence"
		return http.StatusConflict, answer
	}
	running := w.runs[o.Task]
	if running != nil && running.number == o.Run {
		w.extend(o.UntilMs)
		return http.StatusOK, answer
	}
	spec, err := specOf(o)
	if err != nil {
		return http.StatusBadRequest, answer
	}
	switch {
	case o.UntilMs <= answer.ClockMs:
		answer.Reason = "late"
	case w.barred[o.Task] >= o.Run || running != nil:
		answer.Reason = "old"
	case !w.committed().plus(spec.Need).fits(w.room):
		answer.Reason = "room"
	}
	if answer.Reason != "late" {
		w.extend(o.UntilMs)
	}
	if answer.Reason != "" {
		return http.StatusConflict, answer
	}
	run := &taskRun{worker: w, task: o.Task, number: o.Run, spec: spec, began: time.Now()}
	w.runs[o.Task] = run
	w.rig.audit.started(run, o)
	life := time.Duration(spec.Ms) * time.Millisecond
	run.timer = time.AfterFunc(cmp.Or(life, forever), func() { w.finish(run, "done") })
	return http.StatusOK, answer
}

// forever is longer than any case.
const forever = time.Hour

// specOf returns how the task of a start behaves.
func specOf(o order) (taskSpec, error) {
	var specs []taskSpec
	if err := json.Unmarshal([]byte(o.Specification), &specs); err != nil {
		return taskSpec{}, err
	}
	var step, index int
	_, numbers, _ := strings.Cut(o.Task, ".")
	if _, err := fmt.Sscanf(numbers, "0.%d.%d", &step, &index); err != nil {
		return taskSpec{}, err
	}
	if step < 0 || step >= len(specs) {
		return taskSpec{}, strconv.ErrRange
	}
	spec := specs[step]
	spec.Ms += index * spec.StaggerMs
	return spec, nil
}

// finish ends a run if it is still there.
func (w *worker) finish(run *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[run.task] == run {
		w.end(run, how)
	}
}

// end ends a run. w.mu is held.
func (w *worker) end(run *taskRun, how string) {
	run.timer.Stop()
	delete(w.runs, run.task)
	w.barred[run.task] = max(w.barred[run.task], run.number)
	w.number++
	w.ends = append(w.ends, taskEnd{number: w.number, task: run.task, run: run.number, how: how})
	w.rig.audit.ended(run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

// maxStopTime is the longest time that a stop takes.
const maxStopTime = 800 * time.Millisecond

func (w *worker) stop(o order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := reply{ClockMs: w.clock()}
	if !w.admit(o.FencingToken) {
		answer.Reason = "fence"
		return http.StatusConflict, answer
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if run := w.runs[o.Task]; run != nil && run.number <= o.Run && !run.stopping {
		run.stopping = true
		time.AfterFunc(rand.N(maxStopTime), func() { w.finish(run, "stopped") })
	}
	return http.StatusOK, answer
}

// hold renews the lease, takes note of what was seen and answers with a report, as soon as
// there is an end or the wait is over.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	deadline := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for first := true; ; first = false {
		w.mu.Lock()
		if !w.admit(o.FencingToken) {
			w.mu.Unlock()
			respond(out, http.StatusConflict, reply{ClockMs: w.clock(), Reason: "fence"})
			return
		}
		if first {
			w.renew(o)
		}
		report, ended, waits := w.report(), w.ended, len(w.ends) == 0 && o.WaitMs > 0
		w.mu.Unlock()
		if !waits {
			respond(out, http.StatusOK, report)
			return
		}
		select {
		case <-ended:
		case <-deadline.C:
			o.WaitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// renew prolongs the lease and forgets the ends up to the one that was seen last. w.mu is
// held.
func (w *worker) renew(o order) {
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		if e := w.ends[0]; !e.void {
			w.rig.audit.noted(e.task, e.run, e.how, w.id)
		}
		w.ends = w.ends[1:]
	}
}

// report lists what runs and the ends. w.mu is held.
func (w *worker) report() reply {
	answer := reply{ClockMs: w.clock()}
	for task, run := range w.runs {
		percent := 100
		if run.spec.Ms > 0 {
			percent = min(int(time.Since(run.began).Milliseconds())*100/run.spec.Ms, 99)
		}
		answer.Running = append(answer.Running, []any{task, run.number, "", percent, run.spec.Need.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		answer.Finished = append(answer.Finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return answer
}
