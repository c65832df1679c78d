package scheduler

import (
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/plan"
)

// Decide runs one scheduling cycle and returns the changes to make to the
// shard's ledger. The plan is empty when the snapshot has no configuration.
// Decide modifies nothing that the snapshot refers to except the state of its
// placer, which includes a random source.
func Decide(snapshot *Snapshot, options Options) plan.Plan {
	if snapshot.Config == nil {
		return plan.Plan{}
	}
	c := &cycle{
		snapshot: snapshot,
		options:  options,
		touched:  make(map[model.TaskKey]bool),
	}
	if snapshot.Synced != snapshot.Config.Revision {
		c.createMissing()
		c.retireObsolete()
		c.plan.Synced = snapshot.Config.Revision
	} else {
		// The new generation's tasks are in the ledger only once it is
		// synced. Before that, every old instance would look surplus.
		c.replaceServices()
	}
	c.drainLeavingWorkers()
	c.withdrawFromCordonedZones()
	c.placePending()
	return c.plan
}

// cycle holds the input and the growing plan of one call of Decide.
type cycle struct {
	snapshot *Snapshot
	options  Options
	plan     plan.Plan
	// touched holds the tasks that the plan already changes. A second change
	// of a task would be based on an outdated record.
	touched map[model.TaskKey]bool
}

func (c *cycle) put(t ledger.Task) {
	c.touched[t.Key] = true
	c.plan.Changes = append(c.plan.Changes, ledger.Change{Put: &t})
}

func (c *cycle) remove(key model.TaskKey) {
	c.touched[key] = true
	c.plan.Changes = append(c.plan.Changes, ledger.Change{Remove: &key})
}

// stop moves a task that holds resources to the Stopping state. With resume
// set it becomes pending again once it has stopped.
func (c *cycle) stop(t ledger.Task, resume bool, reason string) {
	t.State = ledger.Stopping
	t.Resume = resume
	t.Reason = reason
	if t.Service {
		t.NotBefore = c.snapshot.Now.Add(c.drainTime(t.Key.Workload))
	}
	c.put(t)
}

// drainTime returns how long an instance of a service keeps running after its
// stop was committed: the time until every entry has stopped sending requests
// to it, plus the longest time that a request may take, up to MaxDrain.
// Stopping it earlier would cut off slow requests.
func (c *cycle) drainTime(workload string) time.Duration {
	longest := c.options.RequestTimeout
	if w, known := c.snapshot.Config.Workloads[workload]; known && w.Spec.Timeout > 0 {
		longest = time.Duration(w.Spec.Timeout)
	}
	return c.options.DrainDelay + min(longest, c.options.MaxDrain)
}

// declared returns the accepted declaration that a task belongs to. It returns
// false when the task's generation is not the one in force, or is cancelled.
func (c *cycle) declared(key model.TaskKey) (config.AcceptedWorkload, bool) {
	w, known := c.snapshot.Config.Workloads[key.Workload]
	if !known || w.Generation != key.Generation || w.Cancelled {
		return config.AcceptedWorkload{}, false
	}
	return w, true
}
