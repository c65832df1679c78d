package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
)

// An empty list, or a stale one that names VMs that are gone and lacks most
// that run, must not remove members that respond.
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

// The only survivor of three daemons has no majority and must wait. Once the
// platform's lagging list no longer names the other two, it must remove them.
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
	// A list that lost most VMs at once is trusted only after a while.
	c.net.Run(time.Minute)
	if got := len(survivor.removed); got != 0 {
		t.Errorf("%d removed by a list that lost most VMs just now", got)
	}
	took := c.await(t, 4*time.Minute, "both removed", func(n *node) bool { return len(n.removed) == 2 })
	t.Logf("removed %s after the list dropped both", took+time.Minute)
}

// A VM that fails and is replaced under a new name and the same address must be
// removed at once. Otherwise it would keep its share of slots and be contacted
// forever at an address where its replacement responds.
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

// A daemon whose VM restarts with a clock one hour behind has an incarnation
// below the known one. It must raise it, or its peers would ignore it.
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

// A daemon that drains must get no shards from then on, and once it has stopped
// its slots must be released without waiting for a suspicion. Both depend on
// its announcements being relayed and accepted.
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
			t.Errorf("%d daemons: its own announcement had no effect for %s", size, gone)
		}
	}
}

// A daemon must not renew workers' leases on old responses. A store that is
// silent for one daemon only is not a majority, and neither is a majority whose
// responses are older than OutageGrace because the daemon has been cut off
// since.
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
			t.Errorf("%d daemons: a majority although the store is silent for one daemon only", size)
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
			t.Errorf("%d daemons: a daemon cut off for 31 s still counts old responses", size)
		}
	}
}

// Control traffic must stay within the 4 KB/s that a daemon may send, however
// large the cluster is. It would exceed that if messages contained all members.
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
