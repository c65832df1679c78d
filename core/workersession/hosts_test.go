package workersession_test

import (
	"fmt"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The hosts of a world are the daemons that own its shard in turn. A majority of them
// is three.
const (
	worldHosts      = 5
	exchangeTimeout = 300 * time.Millisecond
	worldPeriod     = 200 * time.Millisecond
)

func memberOptions() membership.Options {
	return membership.Options{
		Period:           worldPeriod,
		ExchangeTimeout:  exchangeTimeout,
		StoreSilentAfter: 400 * time.Millisecond,
		OutageGrace:      worldGrace,
		// The majorities of the hosts must be of the same set of members, so a
		// suspected host is not declared dead.
		SuspicionTimeout: time.Hour,
	}
}

// host is one daemon: its view of the members, and its own connection to the store.
type host struct {
	index       int
	machine     *membership.Machine
	pausedUntil time.Time
	cutOff      time.Time // until when it does not reach the store
	answered    time.Time // when the store last answered it
	side        int       // hosts on different sides do not reach each other
	awaits      bool
}

// hostAction is an action that is due at a given time at a host, such as the receipt of a
// message.
type hostAction struct {
	at time.Time
	to *host
	do func()
}

func (w *world) addHosts() {
	var list []model.VM
	for i := range worldHosts {
		list = append(list, model.VM{
			ID: model.WorkerID(fmt.Sprintf("d%d", i)), Role: model.RoleEntry, Address: fmt.Sprint(i),
		})
	}
	for i := range worldHosts {
		h := &host{index: i, answered: w.now, machine: membership.New(membership.Member{
			ID: model.DaemonID(list[i].ID), Address: list[i].Address, Started: epochTime,
		}, memberOptions())}
		w.hosts = append(w.hosts, h)
		w.stepHost(h, membership.VMsListed{VMs: list})
	}
}

func (w *world) paused(h *host) bool   { return w.now.Before(h.pausedUntil) }
func (w *world) hasStore(h *host) bool { return !w.paused(h) && !w.now.Before(h.cutOff) }

// driveHosts lets each host check the store and exchange with the others.
func (w *world) driveHosts() {
	w.runDueActions()
	for _, h := range w.hosts {
		if w.paused(h) {
			continue
		}
		if w.hasStore(h) {
			h.answered = w.now
		}
		w.stepHost(h, membership.LocalState{StoreSilent: w.now.Sub(h.answered), AwaitsMajority: h.awaits})
		w.stepHost(h, membership.Tick{Random: w.rnd.Uint64()})
	}
}

func (w *world) stepHost(h *host, ev membership.Event) {
	for _, c := range h.machine.Step(w.now, ev) {
		if ask, ok := c.(membership.ExchangeWith); ok {
			w.exchange(h, ask)
		}
	}
}

// exchange delivers a request and its response, or ends in a timeout.
func (w *world) exchange(from *host, ask membership.ExchangeWith) {
	to := w.hosts[int(ask.Address[0]-'0')]
	self, records := from.machine.OutgoingTo(ask.Peer)
	over := false
	end := func(resp *peerv1.ExchangeResponse, err error) {
		if !over {
			over = true
			w.stepHost(from, membership.ExchangeDone{Peer: ask.Peer, Resp: resp, Err: err})
		}
	}
	w.scheduleAction(ask.Timeout, from, func() { end(nil, &port.PeerError{Kind: port.PeerUnreachable}) })
	if !w.arrives(from, to) {
		return
	}
	w.scheduleAction(w.hostDelay(), to, func() {
		w.stepHost(to, membership.Received{From: self, Members: records})
		self, records := to.machine.OutgoingTo(from.machine.View().Self.ID)
		if w.arrives(to, from) {
			resp := &peerv1.ExchangeResponse{Sender: self, Members: records}
			w.scheduleAction(w.hostDelay(), from, func() { end(resp, nil) })
		}
	})
}

func (w *world) arrives(a, b *host) bool {
	return a.side == b.side && !(w.noisy() && w.rnd.Float64() < 0.1)
}

func (w *world) hostDelay() time.Duration {
	if w.noisy() && w.rnd.Float64() < 0.2 {
		return time.Duration(w.rnd.Int63n(int64(exchangeTimeout)))
	}
	return 0
}

func (w *world) scheduleAction(after time.Duration, to *host, do func()) {
	w.hostActions = append(w.hostActions, hostAction{w.now.Add(after), to, do})
}

// runDueActions executes the actions that are due. Those of a paused host are executed
// when it resumes.
func (w *world) runDueActions() {
	for i := 0; i < len(w.hostActions); i++ {
		if m := w.hostActions[i]; !m.at.After(w.now) && !w.paused(m.to) {
			w.hostActions = append(w.hostActions[:i], w.hostActions[i+1:]...)
			i--
			m.do()
		}
	}
}

// nextHost returns the next host that can acquire the shard, or nil.
func (w *world) nextHost() *host {
	first := 0
	if w.current != nil {
		first = w.current.host.index + 1
	}
	for i := range worldHosts {
		if h := w.hosts[(first+i)%worldHosts]; w.hasStore(h) {
			return h
		}
	}
	return nil
}

// cutOffStore makes the store unreachable for the owner's host and n others, starting
// with target.
func (w *world) cutOffStore(target, n int, d time.Duration) {
	until := w.now.Add(d)
	w.current.host.cutOff = until
	for i := range worldHosts {
		h := w.hosts[(target+i)%worldHosts]
		if n > 0 && h != w.current.host {
			h.cutOff = until
			n--
		}
	}
}

// split separates the hosts that do not reach the store from the others.
func (w *world) split(d time.Duration) {
	for _, h := range w.hosts {
		if !w.hasStore(h) {
			h.side = 1
		}
	}
	w.joinAt = w.now.Add(d)
}

func (w *world) join() {
	if w.now.Before(w.joinAt) {
		return
	}
	for _, h := range w.hosts {
		h.side = 0
	}
}
