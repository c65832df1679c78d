package membership

import (
	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// mergeSender merges the record that a message's sender gives of itself. It
// returns nil when the message is to be ignored, because it is from an earlier
// boot or from a daemon that uses this daemon's ID.
func (m *Machine) mergeSender(p *peerv1.Member) *record {
	id := model.DaemonID(p.GetId())
	if id == "" || id == m.self.ID || p.GetIncarnation() == 0 {
		return nil
	}
	r := m.members[id]
	if r == nil {
		r = m.add(id)
	}
	r.directIncarnation = p.GetIncarnation()
	if p.GetIncarnation() < r.Incarnation {
		m.stats.StaleRecords++
		return nil
	}
	m.mergeRecord(r, r, p)
	if !sameShards(r.OwnedShards, p.GetOwnedShards()) {
		m.changed = true
	}
	r.setOwnFields(p)
	r.LastHeard = m.now
	return r
}

func sameShards(have []ShardEpoch, got []*peerv1.ShardEpoch) bool {
	if len(have) != len(got) {
		return false
	}
	for i, s := range got {
		if uint32(have[i].Shard) != s.GetShard() || int64(have[i].Epoch) != s.GetEpoch() {
			return false
		}
	}
	return true
}

// mergeRecords merges the records that a member sent about others.
func (m *Machine) mergeRecords(by *record, members []*peerv1.Member) {
	for _, p := range members {
		id := model.DaemonID(p.GetId())
		switch {
		case id == "" || p.GetIncarnation() == 0:
		case id == m.self.ID:
			m.refute(p)
		case m.members[id] == nil:
			m.addUnknown(by, p)
		default:
			m.mergeRecord(by, m.members[id], p)
		}
	}
}

// refute raises this daemon's own incarnation above one at which it is reported
// as suspect or dead, or above one of an earlier boot whose clock was ahead.
func (m *Machine) refute(p *peerv1.Member) {
	if m.stopped {
		return
	}
	isReported := p.GetState() == toWire[Suspect] || p.GetState() == toWire[Dead]
	inc := p.GetIncarnation()
	if inc > m.self.Incarnation || isReported && inc == m.self.Incarnation {
		m.self.Incarnation = inc + 1
		m.stats.Refutations++
	}
}

// addUnknown adds a member first learned of from another. Dead members are
// added only shortly after this daemon's own start, so that it assigns request
// homes like the others; later they are members that it has already forgotten.
func (m *Machine) addUnknown(by *record, p *peerv1.Member) {
	dead := fromWire[p.GetState()] == Dead
	if dead && m.now.Sub(m.booted) > startPeriods*m.o.Period {
		return
	}
	r := m.add(model.DaemonID(p.GetId()))
	if !dead {
		m.mergeRecord(by, r, p)
		return
	}
	r.setIdentity(p)
	r.learnedDead = true
	r.diedAt = m.now
	m.setState(r, Dead)
}

// mergeRecord merges the record of r that the member by sent.
func (m *Machine) mergeRecord(by, r *record, p *peerv1.Member) {
	state, ok := fromWire[p.GetState()]
	if !ok {
		return
	}
	if p.GetIncarnation() < r.Incarnation {
		m.stats.StaleRecords++
		m.reannounce(r.ID)
		return
	}
	if p.GetIncarnation() > r.Incarnation {
		m.mergeIncarnation(r, p)
	} else if _, queued := m.changes[r.ID]; queued && state == r.State && by != r {
		m.changes[r.ID]++
	}
	switch state {
	case Leaving:
		m.mergeLeaving(r)
	case Suspect:
		m.mergeReport(by, r, false)
	case Dead:
		m.mergeReport(by, r, true)
	}
}

// mergeIncarnation merges a record with a higher incarnation. Only the member
// itself raises its incarnation, which refutes all earlier reports about it.
func (m *Machine) mergeIncarnation(r *record, p *peerv1.Member) {
	if r.Address != p.GetAddress() || r.Incarnation == 0 {
		m.changed = true
	}
	if r.Incarnation == 0 || r.Started.UnixMilli() != p.GetStartedUnixMillis() {
		r.met, r.synced = m.now, false
		r.Draining = false
	}
	r.setIdentity(p)
	r.learnedDead = false
	m.recover(r)
	m.announce(r.ID)
	m.resolveAddressConflict(r)
}

// mergeLeaving records a member's announcement that it is leaving.
func (m *Machine) mergeLeaving(r *record) {
	if r.Draining || r.State == Dead {
		return
	}
	r.Draining = true
	if r.State == Alive {
		m.setState(r, Leaving)
	}
	m.announce(r.ID)
}

// mergeReport records another member's report that r does not respond, or that
// it removed r. A removal reported by r itself, or one of a member that
// announced that it is leaving, takes effect at once.
func (m *Machine) mergeReport(by, r *record, dead bool) {
	if r.State == Dead {
		return
	}
	if dead && (by == r || r.Draining) {
		r.Draining = true
		m.declareDead(r)
		return
	}
	if by == r {
		return
	}
	m.noteSuspected(r)
	r.reportedSuspect = true
	r.addReport(by.ID, dead)
}

// reannounce relays a record once more after another member sent an older one.
func (m *Machine) reannounce(id model.DaemonID) {
	if _, queued := m.changes[id]; queued || m.members[id].learnedDead {
		return
	}
	m.changes[id] = m.relayLimit() - 1
}

// resolveAddressConflict removes the member that had r's address before.
// Without this, the record of a VM that was replaced under the same address
// would be contacted forever, with the new daemon responding.
func (m *Machine) resolveAddressConflict(r *record) {
	for _, other := range m.sorted {
		if other == r || other.Address != r.Address || other.State == Dead {
			continue
		}
		m.stats.AddressConflicts++
		switch {
		case other.State == Listed:
			m.remove(other.ID)
		case other.Started.Before(r.Started):
			other.Draining = true
			m.declareDead(other)
		}
		return
	}
}
