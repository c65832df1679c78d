package membership_test

import (
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/membership/simnet"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

func peer(id string, incarnation uint64, state peerv1.MemberState) *peerv1.Member {
	return &peerv1.Member{Id: id, Incarnation: incarnation, State: state, Address: "at-" + id, StartedUnixMillis: 1}
}

const (
	alive   = peerv1.MemberState_MEMBER_STATE_ALIVE
	suspect = peerv1.MemberState_MEMBER_STATE_SUSPECT
)

// single returns a machine that knows the peers a, b and c.
func single() *membership.Machine {
	m := membership.New(membership.Member{ID: "self", Address: "at-self", Started: simnet.Start}, membership.Options{})
	for _, id := range []string{"a", "b", "c"} {
		m.Step(simnet.Start, membership.Received{From: peer(id, 100, alive)})
	}
	return m
}

func stateOf(m *membership.Machine, id model.DaemonID) membership.State {
	got, _ := m.View().Member(id)
	return got.State
}

// A delayed message from a member's earlier boot, which arrives after one from
// the current boot, must not restore the member's old address or add other
// members.
func TestEarlierBootIsRefused(t *testing.T) {
	m := single()
	late := peer("a", 99, alive)
	late.Address = "elsewhere"
	m.Step(simnet.Start, membership.Received{From: late, Members: []*peerv1.Member{peer("ghost", 1, alive)}})
	got, _ := m.View().Member("a")
	if got.Address != "at-a" || got.Incarnation != 100 {
		t.Errorf("%+v", got)
	}
	if _, known := m.View().Member("ghost"); known {
		t.Error("records in a message from an earlier boot were merged")
	}
	_, records := m.OutgoingTo("a")
	if len(records) == 0 || records[0].GetId() != "a" || records[0].GetIncarnation() != 100 {
		t.Errorf("the response does not contain the sender's known incarnation: %v", records)
	}
}

// A member that resumes after a pause must not be removed for failures from
// before its return, when its suspicion expires before this daemon contacts it
// again.
func TestRemovalNeedsAFailureAfterTheTimeout(t *testing.T) {
	m := single()
	now := simnet.Start
	responding := true
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for _, cmd := range m.Step(now, membership.Tick{Random: 1}) {
			ask, ok := cmd.(membership.ExchangeWith)
			switch {
			case !ok:
			case ask.Peer != "a":
				records := []*peerv1.Member{peer("a", 100, suspect)}
				m.Step(now, membership.ExchangeDone{Peer: ask.Peer, Resp: &peerv1.ExchangeResponse{
					Sender: peer(string(ask.Peer), 100, alive), Members: records,
				}})
			case now.Sub(simnet.Start) < 12*time.Second:
				m.Step(now, membership.ExchangeDone{Peer: "a", Err: &port.PeerError{Kind: port.PeerUnreachable}})
			default:
				// The last exchange stays in flight: the member's response has
				// not arrived when the suspicion expires.
				responding = false
			}
		}
		if stateOf(m, "a") == membership.Dead {
			t.Fatalf("removed after %s", now.Sub(simnet.Start))
		}
	}
	if responding || stateOf(m, "a") != membership.Suspect {
		t.Errorf("the member was not contacted again, state %s", stateOf(m, "a"))
	}
}

// A member that only this daemon cannot reach must not be removed, however long
// its exchanges fail, while the other members report nothing against it.
func TestRemovalNeedsConfirmation(t *testing.T) {
	m := single()
	now := simnet.Start
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for _, cmd := range m.Step(now, membership.Tick{Random: 1}) {
			ask, ok := cmd.(membership.ExchangeWith)
			switch {
			case !ok:
			case ask.Peer == "a":
				m.Step(now, membership.ExchangeDone{Peer: "a", Err: &port.PeerError{Kind: port.PeerUnreachable}})
			default:
				m.Step(now, membership.ExchangeDone{Peer: ask.Peer, Resp: &peerv1.ExchangeResponse{
					Sender: peer(string(ask.Peer), 100, alive),
				}})
			}
		}
	}
	if got := stateOf(m, "a"); got != membership.Suspect {
		t.Errorf("state %s", got)
	}
	m.Step(now, membership.Received{From: peer("b", 100, alive), Members: []*peerv1.Member{peer("a", 100, suspect)}})
	m.Step(now.Add(2*time.Second), membership.Tick{Random: 1})
	if got := stateOf(m, "a"); got != membership.Dead {
		t.Errorf("state %s after another member's report", got)
	}
}

// A removed member whose VM is still listed must be contacted. Otherwise two
// sides of a partition that removed each other would never meet again.
func TestDeadButListedIsAsked(t *testing.T) {
	for _, listed := range []bool{true, false} {
		m := single()
		m.Step(simnet.Start, membership.Received{From: peer("a", 101, peerv1.MemberState_MEMBER_STATE_DEAD)})
		vms := []model.VM{{ID: "b", Role: model.RoleEntry, Address: "at-b"}}
		if listed {
			vms = append(vms, model.VM{ID: "a", Role: model.RoleEntry, Address: "at-a"})
		}
		m.Step(simnet.Start, membership.VMsListed{VMs: vms})
		contacted := false
		for i := range 100 {
			for _, cmd := range m.Step(simnet.Start.Add(time.Duration(i)*100*time.Millisecond), membership.Tick{Random: 1}) {
				ask, ok := cmd.(membership.ExchangeWith)
				contacted = contacted || ok && ask.Peer == "a"
			}
		}
		if contacted != listed || stateOf(m, "a") != membership.Dead {
			t.Errorf("listed %v: contacted %v, state %s", listed, contacted, stateOf(m, "a"))
		}
	}
}

// A path between two daemons that fails for five minutes must remove neither of
// them while all others reach both.
func TestBrokenPathBetweenTwoRemovesNobody(t *testing.T) {
	for _, size := range sizes() {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		one, two := c.nodes[0].name, c.nodes[1].name
		c.net.Cut = func(a, b string) bool { return a == one && b == two || a == two && b == one }
		c.net.Run(5 * time.Minute)
		if got := c.removals(); got != 0 {
			t.Errorf("%d daemons: %d removals", size, got)
		}
	}
}

// A dead daemon must be forgotten after DeadRetention. It would be kept forever
// if each daemon that boots later learned of it from an earlier one and counted
// it as newly dead.
func TestDeadAreForgotten(t *testing.T) {
	c := newClusterWith(8, 3, *seed, membership.Options{DeadRetention: time.Minute})
	c.settle(t)
	c.net.Kill(c.nodes[7].name)
	c.list = c.list[:7]
	c.await(t, time.Minute, "removed", func(n *node) bool { return n.state("d007") == membership.Dead })
	heard := 0
	for i := range 5 {
		c.net.Run(45 * time.Second)
		n := c.start(fmt.Sprintf("e%03d", i), 100+i, c.net.Now())
		c.net.Run(5 * time.Second)
		if _, ok := n.removed["d007"]; ok {
			heard++
		}
	}
	if heard == 0 {
		t.Error("no later daemon learned of the dead one while it was retained")
	}
	for _, n := range c.up() {
		if _, known := n.machine.View().Member("d007"); known {
			t.Errorf("%s still knows the dead daemon", n.id)
		}
	}
}

// BenchmarkDaemonSecond measures one second of one daemon in a cluster,
// including the cost of the virtual network.
func BenchmarkDaemonSecond(b *testing.B) {
	for _, size := range []int{8, 50, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newCluster(size, 3, 1)
			c.net.Run(time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.net.Run(time.Second / time.Duration(size))
			}
		})
	}
}
