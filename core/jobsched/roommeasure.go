package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/model"
)

// measureRoom updates what the classes use and the capacity that they share.
func (m *Machine) measureRoom() {
	if !m.options.Policies.ShareRoom {
		return
	}
	clear(m.shares.services)
	for _, c := range m.shares.ordered {
		c.used = model.Resources{}
	}
	for _, w := range m.workers.All() {
		if !w.listed || w.ended {
			continue
		}
		r := m.shares.service(w.entry.Service)
		r.listed = r.listed.Add(w.entry.Capacity)
		r.listedUsed = r.listedUsed.Add(w.committed)
		if !w.isUsable(m.now) || m.isCordoned(w) {
			continue
		}
		r.usable = r.usable.Add(w.entry.Capacity)
		r.used = r.used.Add(w.committed)
		for _, u := range w.classUses {
			u.class.used = u.class.used.Add(u.size)
		}
		for _, reserved := range w.reserved {
			r.reserved = r.reserved.Add(reserved.size)
			if c := m.roomClass(reserved.task.step); c != nil {
				c.used = c.used.Add(reserved.size)
			}
		}
	}
}

// countStartedRoom counts an attempt that was added after the room was measured.
func (m *Machine) countStartedRoom(a *attempt) {
	if a.class == nil {
		return
	}
	a.class.used = a.class.used.Add(a.size)
	r := m.shares.service(a.worker.entry.Service)
	r.used = r.used.Add(a.size)
	r.listedUsed = r.listedUsed.Add(a.size)
}

// allowance returns how long the occurrence may take after it is due.
func (m *Machine) allowance(o *occurrence) time.Duration {
	return time.Duration(m.allowanceMs(o)) * time.Millisecond
}

// measureWaiting updates what waits, and the reserves of short work. What is too late to
// be of use is not waited for.
func (m *Machine) measureWaiting() {
	for _, c := range m.shares.ordered {
		c.waiting = model.Resources{}
	}
	waits := make(map[*roomClass]bool)
	for s := range m.pending.All() {
		c := m.roomClass(s)
		if c == nil || !s.ready() || s.job().state.Final() || m.lateness(s.occurrence) == joborder.TooLate {
			continue
		}
		if !waits[c] {
			waits[c], c.allowance = true, 0
		}
		c.allowance = max(c.allowance, m.allowance(s.occurrence))
		for _, t := range s.tasks {
			if t.idle() && !m.isReserved(t) {
				c.waiting = c.waiting.Add(s.spec.Committed())
			}
		}
	}
	for _, c := range m.shares.ordered {
		if !c.key.longRunning {
			c.reserve.Observe(m.now, c.wanted(), c.allowance)
		}
	}
}
