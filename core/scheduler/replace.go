package scheduler

import (
	"slices"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// replaceServices stops the instances of a service's old generation as
// instances of the new generation start running. In this shard, the number of
// old instances that keep running is at most the number of new instances that
// do not run yet. If new instances are pending for lack of room, one old
// instance at a time is stopped to free some.
//
// Otherwise a changed declaration would stop all instances of a service at
// once, and callers would get `not run` until the new ones are up.
func (c *cycle) replaceServices() {
	for _, r := range c.replacements() {
		c.replace(r)
	}
}

// replacement is a service that still has instances of an old generation in
// this shard.
type replacement struct {
	workload string
	// old holds the instances of old generations that are not being stopped,
	// and stopping counts those that are.
	old      []ledger.Task
	stopping int
	// desired counts the unfinished instances of the new generation. Of
	// these, running and pending are in the states of those names.
	desired int
	running int
	pending int
}

func (c *cycle) replacements() []*replacement {
	byName := make(map[string]*replacement)
	var names []string
	for t := range c.snapshot.Ledger.Tasks() {
		if !t.Service || !t.State.HoldsRoom() {
			continue
		}
		w, named := c.snapshot.Config.Workloads[t.Key.Workload]
		if !named || w.Cancelled || w.Generation == t.Key.Generation {
			continue
		}
		r := byName[t.Key.Workload]
		if r == nil {
			r = &replacement{workload: t.Key.Workload}
			byName[t.Key.Workload] = r
			names = append(names, t.Key.Workload)
		}
		if t.State == ledger.Stopping && !t.Resume {
			r.stopping++
			continue
		}
		r.old = append(r.old, t)
	}
	slices.Sort(names)
	list := make([]*replacement, 0, len(names))
	for _, name := range names {
		list = append(list, byName[name])
	}
	if len(list) > 0 {
		c.countSuccessors(byName)
	}
	return list
}

func (c *cycle) countSuccessors(byName map[string]*replacement) {
	for t := range c.snapshot.Ledger.Tasks() {
		r := byName[t.Key.Workload]
		if r == nil {
			continue
		}
		if _, current := c.declared(t.Key); !current {
			continue
		}
		switch t.State {
		case ledger.Running:
			r.desired++
			r.running++
		case ledger.Pending:
			r.desired++
			r.pending++
		case ledger.Assigned, ledger.Stopping:
			r.desired++
		}
	}
}

func (c *cycle) replace(r *replacement) {
	missing := r.desired - r.running
	surplus := len(r.old) - missing
	if surplus <= 0 && r.pending > 0 && r.stopping == 0 {
		surplus = 1
	}
	for _, t := range r.old {
		if surplus <= 0 {
			return
		}
		if c.touched[t.Key] {
			continue
		}
		c.stop(t, false, ReasonReplaced)
		surplus--
	}
}

// drainLeavingWorkers stops the tasks on workers that are about to be removed,
// so that they start on other workers. Instances of services are stopped right
// away too: entries stop sending new requests to an instance as soon as its
// worker is known to leave.
func (c *cycle) drainLeavingWorkers() {
	for i := range c.snapshot.Workers {
		w := &c.snapshot.Workers[i]
		if !w.Leaving && w.VM.State != model.VMLeaving {
			continue
		}
		for _, t := range c.snapshot.Ledger.OnWorker(w.VM.ID) {
			if t.State == ledger.Stopping || c.touched[t.Key] {
				continue
			}
			c.stop(t, true, ReasonLeaving)
		}
	}
}

// withdrawFromCordonedZones stops the tasks that are assigned to workers in cordoned
// availability zones and do not run yet, so that they start elsewhere. No entry sends
// requests to them, so that they need no time to drain.
func (c *cycle) withdrawFromCordonedZones() {
	for i := range c.snapshot.Workers {
		w := &c.snapshot.Workers[i]
		if !w.Cordoned {
			continue
		}
		for _, t := range c.snapshot.Ledger.OnWorker(w.VM.ID) {
			if t.State != ledger.Assigned || c.touched[t.Key] {
				continue
			}
			t.State, t.Resume, t.Reason = ledger.Stopping, true, ReasonCordoned
			c.put(t)
		}
	}
}
