package membership

import (
	"math/bits"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// linkDownAfter is how many consecutive exchanges must fail, and how many
// periods must pass without a message from any member, before a daemon
// considers its own link faulty.
const linkDownAfter = 3

// settlePeriods is how many periods without new suspicions must pass before
// members are removed when many are suspected at once.
const settlePeriods = 10

// checkIsolation determines whether this daemon's own link is at fault: either
// no message arrives at all, or about half of the members are suspected. An
// isolated daemon removes no members. It still reports its suspicions, from
// which other members on its side of a partition learn that they are on the
// smaller side.
func (m *Machine) checkIsolation() {
	c := m.countMembers()
	isolated := m.isLinkDown() || 2*c.suspected >= c.total-c.total/isolationMargin
	if isolated != m.isolated {
		m.isolated = isolated
		m.changed = true
	}
}

// isolationMargin is the fraction of the members (one in isolationMargin) by
// which the suspected ones may fall short of half. Some members on the other
// side of a partition may not have been contacted yet; in an even split, a
// single one of them would give either side a majority.
const isolationMargin = 10

// memberCounts counts the members that are not dead, including this daemon,
// those of them that are suspected, and those that became suspected recently.
type memberCounts struct {
	total, suspected, recent int
}

func (m *Machine) countMembers() memberCounts {
	c := memberCounts{total: 1}
	for _, r := range m.sorted {
		if r.State == Dead || r.State == Listed {
			continue
		}
		c.total++
		if !r.isSuspected() {
			continue
		}
		c.suspected++
		if m.now.Sub(r.suspectedAt) < settlePeriods*m.o.Period {
			c.recent++
		}
	}
	return c
}

// isLinkDown reports whether no message from any member arrives.
func (m *Machine) isLinkDown() bool {
	silent := m.now.Sub(m.lastContact) > linkDownAfter*m.o.Period
	return silent && m.failed >= min(linkDownAfter, len(m.sorted)) && m.failed > 0
}

// isSuspected reports whether this daemon or another failed to reach the member
// and nothing has cleared the suspicion since.
func (r *record) isSuspected() bool {
	return r.State == Suspect || r.reportedSuspect
}

// noteSuspected records the time at which a member becomes suspected.
func (m *Machine) noteSuspected(r *record) {
	if !r.isSuspected() {
		r.suspectedAt = m.now
	}
}

// In normal operation at most fewSuspected members, or one in fewShare, are
// suspected.
const (
	fewSuspected = 2
	fewShare     = 32
)

// suspicionsSettled reports whether suspicions are few or no new ones arrive.
// When a zone is partitioned, the failures of its members are detected one
// after the other. A majority looks reachable until about half of the members
// are suspected, and until then the smaller side would begin to remove the
// larger one.
func (m *Machine) suspicionsSettled() bool {
	c := m.countMembers()
	few := c.suspected <= max(fewSuspected, c.total/fewShare)
	stopped := c.recent <= max(1, c.suspected/fewShare)
	return few || stopped
}

// removeSuspects removes the suspects for which the evidence suffices.
func (m *Machine) removeSuspects() {
	settled := m.suspicionsSettled()
	isHeld := false
	for _, r := range m.sorted {
		if r.State != Suspect && !m.removedByOthers(r) {
			continue
		}
		if !m.suspicionExpired(r) && !m.removedByOthers(r) {
			continue
		}
		if !m.mayRemove(r, settled) {
			isHeld = true
			continue
		}
		m.declareDead(r)
	}
	if isHeld {
		m.stats.RemovalsHeld++
	}
}

// suspicionExpired reports whether the suspicion timeout has passed and an
// exchange started after that failed too. Without the second condition, a
// member that was paused and resumed, but was not contacted since, would be
// removed.
func (m *Machine) suspicionExpired(r *record) bool {
	end := m.suspicionEnd(r)
	return !m.now.Before(end) && !r.failedAt.Before(end)
}

// suspicionEnd returns when the suspect may be removed. The timeout grows with
// the logarithm of the number of members, as does the time in which news
// reaches them all.
func (m *Machine) suspicionEnd(r *record) time.Time {
	if r.Draining {
		return r.suspectSince.Add(m.o.LeaveTimeout)
	}
	spread := time.Duration(bits.Len(uint(len(m.sorted)))) * m.o.Period
	return r.suspectSince.Add(m.o.SuspicionTimeout + spread)
}

// removedByOthers reports whether enough other members removed the member.
func (m *Machine) removedByOthers(r *record) bool {
	return r.State != Dead && r.deadReports() >= m.o.RemovalReports
}

// mayRemove reports whether the evidence against a member whose suspicion has
// expired suffices for its removal.
func (m *Machine) mayRemove(r *record, settled bool) bool {
	if r.Draining || m.isDelisted(r) {
		return true
	}
	return settled && !m.isolated && len(r.reports) >= m.confirmations(r)
}

// isDelisted reports whether the platform has stopped listing the member's VM.
func (m *Machine) isDelisted(r *record) bool {
	return r.delisted && m.now.Sub(m.listedAt) <= m.o.ListMaxAge
}

// confirmations returns how many other members' reports are needed to remove r.
// It is lower when fewer other members are reachable.
func (m *Machine) confirmations(r *record) int {
	others := 0
	for _, other := range m.sorted {
		if other != r && other.State == Alive && !other.isSuspected() {
			others++
		}
	}
	return min(m.o.Confirmations, others)
}

func (m *Machine) suspect(r *record) {
	m.noteSuspected(r)
	r.suspectSince = m.now
	m.setState(r, Suspect)
	m.stats.Suspicions++
	m.announce(r.ID)
}

func (m *Machine) declareDead(r *record) {
	m.setState(r, Dead)
	r.diedAt = m.now
	r.clearDoubt()
	m.stats.Removals++
	m.announce(r.ID)
}

// recover clears all doubt about a member and ends its suspicion.
func (m *Machine) recover(r *record) {
	r.clearDoubt()
	if r.State == Suspect {
		m.stats.Recoveries++
	}
	m.setState(r, r.liveState())
}

// noteContact records that a message of a member arrived. The argument is
// whether the member was suspect and has not restarted since.
func (m *Machine) noteContact(recovered bool) {
	wasCut := m.isolated && m.isLinkDown()
	m.lastContact = m.now
	m.failed = 0
	if m.isolated && (wasCut || recovered) {
		m.withdrawSuspicions()
	}
}

// withdrawSuspicions clears all suspicions when an isolated daemon receives
// messages from the other side again. Otherwise it would keep reporting most
// members as suspects, and each of them would have to refute that.
func (m *Machine) withdrawSuspicions() {
	for _, r := range m.sorted {
		if r.State == Dead || !r.isSuspected() && r.failures == 0 {
			continue
		}
		m.recover(r)
		delete(m.changes, r.ID)
	}
	m.isolated = false
	m.changed = true
}

// announce relays a member's record with the next messages.
func (m *Machine) announce(id model.DaemonID) { m.changes[id] = 0 }
