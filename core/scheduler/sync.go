package scheduler

import (
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// Reasons recorded with tasks.
const (
	ReasonCancelled = "cancelled"
	ReasonReplaced  = "replaced by a newer declaration"
	ReasonLeaving   = "worker is leaving"
	ReasonPreempted = "preempted by urgent work"
	ReasonCordoned  = "zone cordoned before it started"
)

// createMissing adds a pending record for each task that the configuration
// assigns to this shard and that has no record in the ledger.
func (c *cycle) createMissing() {
	for _, name := range c.snapshot.Config.Names() {
		w := c.snapshot.Config.Workloads[name]
		if w.Cancelled {
			continue
		}
		c.createMissingOf(w)
	}
}

func (c *cycle) createMissingOf(w config.AcceptedWorkload) {
	spec := w.Spec
	for index := range manifest.TasksOf(spec.Name, uint32(spec.Tasks), w.Shards, c.snapshot.Shard) {
		key := model.TaskKey{Workload: spec.Name, Generation: w.Generation, Index: index}
		if _, known := c.snapshot.Ledger.Task(key); known {
			continue
		}
		c.put(ledger.Task{
			Key:      key,
			State:    ledger.Pending,
			Size:     spec.Size,
			Service:  spec.IsService(),
			Class:    spec.Class,
			Priority: spec.PriorityValue(),
			Team:     spec.Team,
		})
	}
}

// retireObsolete stops tasks whose generation is no longer in force, and
// removes the records of final and moved tasks that are no longer declared.
//
// It leaves running instances of services that have a newer generation to
// replaceServices, because they must serve until the new instances run.
func (c *cycle) retireObsolete() {
	for t := range c.snapshot.Ledger.Tasks() {
		if c.touched[t.Key] {
			continue
		}
		if _, current := c.declared(t.Key); current {
			continue
		}
		c.retire(t)
	}
}

func (c *cycle) retire(t ledger.Task) {
	w, named := c.snapshot.Config.Workloads[t.Key.Workload]
	cancelled := named && w.Generation == t.Key.Generation && w.Cancelled
	replaced := named && !w.Cancelled && t.Service
	switch {
	case t.State == ledger.Moved, t.State.Terminal():
		if !cancelled {
			c.remove(t.Key)
		}
	case t.State == ledger.Pending:
		t.State = ledger.Cancelled
		t.Reason = ReasonCancelled
		c.put(t)
	case t.State.HoldsRoom() && !replaced:
		c.cancelActive(t)
	}
}

func (c *cycle) cancelActive(t ledger.Task) {
	if t.State == ledger.Stopping && !t.Resume {
		return
	}
	if t.State == ledger.Stopping {
		t.Resume = false
		t.Reason = ReasonCancelled
		c.put(t)
		return
	}
	c.stop(t, false, ReasonCancelled)
}
