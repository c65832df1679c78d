package plan

import (
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// Plan is a list of proposed changes, in the order in which they are checked.
type Plan struct {
	Changes []ledger.Change
	// Synced is the configuration revision with which the ledger agrees after
	// the plan, or 0 if the plan does not compare the two.
	Synced model.Revision
}

// RejectReason is the reason why a change was rejected.
type RejectReason string

// The reasons for a rejection.
const (
	// RejectNoRoom means that the worker's capacity would be exceeded.
	RejectNoRoom RejectReason = "worker has no room left"
	// RejectUnknownWorker means that the shard has no such worker.
	RejectUnknownWorker RejectReason = "worker is not in the shard"
	// RejectStale means that the task's attempt or worker has changed.
	RejectStale RejectReason = "task changed since the decision"
)

// Rejection is a change that is not valid any more.
type Rejection struct {
	Task   model.TaskKey
	Worker model.WorkerID
	Reason RejectReason
}

// CapacityFunc returns a worker's capacity, or false for a worker that is not in
// the shard.
type CapacityFunc func(model.WorkerID) (model.Resources, bool)

// Contents is the part of a ledger's contents that Apply reads.
type Contents interface {
	Task(model.TaskKey) (ledger.Task, bool)
	Committed(model.WorkerID) model.Resources
}

// Apply returns the changes of a plan that are still valid, in order, and the
// rejected ones. It does not modify the ledger.
func Apply(contents Contents, capacity CapacityFunc, p Plan) ([]ledger.Change, []Rejection) {
	c := checker{
		contents: contents,
		capacity: capacity,
		added:    make(map[model.WorkerID]model.Resources),
	}
	var accepted []ledger.Change
	for _, change := range p.Changes {
		if reason, ok := c.check(change); !ok {
			c.reject(change, reason)
			continue
		}
		accepted = append(accepted, change)
	}
	return accepted, c.rejected
}

type checker struct {
	contents Contents
	capacity CapacityFunc
	// added is the resources on each worker that the accepted changes of this
	// plan commit in addition to those in the ledger.
	added    map[model.WorkerID]model.Resources
	rejected []Rejection
}

func (c *checker) check(change ledger.Change) (RejectReason, bool) {
	if change.Put == nil {
		return "", true
	}
	task := change.Put
	before, known := c.contents.Task(task.Key)
	if !task.State.HoldsRoom() {
		return "", true
	}
	if known && before.State.HoldsRoom() {
		return c.checkActive(before, task)
	}
	if known && task.Attempt != before.Attempt+1 {
		return RejectStale, false
	}
	return c.checkRoom(task.Worker, task.Size)
}

// checkActive checks a change of a task that already holds resources. The task must
// keep its worker and attempt, and may grow only into free resources.
func (c *checker) checkActive(before ledger.Task, task *ledger.Task) (RejectReason, bool) {
	if before.Worker != task.Worker || before.Attempt != task.Attempt {
		return RejectStale, false
	}
	growth := task.Size.Sub(before.Size)
	if growth == (model.Resources{}) {
		return "", true
	}
	return c.checkRoom(task.Worker, growth)
}

func (c *checker) checkRoom(worker model.WorkerID, more model.Resources) (RejectReason, bool) {
	capacity, known := c.capacity(worker)
	if !known {
		return RejectUnknownWorker, false
	}
	taken := c.added[worker].Add(more)
	if !c.contents.Committed(worker).Add(taken).Fits(capacity) {
		return RejectNoRoom, false
	}
	c.added[worker] = taken
	return "", true
}

func (c *checker) reject(change ledger.Change, reason RejectReason) {
	c.rejected = append(c.rejected, Rejection{
		Task:   change.Put.Key,
		Worker: change.Put.Worker,
		Reason: reason,
	})
}
