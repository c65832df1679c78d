package worker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// firstServicePort is the port of the first service that has no StartService.
const firstServicePort = 20000

// Agent is the agent on one worker. It is safe for concurrent use.
type Agent struct {
	opt Options

	mu        sync.Mutex
	boot      int
	bootAt    time.Time
	now       time.Time // the time to which the tasks have advanced
	epoch     int64
	records   map[string]*record
	forgotten map[string]tombstone
	sampledAt time.Time
	services  int
	leaving   bool
	runs      []*Run
	stats     Stats

	faults faults
}

// Stats counts the requests to an agent and their outcomes.
type Stats struct {
	Requests     int
	Starts       int
	RefusedEpoch int
	RefusedGrant int
	// RefusedRoom counts starts that would have overcommitted the worker.
	RefusedRoom  int
	RefusedStale int
	LeaseExpired int
	// RenewedByHash counts the requests that renewed by hash alone, Mismatches
	// those whose hash did not match.
	RenewedByHash int
	Mismatches    int
}

// New returns an agent at its first boot.
func New(o Options) *Agent {
	if o.RecordClock == nil {
		o.RecordClock = o.Clock
	}
	if o.SampleEvery == 0 {
		o.SampleEvery = defaultSampleEvery
	}
	if o.Behave == nil {
		o.Behave = DefaultBehaviour
	}
	a := &Agent{opt: o}
	a.begin()
	return a
}

// begin starts a new boot, without records and with epoch 0.
func (a *Agent) begin() {
	a.boot++
	a.bootAt = a.opt.Clock.Now()
	a.now = a.bootAt
	a.epoch = 0
	a.records = make(map[string]*record)
	a.forgotten = make(map[string]tombstone)
}

// ID returns the worker's name.
func (a *Agent) ID() model.WorkerID { return a.opt.ID }

// Capacity returns the worker's size.
func (a *Agent) Capacity() model.Resources { return a.opt.Capacity }

// Stats returns the counts over all boots.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Advance advances the tasks to the current time of the clock, and ends those that
// are done or whose leases have expired. Apply does so too; Advance is for the time
// between requests.
func (a *Agent) Advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
}

// Restart ends the current boot, which loses all tasks, and starts the next.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.loseAll()
	a.begin()
}

// SetLeaving sets whether responses announce that the VM is about to be removed.
func (a *Agent) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = leaving
}

// Running returns the running attempts, sorted by task.
func (a *Agent) Running() []*workerv1.TaskAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	var list []*workerv1.TaskAttempt
	for _, r := range a.sorted() {
		if r.running() {
			list = append(list, &workerv1.TaskAttempt{Task: r.task, Attempt: r.attempt})
		}
	}
	return list
}

// Apply executes one request, without the faults of the connection.
func (a *Agent) Apply(req *workerv1.ApplyRequest) *workerv1.ApplyResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.stats.Requests++
	if req.GetEpoch() < a.epoch && !a.opt.Flaws.IgnoreEpoch {
		a.stats.RefusedEpoch++
		return &workerv1.ApplyResponse{RefusedEpoch: a.epoch}
	}
	a.epoch = max(a.epoch, req.GetEpoch())
	resp := &workerv1.ApplyResponse{Leaving: a.leaving}
	named := make(map[string]bool)
	for _, c := range req.GetCommands() {
		result := a.command(req, c)
		if result == nil {
			continue
		}
		named[result.Task] = true
		resp.Results = append(resp.Results, result)
	}
	a.renew(req, resp)
	resp.Tasks = a.reports(req.GetWantReport(), named)
	resp.Grant = &workerv1.Grant{BootId: a.bootID(), IssuedMillis: a.millis()}
	return resp
}

// bootID returns the id of the current boot.
func (a *Agent) bootID() string { return fmt.Sprintf("%s-%d", a.opt.ID, a.boot) }

// millis returns the milliseconds since the boot.
func (a *Agent) millis() int64 { return a.now.Sub(a.bootAt).Milliseconds() }

// leaseEnd returns when a lease from the request's grant ends, and whether that is in
// the future. The lease is measured from the grant and not from the receipt of the
// request: otherwise a delayed request would extend it beyond the bound that its
// sender computed.
func (a *Agent) leaseEnd(req *workerv1.ApplyRequest) (time.Time, bool) {
	lease := time.Duration(req.GetLeaseMillis()) * time.Millisecond
	if a.opt.Flaws.LeaseFromReceipt {
		return a.now.Add(lease), true
	}
	if req.GetGrant().GetBootId() != a.bootID() {
		return time.Time{}, false
	}
	issued := time.Duration(req.GetGrant().GetIssuedMillis()) * time.Millisecond
	end := a.bootAt.Add(issued + lease)
	return end, end.After(a.now)
}

// advance runs the tasks up to the current time. It processes their ends one by one,
// because each end changes the speed of the other tasks.
func (a *Agent) advance() {
	now := a.opt.Clock.Now()
	for {
		r, at, kind := a.earliestEnd()
		if r == nil || at.After(now) {
			break
		}
		a.progress(at)
		a.finish(r, kind)
	}
	a.progress(now)
	a.sample(now)
}

// earliestEnd returns the running task that ends next, with when and how it ends. The
// task is nil if none is running.
func (a *Agent) earliestEnd() (*record, time.Time, EndKind) {
	var first *record
	var firstAt time.Time
	var firstKind EndKind
	for _, r := range a.sorted() {
		if !r.running() {
			continue
		}
		at, kind := r.nextEnd(a.now)
		if first == nil || at.Before(firstAt) {
			first, firstAt, firstKind = r, at, kind
		}
	}
	return first, firstAt, firstKind
}

// progress lets all tasks run until the given time.
func (a *Agent) progress(at time.Time) {
	if !at.After(a.now) {
		return
	}
	for _, r := range a.records {
		if r.running() {
			r.progress(at.Sub(a.now))
		}
	}
	a.now = at
}

// finish ends a running task.
func (a *Agent) finish(r *record, kind EndKind) {
	if r.stop != nil {
		r.stop()
	}
	switch kind {
	case EndSucceeded:
		r.state = workerv1.TaskState_TASK_STATE_SUCCEEDED
	case EndFailed:
		r.state = workerv1.TaskState_TASK_STATE_FAILED
		r.detail = r.behave.Detail
	case EndLeaseExpired:
		r.state = workerv1.TaskState_TASK_STATE_STOPPED
		r.detail = string(kind)
		r.checkpoint = ""
		a.stats.LeaseExpired++
	default:
		r.state = workerv1.TaskState_TASK_STATE_STOPPED
	}
	r.endedMillis = a.millis()
	r.run.End = kind
	r.run.EndedAt = a.opt.RecordClock.Now()
	r.run.Saved = r.checkpoint
	r.address = ""
	a.updateSlowdowns()
}

// loseAll ends all running tasks as lost.
func (a *Agent) loseAll() {
	for _, r := range a.sorted() {
		if r.running() {
			a.finish(r, EndLost)
		}
	}
}

// sorted returns the records, sorted by task.
func (a *Agent) sorted() []*record {
	return slices.SortedFunc(maps.Values(a.records), func(x, y *record) int {
		return cmp.Compare(x.task, y.task)
	})
}

// used returns the sum of the sizes of the running tasks.
func (a *Agent) used() model.Resources {
	var sum model.Resources
	for _, r := range a.records {
		if r.running() {
			sum = sum.Add(r.size)
		}
	}
	return sum
}
