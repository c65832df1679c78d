package daemon

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
)

// Symptom: every task and service of the fleet ends while the store is down.
// Events: the store is down for an hour; nothing else fails.
// Cause: owners renew their workers' leases for a fixed time only after their
// own leases ended.
func TestStoreOutageOfAnHour(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.ready()
	c.runFrontAndJob(2, 3*time.Hour)
	c.pass(5 * time.Second)
	c.store.Down()
	c.pass(time.Hour)
	c.store.Up()
	c.pass(2 * time.Minute)
	c.ranOnce("job", 6)
	c.ranOnce("front", 2)
	if expired := c.expiredLeases(); expired > 0 {
		t.Errorf("%d leases ran out", expired)
	}
	c.audit()
}

// Symptom: tasks of a lost zone wait as long as the longest outage that is
// allowed for, or run twice.
// Events: an owner and one of its workers are lost together, at a quiet time or
// at the end of an outage of the store.
// Cause: their successor cannot tell whether the owner still renews there.
func TestOwnerAndWorkerLostTogether(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Minute} {
		t.Run(outage.String(), func(t *testing.T) { loseOwnerAndWorker(t, outage) })
	}
}

func loseOwnerAndWorker(t *testing.T, outage time.Duration) {
	c := newCluster(t, 3, 4)
	c.ready()
	c.declare("d1", batch("job", 4, 1000, 3*time.Hour))
	c.until("job runs", time.Minute, c.inState("job", ledger.Running, 4))
	c.pass(5 * time.Second)
	shard, old := c.home("job")
	lost := ""
	for _, id := range sortedKeys(old.control.shards[shard].workers) {
		if c.onWorker(id) > 0 {
			lost = string(id)
		}
	}
	if outage > 0 {
		c.store.Down()
		c.pass(outage)
	}
	c.kill(old.id)
	for _, daemon := range []string{"d1", "d2", "d3"} {
		c.cut[[2]string{daemon, lost}] = true
	}
	c.store.Up()
	c.until("all tasks run elsewhere", 3*time.Minute, func() bool {
		for _, task := range c.tasks("job") {
			if task.State != ledger.Running || string(task.Worker) == lost {
				return false
			}
		}
		return c.owner(shard) != nil && c.owner(shard) != old
	})
	c.pass(time.Minute)
	c.audit()
}
