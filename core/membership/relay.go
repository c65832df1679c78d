package membership

import (
	"cmp"
	"math/bits"
	"slices"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Outgoing is OutgoingTo for an unknown peer.
func (m *Machine) Outgoing() (self *peerv1.Member, records []*peerv1.Member) {
	return m.OutgoingTo("")
}

// OutgoingTo returns the sender's record and the member records of the next
// message to peer, and counts them as sent.
func (m *Machine) OutgoingTo(peer model.DaemonID) (self *peerv1.Member, records []*peerv1.Member) {
	b := batch{named: map[model.DaemonID]bool{peer: true}}
	r := m.members[peer]
	if r != nil {
		m.addPeerRecord(&b, r)
	}
	for _, id := range m.pickChanges(peer) {
		m.addRecord(&b, m.members[id])
	}
	m.addRotating(&b, m.rotatingCount(r))
	m.self.StoreOK = m.storeOK()
	return m.self.ownRecord(), b.records
}

// batch collects the records of one message.
type batch struct {
	named   map[model.DaemonID]bool
	records []*peerv1.Member
}

// addRecord adds one record, unless it is already in the batch or not to be
// relayed, and reports whether it did.
func (m *Machine) addRecord(b *batch, r *record) bool {
	if b.named[r.ID] || r.Incarnation == 0 || r.learnedDead {
		return false
	}
	b.named[r.ID] = true
	b.records = append(b.records, r.relayedRecord(r.State))
	return true
}

// addPeerRecord adds the peer's own record if the peer may have to refute it,
// or if the peer uses an incarnation below the known one.
func (m *Machine) addPeerRecord(b *batch, r *record) {
	switch {
	case r.Incarnation == 0:
	case r.State == Dead || r.State == Suspect:
		b.records = append(b.records, r.relayedRecord(r.State))
	case r.reportedSuspect:
		b.records = append(b.records, r.relayedRecord(Suspect))
	case r.directIncarnation != 0 && r.directIncarnation < r.Incarnation:
		b.records = append(b.records, r.relayedRecord(r.State))
	}
}

// pickChanges picks the changes that were relayed least often.
func (m *Machine) pickChanges(peer model.DaemonID) []model.DaemonID {
	limit := m.relayLimit()
	ids := make([]model.DaemonID, 0, len(m.changes))
	for id, sent := range m.changes {
		if sent >= limit {
			delete(m.changes, id)
			continue
		}
		if id != peer {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.DaemonID) int {
		return cmp.Or(cmp.Compare(m.changes[a], m.changes[b]), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), m.o.MaxChanges)]
	for _, id := range ids {
		m.changes[id]++
	}
	return ids
}

// relayLimit returns how often a change is relayed.
func (m *Machine) relayLimit() int {
	return m.o.RelayFactor * max(1, bits.Len(uint(len(m.sorted))))
}

// rotatingCount returns how many records without a recent change the message to
// r contains. The larger number is for the first message between daemons of
// which one has just started and knows few others.
func (m *Machine) rotatingCount(r *record) int {
	if r == nil || r.synced || r.Incarnation == 0 {
		return m.o.RotatingRecords
	}
	r.synced = true
	if m.now.Sub(r.met) > startPeriods*m.o.Period {
		return m.o.RotatingRecords
	}
	return m.o.MaxSyncRecords
}

// addRotating adds the next n records in rotation. They repair changes that
// relaying did not deliver.
func (m *Machine) addRotating(b *batch, n int) {
	for range len(m.sorted) {
		if n == 0 {
			return
		}
		m.cursor %= len(m.sorted)
		if m.addRecord(b, m.sorted[m.cursor]) {
			n--
		}
		m.cursor++
	}
}
