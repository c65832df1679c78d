package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// applyList processes a list of the platform. It adds VMs to contact and
// records which ones are no longer listed. By itself it removes only VMs whose
// daemon never sent a message.
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

// entriesOf returns the listed VMs of RoleEntry, ordered by ID.
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

// isListTrusted reports whether the list just applied may count against members
// that it does not name. An empty list never does. A list that lacks at least
// half of the VMs listed before is more likely stale or broken than evidence of
// their loss, so it is trusted only after the lists have lacked them for
// ListMaxAge.
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

// applyVM applies one listed VM. The VM is matched with a known member by its
// ID, or else by its address, which a replacement VM shares with the VM it
// replaces.
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

// addresses maps the addresses of members that are not dead to their IDs.
func (m *Machine) addresses() map[string]model.DaemonID {
	out := make(map[string]model.DaemonID, len(m.sorted))
	for _, r := range m.sorted {
		if r.State != Dead {
			out[r.Address] = r.ID
		}
	}
	return out
}

// delist marks the members that are no longer listed and removes those that
// never sent a message.
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
