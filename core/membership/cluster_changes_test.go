package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
)

// Symptom: all members vanish from the views.
// Sequence: the platform's list becomes empty, then shows the cluster of long
// ago, with VMs that are gone and without most that run. Cause: the list is
// believed more than the members themselves.
func TestEmptyOrOldListRemovesNobody(t *testing.T) {
	c := newCluster(8, 3, *seed)
	c.settle(t)
	now := c.list
	c.list = nil
	c.net.Run(3 * time.Minute)
	c.list = now[:2]
	for i := range 6 {
		c.list = append(c.list, model.VM{
			ID: model.WorkerID(fmt.Sprintf("old%d", i)), Role: model.RoleEntry, Address: "a007",
		})
	}
	c.net.Run(5 * time.Minute)
	if got := c.removals(); got != 0 {
		t.Errorf("%d removals", got)
	}
	for _, n := range c.nodes {
		if n.alive() != 8 || len(n.machine.View().Known()) != 8 {
			t.Errorf("%s: %d alive, known %v", n.id, n.alive(), n.machine.View().Known())
		}
	}
}

// Symptom: the only survivor of a small cluster waits for ever for the others.
// Sequence: two of three VMs fail at once; the survivor sees no majority, until
// the platform's lagging list no longer names them. Cause: a daemon without a
// majority removes nobody on its own word.
func TestDelistedMembersAreRemovedWithoutAMajority(t *testing.T) {
	c := newCluster(3, 3, *seed)
	c.settle(t)
	c.net.Kill(c.nodes[1].name)
	c.net.Kill(c.nodes[2].name)
	all := c.list
	c.list = nil
	c.net.Run(5 * time.Minute)
	c.list = all
	survivor := c.nodes[0]
	if got := len(survivor.removed); got != 0 {
		t.Errorf("%d removed without a majority", got)
	}
	if got := survivor.machine.View().Candidates(); !slices.Equal(got, []model.DaemonID{"d000"}) {
		t.Errorf("candidates %v", got)
	}
	c.list = c.list[:1]
	// A list that lost most VMs at once is believed after a while only.
	c.net.Run(time.Minute)
	if got := len(survivor.removed); got != 0 {
		t.Errorf("%d removed by a list that lost most VMs just now", got)
	}
	took := c.await(t, 4*time.Minute, "both removed", func(n *node) bool { return len(n.removed) == 2 })
	t.Logf("removed %s after the list dropped both", took+time.Minute)
}

// Symptom: a VM that was replaced is asked for ever at an address where its
// successor answers, and keeps its share of slots.
// Sequence: a VM fails, its replacement boots under a new name and the same
// address. Cause: members are known by name, addresses are reused.
func TestReplacementTakesOverTheAddress(t *testing.T) {
	for _, size := range []int{3, 8, 50} {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		c.net.Run(20 * time.Second)
		c.net.Kill(c.nodes[1].name)
		c.start("new", 1, c.net.Now())
		took := c.await(t, time.Minute, "replaced", func(n *node) bool {
			return n.state("new") == membership.Alive && n.id == "new" || n.state("d001") == membership.Dead
		})
		t.Logf("%d daemons: replaced everywhere after %s", size, took)
		if took > 10*time.Second {
			t.Errorf("%d daemons: %s, as long as a suspicion", size, took)
		}
		c.list[1].ID = "new"
		c.net.Run(time.Minute)
		if !c.all(func(n *node) bool { return n.alive() == size }) {
			t.Errorf("%d daemons: not all see the replacement", size)
		}
	}
}

// Symptom: a rebooted daemon is ignored by its peers.
// Sequence: its VM restarts with a clock an hour behind, so that its first
// incarnation is below the known one. Cause: lower incarnations are refused.
func TestRebootWithClockBehind(t *testing.T) {
	c := newCluster(8, 3, *seed)
	c.settle(t)
	c.net.Kill(c.nodes[3].name)
	c.net.Run(5 * time.Second)
	again := c.start("d003", 3, c.net.Now().Add(-time.Hour))
	c.settle(t)
	for _, n := range c.up() {
		m, _ := n.machine.View().Member("d003")
		if m.Incarnation != again.machine.View().Self.Incarnation {
			t.Errorf("%s holds incarnation %d", n.id, m.Incarnation)
		}
	}
	if c.net.Run(time.Minute); c.removals() != 0 {
		t.Error("the rebooted daemon was removed")
	}
}

// Symptom: a daemon that stops as planned gets shards while it leaves, or its
// slots wait for a suspicion after it is gone.
// Sequence: drain, some seconds of finishing requests, stop. Cause: its word is
// not passed on, or not believed.
func TestPlannedStop(t *testing.T) {
	for _, size := range sizes() {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		c.net.Run(20 * time.Second)
		leaver := c.nodes[1]
		leaver.step(membership.Drain{})
		announced := c.await(t, time.Minute, "leaving everywhere", func(n *node) bool {
			v := n.machine.View()
			return !slices.Contains(v.Candidates(), "d001") && slices.Contains(v.Active(), "d001")
		})
		c.net.Run(10 * time.Second)
		leaver.step(membership.Stop{})
		c.net.After(leaver.name, time.Second, func() { c.net.Kill(leaver.name) })
		c.net.Run(2 * time.Second)
		gone := c.await(t, time.Minute, "gone everywhere", func(n *node) bool { return n.state("d001") == membership.Dead })
		gone += 2 * time.Second
		t.Logf("%d daemons: leaving known everywhere after %s, its end after %s", size, announced, gone)
		if gone > 6*time.Second {
			t.Errorf("%d daemons: its own word was not enough for %s", size, gone)
		}
	}
}

// Symptom: a daemon goes on renewing workers' leases after the store is back
// for all others. Sequence: the store is silent for all; then for one daemon
// alone, which is cut off as well. Cause: it goes by what peers said long ago.
func TestStoreSilentMajority(t *testing.T) {
	for _, size := range []int{3, 8, 50, 300} {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		silent := func(d time.Duration) {
			for _, n := range c.nodes {
				n.step(membership.LocalState{StoreSilent: d})
			}
		}
		one := c.nodes[0]
		one.step(membership.LocalState{StoreSilent: time.Minute})
		c.net.Run(40 * time.Second)
		if one.machine.StoreSilentMajority(c.net.Now()) {
			t.Errorf("%d daemons: a majority for the silence of one", size)
		}
		silent(10 * time.Second)
		for _, n := range c.nodes {
			n.bytes = 0
		}
		took := c.await(t, time.Minute, "majority everywhere", func(n *node) bool {
			return n.machine.StoreSilentMajority(c.net.Now())
		})
		c.net.Run(30 * time.Second)
		if !c.all(func(n *node) bool { return n.machine.StoreSilentMajority(c.net.Now()) }) {
			t.Errorf("%d daemons: the majority did not last", size)
		}
		sent := 0
		for _, n := range c.nodes {
			sent += n.bytes
		}
		t.Logf("%d daemons: majority known everywhere after %s, %.0f B/s a daemon sent", size, took,
			float64(sent)/float64(size)/(took+30*time.Second).Seconds())
		c.net.Cut = func(a, b string) bool { return a == one.name || b == one.name }
		c.net.Run(31 * time.Second)
		if one.machine.StoreSilentMajority(c.net.Now()) {
			t.Errorf("%d daemons: a daemon cut off for 31 s still counts on old answers", size)
		}
	}
}

// Symptom: control traffic outgrows the 4 KB a second that a daemon may spend.
// Sequence: the cluster grows. Cause: messages that carry all members.
func TestIdleTraffic(t *testing.T) {
	const seconds = 60
	for _, size := range append(sizes(), 300) {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		c.net.Run(time.Minute)
		for _, n := range c.nodes {
			n.bytes, n.sent = 0, 0
		}
		c.net.Run(seconds * time.Second)
		bytes, sent, most := 0, 0, 0
		for _, n := range c.nodes {
			bytes += n.bytes
			sent += n.sent
			most = max(most, n.bytes)
		}
		t.Logf("%d daemons: %.0f B/s and %.2f messages/s sent a daemon, %d B/s the busiest",
			size, float64(bytes)/float64(size)/seconds, float64(sent)/float64(size)/seconds, most/seconds)
		if most/seconds > 1024 {
			t.Errorf("%d daemons: %d B/s", size, most/seconds)
		}
	}
}
