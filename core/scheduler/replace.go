package scheduler

import (
	"slices"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// replaceServices stops the instances of a service's older generation as those
// of the newer one come to answer: in this shard, no more old instances go on
// than are still missing of the new one. When the new ones find no room, one
// old instance at a time makes way.
//
// Without this, a changed declaration would stop all instances of a service at
// once, and its callers would be told `not run` until the new ones are up.
func (c *cycle) replaceServices() {
	for _, r := range c.replacements() {
		c.replace(r)
	}
}

// replacement is one service of which the shard holds instances of an older
// generation.
type replacement struct {
	workload string
	old      []ledger.Task
	stopping int
	desired  int
	running  int
	pending  int
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

// drainLeavingWorkers moves tasks away from workers that are about to be taken away.
// A service's instance leaves a worker as soon as that is known, since entries
// send it nothing new from then on anyway.
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
