package daemon

import (
	"bytes"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	standin "github.com/guavarill/guavarill/standin/worker"
)

// events returns the time line of the whole session so far.
func (c *cluster) events(more ...[]timeline.Event) []timeline.Event {
	lists := append(more, c.ended...)
	for _, n := range c.nodes {
		if !n.dead {
			lists = append(lists, n.ring.All())
		}
	}
	return timeline.Merge(lists...)
}

func (c *cluster) timeline(more ...[]timeline.Event) string {
	var b bytes.Buffer
	if err := timeline.Format(&b, c.events(more...)); err != nil {
		c.t.Fatal(err)
	}
	return b.String()
}

// happened counts the events of a kind about a subject; "" is any.
func (c *cluster) happened(kind timeline.Kind, subject string) int {
	count := 0
	for _, e := range c.events() {
		if e.Kind == kind && (subject == "" || e.Subject == subject) {
			count++
		}
	}
	return count
}

// audit checks the records of all workers.
func (c *cluster) audit() {
	c.t.Helper()
	for _, v := range standin.Audit(c.all...) {
		c.t.Errorf("%s", v)
	}
	if c.t.Failed() {
		c.t.Log("\n" + c.timeline())
	}
}

// owner returns the daemon that owns a shard by its own belief, the latest
// epoch winning; nil when there is none.
func (c *cluster) owner(id model.ShardID) *node {
	var owner *node
	for _, n := range c.nodes {
		s := n.control.shards[id]
		if n.dead || s == nil || !s.loaded {
			continue
		}
		if owner == nil || s.epoch > owner.control.shards[id].epoch {
			owner = n
		}
	}
	return owner
}

// tasks returns the committed tasks of a workload, by key.
func (c *cluster) tasks(workload string) []ledger.Task {
	var list []ledger.Task
	seen := make(map[model.TaskKey]bool)
	for _, n := range c.nodes {
		for _, id := range n.control.sortedShards() {
			if c.owner(id) != n {
				continue
			}
			for t := range n.control.shards[id].ledger.Contents().Tasks() {
				if t.Key.Workload == workload && t.State != ledger.Moved {
					if seen[t.Key] {
						c.t.Errorf("%s lives in two ledgers", t.Key)
					}
					seen[t.Key] = true
					list = append(list, t)
				}
			}
		}
	}
	return list
}

// home returns the shard that holds the workload's first task, and its owner.
func (c *cluster) home(workload string) (model.ShardID, *node) {
	for _, n := range c.nodes {
		for _, id := range n.control.sortedShards() {
			if c.owner(id) != n {
				continue
			}
			for t := range n.control.shards[id].ledger.Contents().Tasks() {
				if t.Key.Workload == workload && t.Key.Index == 0 && t.State != ledger.Moved {
					return id, n
				}
			}
		}
	}
	c.t.Fatalf("%s has no owner", workload)
	return 0, nil
}

// runs returns all runs of a workload's tasks on all workers.
func (c *cluster) runs(workload string) []standin.Run {
	var list []standin.Run
	for _, a := range c.all {
		for _, r := range a.Runs() {
			if key, ok := model.ParseTaskKey(r.Task); ok && key.Workload == workload {
				list = append(list, r)
			}
		}
	}
	return list
}

// ranOnce demands that each of n tasks ran exactly once.
func (c *cluster) ranOnce(workload string, n int) {
	c.t.Helper()
	if runs := c.runs(workload); len(runs) != n {
		c.t.Errorf("%s: %d runs of %d tasks: %+v", workload, len(runs), n, runs)
	}
}

// inState reports whether n tasks of the workload are in a state.
func (c *cluster) inState(workload string, state ledger.State, n int) func() bool {
	return func() bool {
		count := 0
		for _, t := range c.tasks(workload) {
			if t.State == state {
				count++
			}
		}
		return count == n
	}
}
