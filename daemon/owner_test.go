package daemon

import (
	"slices"
	"strings"
	"testing"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

func hasStart(req *workerv1.ApplyRequest) bool {
	for _, cmd := range req.GetCommands() {
		if cmd.GetStart() != nil {
			return true
		}
	}
	return false
}

// takenOver waits until another daemon than old owns the shard.
func (c *cluster) takenOver(shard model.ShardID, old *node) *node {
	c.t.Helper()
	c.until("shard taken over", 3*time.Minute, func() bool {
		owner := c.owner(shard)
		return owner != nil && owner != old
	})
	return c.owner(shard)
}

// TestOwnerKilledBetweenCommitAndStart guards against a task that starts twice or
// never when its owner is killed after the commit of the start, before or after the
// worker obeyed. The next owner cannot know from the ledger whether it began.
func TestOwnerKilledBetweenCommitAndStart(t *testing.T) {
	for name, arrives := range map[string]bool{"start lost": false, "start obeyed": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 4)
			c.ready()
			killed := ""
			for _, n := range c.nodes {
				dies := func(req *workerv1.ApplyRequest) bool {
					if killed != "" || !hasStart(req) {
						return true
					}
					killed = n.id
					c.kill(n.id)
					return false
				}
				if arrives {
					n.workers.after = dies
				} else {
					n.workers.before = dies
				}
			}
			c.declare("d1", batch("job", 4, 1000, 2*time.Minute))
			c.until("an owner killed", time.Minute, func() bool { return killed != "" })
			c.until("job done", 5*time.Minute, c.inState("job", ledger.Succeeded, 4))
			c.ranOnce("job", 4)
			c.audit()
		})
	}
}

// Symptom: a task runs in two places, or is committed twice.
// Events: an owner is paused after it decided and before its calls leave; its
// lease lapses; another daemon takes over and places the same tasks; the old
// owner goes on and its calls leave, first of all the commit.
// Cause: a check before a call says nothing about the time when it arrives.
func TestOwnerPausedBeyondItsLease(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	job := batch("job", 4, 1000, 10*time.Minute)
	c.declare("d1", job)
	c.until("job runs", time.Minute, c.inState("job", ledger.Running, 4))
	shard, old := c.home("job")
	c.declare("d1", job, batch("late", 4, 1000, time.Minute))
	c.until("placement decided and not committed", 10*time.Second, func() bool {
		old.handle(tick{})
		s := old.control.shards[shard]
		old.paused = assigned(s.ledger.Effective()) > 0 && assigned(s.ledger.Contents()) == 0
		return old.paused
	})
	old.paused = false
	c.clock.Advance(step)
	old.handle(tick{})
	old.paused = true
	c.takenOver(shard, old)
	c.until("late placed by the new owner", 3*time.Minute, c.inState("late", ledger.Running, 4))
	old.paused = false
	refused := old.store.refused
	c.drain()
	if old.store.refused == refused {
		t.Error("the old owner's commit was not sent, or not refused")
	}
	if owned := old.control.sortedShards(); len(owned) > 0 {
		t.Errorf("the old owner still holds %v", owned)
	}
	c.until("late done", 5*time.Minute, c.inState("late", ledger.Succeeded, 4))
	c.ranOnce("job", 4)
	c.ranOnce("late", 4)
	c.audit()
}

func assigned(contents *ledger.Contents) int {
	count := 0
	for t := range contents.Tasks() {
		if t.State == ledger.Assigned {
			count++
		}
	}
	return count
}

// TestOwnerCutOffWithItsWorker guards against a task that runs twice when an owner
// is cut off together with a worker. The new owner's bound must cover all that the
// old one, by its own reckoning, may still renew.
func TestOwnerCutOffWithItsWorker(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	c.declare("d1", batch("job", 1, 1000, 20*time.Minute))
	c.until("job runs", time.Minute, c.inState("job", ledger.Running, 1))
	shard, old := c.home("job")
	worker := string(c.tasks("job")[0].Worker)
	c.cut[[2]string{old.id, "store"}] = true
	for _, n := range c.nodes {
		if n != old {
			c.cut[[2]string{old.id, n.id}] = true
			c.cut[[2]string{n.id, worker}] = true
		}
	}
	c.takenOver(shard, old)
	c.until("job resumed elsewhere", 5*time.Minute, func() bool { return len(c.runs("job")) == 2 })
	clear(c.cut)
	c.pass(30 * time.Second)
	c.audit()
}

// Symptom: a task is lost, or started twice.
// Events: of each daemon's commits, every third takes effect without an answer
// and every third is lost on its way; to the daemon both look the same.
// Cause: neither sending the commit again nor taking it for failed or done is
// right; it must be read back.
func TestCommitAnswersLost(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	for _, n := range c.nodes {
		commits := 0
		n.store.dropBefore = func(ops []port.Op) bool {
			if isCommit(ops) {
				commits++
			}
			return isCommit(ops) && commits%3 == 1
		}
		n.store.loseAnswer = func(ops []port.Op) bool { return isCommit(ops) && commits%3 == 2 }
	}
	c.declare("d1", service("front", 2, 1000), batch("job", 6, 1000, time.Minute))
	c.until("job done", 5*time.Minute, c.inState("job", ledger.Succeeded, 6))
	c.until("service runs", time.Minute, c.inState("front", ledger.Running, 2))
	if c.happened(timeline.LedgerCommitUnknown, "") == 0 {
		t.Error("no answer was lost")
	}
	// What the owner believes is committed must be what its successor finds.
	shard, old := c.home("job")
	c.kill(old.id)
	c.takenOver(shard, old)
	c.pass(time.Minute)
	if !c.inState("job", ledger.Succeeded, 6)() || !c.inState("front", ledger.Running, 2)() {
		t.Errorf("the next owner found: %+v, %+v", c.tasks("job"), c.tasks("front"))
	}
	c.ranOnce("job", 6)
	c.ranOnce("front", 2)
	c.audit()
}

func isCommit(ops []port.Op) bool {
	return slices.ContainsFunc(ops, func(op port.Op) bool { return strings.Contains(op.Key, "/ledger/") })
}

// Symptom: a planned stop ends tasks, or callers are turned away.
// Events: a daemon that owns shards is drained while tasks run.
// Cause: the next owner must take the running attempts over as they are.
func TestPlannedStopEndsNoTask(t *testing.T) {
	c := newCluster(t, 3, 4)
	cs := newCallers(c)
	c.ready()
	c.runFrontAndJob(2, 10*time.Minute)
	_, old := c.home("job")
	c.pass(5 * time.Second)
	c.drainDaemon(old.id)
	cs.entries("front")
	c.kill(old.id)
	for range 90 {
		c.pass(time.Second)
		cs.entries("front")
	}
	c.ranOnce("job", 6)
	c.ranOnce("front", 2)
	c.audit()
}
