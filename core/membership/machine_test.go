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

// single returns a machine that met the peers a, b and c.
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

// Symptom: a member's address goes back to one that it had before.
// Sequence: a message of its earlier boot arrives after one of the present.
// Cause: messages are taken in the order they arrive.
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
		t.Error("an earlier boot's word about others was taken")
	}
	_, records := m.OutgoingTo("a")
	if len(records) == 0 || records[0].GetId() != "a" || records[0].GetIncarnation() != 100 {
		t.Errorf("the sender is not told its known incarnation: %v", records)
	}
}

// Symptom: a member that was paused is removed though it is back.
// Sequence: its suspicion's time runs out before this daemon asks it again.
// Cause: the removal goes by failures from before its return.
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
				// The last exchange stays without an end: the member's answer is
				// still on its way when the suspicion's time is over.
				responding = false
			}
		}
		if stateOf(m, "a") == membership.Dead {
			t.Fatalf("removed after %s", now.Sub(simnet.Start))
		}
	}
	if responding || stateOf(m, "a") != membership.Suspect {
		t.Errorf("the member was not asked again, state %s", stateOf(m, "a"))
	}
}

// Symptom: a member that only this daemon cannot reach is removed.
// Sequence: exchanges with it fail for a minute; the others, that answer, say
// nothing against it. Cause: a long suspicion is taken for a proof.
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

// Symptom: two sides that removed each other stay apart for ever.
// Sequence: a member is removed, its VM is listed as live. Cause: nobody starts
// a conversation with a dead member.
func TestDeadButListedIsAsked(t *testing.T) {
	for _, listed := range []bool{true, false} {
		m := single()
		m.Step(simnet.Start, membership.Received{From: peer("a", 101, peerv1.MemberState_MEMBER_STATE_DEAD)})
		vms := []model.VM{{ID: "b", Role: model.RoleEntry, Address: "at-b"}}
		if listed {
			vms = append(vms, model.VM{ID: "a", Role: model.RoleEntry, Address: "at-a"})
		}
		m.Step(simnet.Start, membership.VMsListed{VMs: vms})
		asked := false
		for i := range 100 {
			for _, cmd := range m.Step(simnet.Start.Add(time.Duration(i)*100*time.Millisecond), membership.Tick{Random: 1}) {
				ask, ok := cmd.(membership.ExchangeWith)
				asked = asked || ok && ask.Peer == "a"
			}
		}
		if asked != listed || stateOf(m, "a") != membership.Dead {
			t.Errorf("listed %v: asked %v, state %s", listed, asked, stateOf(m, "a"))
		}
	}
}

// Symptom: a healthy daemon loses its share because one other cannot reach it.
// Sequence: the path between two daemons is broken for five minutes; all others
// reach both. Cause: one daemon's experience is taken for the truth.
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

// Symptom: the list of known daemons grows for ever.
// Sequence: a daemon dies, and each daemon that boots later hears of it from
// the one that booted before. Cause: hearing of the dead makes them new again.
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
		t.Error("no later daemon heard of the dead one while it was retained")
	}
	for _, n := range c.up() {
		if _, known := n.machine.View().Member("d007"); known {
			t.Errorf("%s still knows the dead daemon", n.id)
		}
	}
}

// BenchmarkDaemonSecond is one second of one daemon among others, with what
// the virtual network costs.
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
