package scheduler

import (
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/plan"
)

// Decide returns what should change in the shard's ledger. It changes nothing
// that the snapshot refers to, save the placer's random source.
func Decide(s *Snapshot, o Options) plan.Plan {
	if s.Config == nil {
		return plan.Plan{}
	}
	c := &cycle{
		snapshot: s,
		options:  o,
		touched:  make(map[model.TaskKey]bool),
	}
	if s.Synced != s.Config.Revision {
		c.createMissing()
		c.retireObsolete()
		c.plan.Synced = s.Config.Revision
	} else {
		// Only now does the ledger hold the successors: with none in sight all
		// old instances would look superfluous.
		c.replaceServices()
	}
	c.drainLeavingWorkers()
	c.placePending()
	return c.plan
}

// cycle is one run of Decide.
type cycle struct {
	snapshot *Snapshot
	options  Options
	plan     plan.Plan
	// touched are the tasks that this cycle already changes: a second change
	// of the same task would be decided on a record that is no longer true.
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

// stop begins the end of a task that holds room.
func (c *cycle) stop(t ledger.Task, resume bool, reason string) {
	t.State = ledger.Stopping
	t.Resume = resume
	t.Reason = reason
	if t.Service {
		t.NotBefore = c.snapshot.Now.Add(c.drainTime(t.Key.Workload))
	}
	c.put(t)
}

// drainTime is how long a service's instance goes on after its stop was
// committed: until every entry has stopped sending to it, and then for as long
// as a request may take. Stopped earlier, it would cut off the slow ones.
func (c *cycle) drainTime(workload string) time.Duration {
	longest := c.options.RequestTimeout
	if w, known := c.snapshot.Config.Workloads[workload]; known && w.Spec.Timeout > 0 {
		longest = time.Duration(w.Spec.Timeout)
	}
	return c.options.DrainDelay + min(longest, c.options.MaxDrain)
}

// declared returns the accepted declaration that a task belongs to; false when
// its generation is not the one in force or was cancelled.
func (c *cycle) declared(key model.TaskKey) (config.AcceptedWorkload, bool) {
	w, known := c.snapshot.Config.Workloads[key.Workload]
	if !known || w.Generation != key.Generation || w.Cancelled {
		return config.AcceptedWorkload{}, false
	}
	return w, true
}
