package plan

import (
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// Plan is a list of wished changes in the order in which they are to be
// checked, and the configuration revision they were decided for.
type Plan struct {
	Changes []ledger.Change
	// Synced is the configuration revision whose tasks the plan creates and
	// retires completely, or 0 when the plan did not compare them.
	Synced model.Revision
}

// RejectReason says why a wish was not passed on.
type RejectReason string

// The reasons for a rejection.
const (
	RejectNoRoom        RejectReason = "worker has no room left"
	RejectUnknownWorker RejectReason = "worker is not in the shard"
	RejectStale         RejectReason = "task changed since the decision"
)

// Rejection is a wish that no longer holds.
type Rejection struct {
	Task   model.TaskKey
	Worker model.WorkerID
	Reason RejectReason
}

// CapacityFunc returns a worker's capacity, or false for a worker that is not in
// the shard.
type CapacityFunc func(model.WorkerID) (model.Resources, bool)

// Contents is what Apply needs to know of the ledger.
type Contents interface {
	Task(model.TaskKey) (ledger.Task, bool)
	Committed(model.WorkerID) model.Resources
}

// Apply returns the changes that still hold, in order, and the rejections.
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
	// added is the room that accepted changes of this plan add to each
	// worker, beyond what the ledger holds.
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
		return c.checkHeld(before, task)
	}
	if known && task.Attempt != before.Attempt+1 {
		return RejectStale, false
	}
	return c.checkRoom(task.Worker, task.Size)
}

// checkHeld judges a change of a task that already holds room: it must stay
// where it is, and may only grow into free room.
func (c *checker) checkHeld(before ledger.Task, task *ledger.Task) (RejectReason, bool) {
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
