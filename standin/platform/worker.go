package platform

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is one incarnation of a worker. Its tasks take TaskTime each, or run
// until they are stopped when that is 0, as long-running ones always do.
type Worker struct {
	ID       string
	TaskTime time.Duration
	// Born is when it was started, in milliseconds since 1970: no two incarnations
	// have the same. With 0 it does not say.
	Born int64
	// Audit is told of every start and end; it may be nil.
	Audit *Audit
	// OnCrash is called with the worker's id when a task crashes it: who made the
	// worker ends it then.
	OnCrash func(id string)

	mu       sync.Mutex
	began    time.Time
	epoch    int64
	lease    time.Time
	expiry   *time.Timer
	running  map[string]*run
	barred   map[string]int
	finished []end
	number   int64
	ended    chan struct{}
	gone     bool
	starts   int
}

type run struct {
	task   string
	number int
	began  time.Time
	// life is how long it takes, 0 when it runs until it is stopped.
	life  time.Duration
	timer *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	// void is set when the lease ran out before the end was acknowledged: it
	// counts for nothing then.
	void bool
}

// NewWorker makes a worker.
func NewWorker(id string, taskTime time.Duration, audit *Audit) *Worker {
	return &Worker{
		ID: id, TaskTime: taskTime, Born: nextBorn(), Audit: audit, began: time.Now(), running: make(map[string]*run),
		barred: make(map[string]int), ended: make(chan struct{}),
	}
}

// lastBorn is the latest start of a worker.
var lastBorn atomic.Int64

// nextBorn returns the time of day, or one later than all before.
func nextBorn() int64 {
	for {
		last := lastBorn.Load()
		born := max(time.Now().UnixMilli(), last+1)
		if lastBorn.CompareAndSwap(last, born) {
			return born
		}
	}
}

// Entry is what the worker says of itself in the store.
type Entry struct {
	Service  string         `json:"service"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Version  string         `json:"version"`
	Slots    int            `json:"slots"`
	Sequence int            `json:"sequence"`
	State    string         `json:"state"`
	Born     int64          `json:"born,omitempty"`
	Capacity map[string]int `json:"capacity"`
	Labels   []string       `json:"labels"`
}

// Stop makes the worker answer nothing any more, and ends what it runs.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for task, r := range w.running {
		r.timer.Stop()
		w.Audit.note(AuditLost, task, w.ID)
	}
	w.running = make(map[string]*run)
}

// Running returns the names of the tasks that run, in order.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.running))
}

// Starts returns how many attempts were started.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// LeaseEnd returns when the lease of what runs ends.
func (w *Worker) LeaseEnd() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

func (w *Worker) admit(epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.epoch {
		return false
	}
	w.epoch = epoch
	return true
}

// maxLease is the longest lease that a worker takes.
const maxLease = 3 * time.Second

func (w *Worker) extend(untilMs int64) {
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
	} else {
		w.expiry.Reset(time.Until(until))
	}
}

// expire ends all that runs: its lease has run out.
func (w *Worker) expire() {
	w.mu.Lock()
	running := slices.Collect(maps.Values(w.running))
	for i := range w.finished {
		w.finished[i].void = true
	}
	w.mu.Unlock()
	for _, r := range running {
		r.timer.Stop()
		w.finish(r, "lapsed")
	}
}

const (
	// noEnd is longer than any test.
	noEnd = time.Hour
	// crashTime is how long a task runs before it crashes its worker.
	crashTime = 10 * time.Millisecond
	// stragglerEvery is of how many runs of straggling tasks one takes stragglerFactor
	// times as long.
	stragglerEvery, stragglerFactor = 3, 7
)

func (w *Worker) begin(o order) {
	r := &run{task: o.Task, number: o.Run, began: time.Now(), life: w.TaskTime}
	if o.Specification == LongRunning {
		r.life = 0
	}
	if o.Specification == straggling && w.starts%stragglerEvery == 0 {
		r.life *= stragglerFactor
	}
	if o.Specification == crashing {
		r.life = noEnd
		time.AfterFunc(crashTime, func() { w.crashUnder(r) })
	}
	w.starts++
	w.running[o.Task] = r
	w.Audit.note(AuditStarted, o.Task, w.ID)
	r.timer = time.AfterFunc(cmp.Or(r.life, noEnd), func() { w.finish(r, "done") })
}

// crashUnder ends the worker, if it still has the run.
func (w *Worker) crashUnder(r *run) {
	w.mu.Lock()
	runs := w.running[r.task] == r
	w.mu.Unlock()
	if runs && w.OnCrash != nil {
		w.Audit.note(AuditCrashed, r.task, w.ID)
		w.OnCrash(w.ID)
	}
}

func (w *Worker) finish(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	if how == "done" {
		w.Audit.note(AuditDone, r.task, w.ID)
	} else {
		w.Audit.note(AuditStopped, r.task, w.ID)
	}
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.number++
	w.finished = append(w.finished, end{number: w.number, task: r.task, run: r.number, how: how})
	close(w.ended)
	w.ended = make(chan struct{})
}
