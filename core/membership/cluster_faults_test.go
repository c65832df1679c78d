package membership_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/membership"
)

var seed = flag.Uint64("seed", 1, "seed of the virtual network")

// sizes returns the cluster sizes to test. The largest takes minutes under the
// race detector, which finds no more in it than in the others, because one
// goroutine drives a cluster of any size.
func sizes() []int {
	if testing.Short() {
		return []int{3, 8, 50}
	}
	return []int{3, 8, 50, 200}
}

// A daemon whose VM fails without notice must be removed from all views, or it
// would keep its share of slots.
func TestDeadDaemonIsRemovedEverywhere(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 3, *seed)
			started := c.settle(t)
			c.net.Run(20 * time.Second)
			dead := c.nodes[size/2].id
			c.net.Kill(c.nodes[size/2].name)
			first := c.untilAny(t, func(n *node) bool { return n.state(dead) >= membership.Suspect })
			everyone := c.await(t, time.Minute, "suspect everywhere", func(n *node) bool {
				return n.state(dead) >= membership.Suspect
			})
			removed := c.await(t, 2*time.Minute, "removed everywhere", func(n *node) bool {
				return n.state(dead) == membership.Dead
			})
			t.Logf("%d daemons: met after %s, first suspicion %s, suspect everywhere %s, removed everywhere %s",
				size, started, first, first+everyone, first+everyone+removed)
			if got := c.removals(); got != size-1 {
				t.Errorf("%d removals, want %d of the dead daemon alone", got, size-1)
			}
		})
	}
}

func (c *cluster) untilAny(t *testing.T, ok func(*node) bool) time.Duration {
	t.Helper()
	begin := c.net.Now()
	if !c.net.RunUntil(time.Minute, func() bool {
		for _, n := range c.up() {
			if ok(n) {
				return true
			}
		}
		return false
	}) {
		t.Fatal("no daemon noticed")
	}
	return c.net.Now().Sub(begin)
}

// The loss of 5% of all messages for five minutes must remove no running
// daemon.
func TestLossRemovesNobody(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 3, *seed)
			c.settle(t)
			c.net.Loss = 0.05
			c.net.Run(5 * time.Minute)
			suspected := 0
			for _, n := range c.nodes {
				suspected += len(n.suspected)
			}
			t.Logf("%d daemons, 5%% loss, 300 s: %d removals, %d (daemon, suspect) pairs", size, c.removals(), suspected)
			if got := c.removals(); got != 0 {
				t.Errorf("%d removals of daemons that run", got)
			}
		})
	}
}

// A daemon that pauses for 10 s, so that its peers' exchanges time out, must be
// contacted again before its suspicion expires and must not be removed.
func TestPauseRemovesNobody(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 3, *seed)
			c.settle(t)
			c.net.Run(10 * time.Second)
			paused := c.nodes[1]
			c.net.Pause(paused.name, 10*time.Second)
			c.net.Run(10*time.Second - time.Nanosecond)
			suspecting := 0
			for _, n := range c.nodes {
				if n.state(paused.id) == membership.Suspect {
					suspecting++
				}
			}
			if suspecting == 0 {
				t.Error("nobody suspected the paused daemon")
			}
			back := c.settle(t)
			c.net.Run(time.Minute)
			t.Logf("%d daemons: %d suspect it at the end of the pause, alive everywhere again %s after", size, suspecting, back)
			if got := c.removals(); got != 0 {
				t.Errorf("%d removals", got)
			}
			if paused.machine.Stats().Interruptions == 0 {
				t.Error("the paused daemon did not detect its interruption")
			}
		})
	}
}

// A daemon whose own link fails for a minute must not conclude that all other
// daemons are dead.
func TestOwnLinkCutRemovesNobodyThere(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 3, *seed)
			c.settle(t)
			alone := c.nodes[0]
			c.net.Cut = func(a, b string) bool { return a == alone.name || b == alone.name }
			c.net.Run(time.Minute)
			if !alone.machine.View().Isolated {
				t.Error("the cut daemon does not count itself as isolated")
			}
			if got := len(alone.removed); got != 0 {
				t.Errorf("the cut daemon removed %d others", got)
			}
			c.net.Cut = func(a, b string) bool { return false }
			back := c.settle(t)
			t.Logf("%d daemons: all alive everywhere %s after the link is back", size, back)
			if back > 5*time.Second {
				t.Errorf("%s until all are alive everywhere", back)
			}
			for _, n := range c.nodes[1:] {
				if len(n.removed) > 1 {
					t.Errorf("%s removed %d", n.name, len(n.removed))
				}
			}
		})
	}
}

// When one of three zones is partitioned for two minutes, only the larger side
// may remove the other, and both sides must find each other again afterwards.
func TestZoneCutAndBack(t *testing.T) {
	for _, size := range []int{9, 51, 201} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 3, *seed)
			c.settle(t)
			inside := make(map[string]bool)
			for i, n := range c.nodes {
				inside[n.name] = c.zone(i) == "z0"
			}
			c.net.Cut = func(a, b string) bool { return inside[a] != inside[b] }
			c.net.Run(2 * time.Minute)
			held, removed := 0, 0
			for _, n := range c.nodes {
				if !inside[n.name] {
					removed += len(n.removed)
					continue
				}
				held += len(n.removed)
			}
			if held != 0 {
				t.Errorf("the zone cut off removed %d outside", held)
			}
			t.Logf("%d daemons: the two zones removed %d of %d (daemon, member) pairs", size, removed, size/3*2*size/3)
			if want := size / 3 * 2 * size / 3; removed != want {
				t.Errorf("the majority removed %d, want %d", removed, want)
			}
			c.net.Cut = func(a, b string) bool { return false }
			back := c.settle(t)
			t.Logf("%d daemons: all alive everywhere %s after the zone is back", size, back)
		})
	}
}

// When the routes between one of three zones and the others fail one after the
// other over 30 s, the smaller side must remove no members. While less than
// half of them are suspected, the first suspicions would expire there.
func TestGradualCutOfAZone(t *testing.T) {
	for _, size := range []int{51, 201} {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		index := make(map[string]int)
		inside := make(map[string]bool)
		for i, n := range c.nodes {
			index[n.name], inside[n.name] = i, c.zone(i) == "z0"
		}
		begin := c.net.Now()
		c.net.Cut = func(a, b string) bool {
			outer := a
			if inside[a] {
				outer = b
			}
			lost := int(c.net.Now().Sub(begin) * time.Duration(size) / (30 * time.Second))
			return inside[a] != inside[b] && index[outer] < lost
		}
		c.net.Run(2 * time.Minute)
		for _, n := range c.nodes {
			if inside[n.name] && len(n.removed) > 0 {
				t.Errorf("%d daemons: %s in the smaller zone removed %d", size, n.id, len(n.removed))
			}
		}
		c.net.Cut = func(a, b string) bool { return false }
		c.settle(t)
	}
}

// In a partition into equal halves neither side has a majority, so neither may
// remove the other and continue alone.
func TestEvenSplitRemovesNobody(t *testing.T) {
	for _, size := range []int{2, 8, 80} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size, 2, *seed)
			c.settle(t)
			side := make(map[string]bool)
			for i, n := range c.nodes {
				side[n.name] = c.zone(i) == "z0"
			}
			c.net.Cut = func(a, b string) bool { return side[a] != side[b] }
			c.net.Run(2 * time.Minute)
			if got := c.removals(); got != 0 {
				t.Errorf("%d removals", got)
			}
			c.net.Cut = func(a, b string) bool { return false }
			c.settle(t)
		})
	}
}
