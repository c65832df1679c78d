package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// applyList takes in the platform's list. It adds VMs to ask and notes which
// are no longer listed; by itself it removes only VMs whose daemon was never
// heard of.
func (m *Machine) applyList(ev VMsListed) {
	if ev.Err != nil {
		m.stats.ListErrors++
		return
	}
	entries := entriesOf(ev.VMs)
	for _, r := range m.sorted {
		r.inList = false
	}
	byAddress := m.addresses()
	for _, vm := range entries {
		m.applyVM(vm, byAddress)
	}
	if !m.isListTrusted(len(entries)) {
		m.stats.ListsRejected++
		return
	}
	m.listedAt = m.now
	m.delist()
}

// entriesOf returns the listed entry VMs by ID.
func entriesOf(vms []model.VM) []model.VM {
	var entries []model.VM
	for _, vm := range vms {
		if vm.Role == model.RoleEntry {
			entries = append(entries, vm)
		}
	}
	slices.SortFunc(entries, func(a, b model.VM) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// isListTrusted is whether the list just taken may count against members it does
// not name. An empty one never does. One that lacks at least half of the VMs
// listed before is more likely old or broken than the loss of them all; it is
// believed only after the lists stayed so for ListFresh.
func (m *Machine) isListTrusted(entries int) bool {
	if entries == 0 {
		return false
	}
	before, missing := 0, 0
	for _, r := range m.sorted {
		if !r.listed {
			continue
		}
		before++
		if !r.inList {
			missing++
		}
	}
	if missing <= 1 || 2*missing < before {
		m.untrustedSince = time.Time{}
		return true
	}
	if m.untrustedSince.IsZero() {
		m.untrustedSince = m.now
	}
	return m.now.Sub(m.untrustedSince) > m.o.ListMaxAge
}

// applyVM notes one listed VM. A VM is matched with a known member by its ID,
// or else by its address: a replacement that has the old VM's address is found
// there and displaces it.
func (m *Machine) applyVM(vm model.VM, byAddress map[string]model.DaemonID) {
	id := model.DaemonID(vm.ID)
	if id == m.self.ID || vm.Address == m.self.Address {
		return
	}
	r := m.members[id]
	if r == nil {
		r = m.members[byAddress[vm.Address]]
	}
	if r == nil {
		r = m.add(id)
		r.Zone = vm.Zone
		m.changed = true
	}
	r.listed, r.delisted, r.inList = true, false, true
	if r.State == Listed || r.State == Dead {
		r.Address = vm.Address
	}
	leaving := vm.State == model.VMLeaving
	if r.VMLeaving != leaving {
		r.VMLeaving = leaving
		m.changed = true
	}
}

// addresses maps the addresses of members that are not dead to them.
func (m *Machine) addresses() map[string]model.DaemonID {
	out := make(map[string]model.DaemonID, len(m.sorted))
	for _, r := range m.sorted {
		if r.State != Dead {
			out[r.Address] = r.ID
		}
	}
	return out
}

// delist notes the members that are no longer listed and drops those never
// heard of.
func (m *Machine) delist() {
	for _, r := range slices.Clone(m.sorted) {
		if r.inList || !r.listed {
			continue
		}
		r.listed, r.delisted = false, true
		if r.State == Listed {
			m.remove(r.ID)
			m.changed = true
		}
	}
}
