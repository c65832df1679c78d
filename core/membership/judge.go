package membership

import (
	"math/bits"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// linkDownAfter is how many exchanges in a row must fail, and how many periods
// pass without a message from any member, before a daemon takes its own link
// for cut.
const linkDownAfter = 3

// settlePeriods is how many periods without further accusations are waited
// for when many members were accused at once.
const settlePeriods = 10

// checkIsolation decides whether this daemon's own link is at fault: when it hears from
// nobody, or when about half of the members are accused. A daemon that blames
// itself removes nobody. It still tells its suspicions: those on the same side
// of a cut learn from them that they are on the smaller one.
func (m *Machine) checkIsolation() {
	c := m.countMembers()
	blaming := m.isLinkDown() || 2*c.suspected >= c.total-c.total/isolationMargin
	if blaming != m.isolated {
		m.isolated = blaming
		m.changed = true
	}
}

// isolationMargin is the part of the members by which fewer than half need be
// accused. Some on the other side of a cut may not have been asked yet; on
// either side of an even split, one such member would make a majority.
const isolationMargin = 10

// memberCounts counts the members that are not dead, this daemon included, those of
// them that are accused, and those accused lately.
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

// isLinkDown is whether nothing at all gets through.
func (m *Machine) isLinkDown() bool {
	silent := m.now.Sub(m.lastContact) > linkDownAfter*m.o.Period
	return silent && m.failed >= min(linkDownAfter, len(m.sorted)) && m.failed > 0
}

// isSuspected is whether this daemon or another failed to reach the member and
// nothing has cleared it since.
func (r *record) isSuspected() bool {
	return r.State == Suspect || r.reportedSuspect
}

// noteSuspected notes the moment a member becomes accused.
func (m *Machine) noteSuspected(r *record) {
	if !r.isSuspected() {
		r.suspectedAt = m.now
	}
}

// At most fewSuspected members, or one in fewShare, are accused in ordinary times.
const (
	fewSuspected = 2
	fewShare     = 32
)

// suspicionsSettled is whether accusations are few or have stopped coming. When a zone is
// cut off its members are found to fail one after the other; a majority of the
// members looks reachable until about half are accused, and the smaller side
// would begin to remove the larger one.
func (m *Machine) suspicionsSettled() bool {
	c := m.countMembers()
	few := c.suspected <= max(fewSuspected, c.total/fewShare)
	stopped := c.recent <= max(1, c.suspected/fewShare)
	return few || stopped
}

// removeSuspects removes the suspects whose time has come.
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

// suspicionExpired is whether the suspicion has lasted its time and an exchange that was
// started after that failed too. Without the second part a member that was
// paused, and that this daemon happened not to ask since it is back, would be
// removed.
func (m *Machine) suspicionExpired(r *record) bool {
	end := m.suspicionEnd(r)
	return !m.now.Before(end) && !r.failedAt.Before(end)
}

// suspicionEnd is when the suspect may be removed. It grows with the number of
// members by what news takes to reach them all.
func (m *Machine) suspicionEnd(r *record) time.Time {
	if r.Draining {
		return r.suspectSince.Add(m.o.LeaveTimeout)
	}
	spread := time.Duration(bits.Len(uint(len(m.sorted)))) * m.o.Period
	return r.suspectSince.Add(m.o.SuspicionTimeout + spread)
}

// removedByOthers is whether enough others removed the member.
func (m *Machine) removedByOthers(r *record) bool {
	return r.State != Dead && r.deadReports() >= m.o.RemovalReports
}

// mayRemove is whether the evidence against a member whose time has come
// suffices.
func (m *Machine) mayRemove(r *record, settled bool) bool {
	if r.Draining || m.isDelisted(r) {
		return true
	}
	return settled && !m.isolated && len(r.reports) >= m.confirmations(r)
}

// isDelisted is whether the platform stopped listing the member's VM.
func (m *Machine) isDelisted(r *record) bool {
	return r.delisted && m.now.Sub(m.listedAt) <= m.o.ListMaxAge
}

// confirmations is how many other members' reports are needed about r: fewer
// when there are fewer others to ask.
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

// recover ends a suspicion.
func (m *Machine) recover(r *record) {
	r.clearDoubt()
	if r.State == Suspect {
		m.stats.Recoveries++
	}
	m.setState(r, r.liveState())
}

// noteContact notes that a message of a member arrived. Back is whether the member
// was suspect and has not restarted since.
func (m *Machine) noteContact(recovered bool) {
	wasCut := m.isolated && m.isLinkDown()
	m.lastContact = m.now
	m.failed = 0
	if m.isolated && (wasCut || recovered) {
		m.withdrawSuspicions()
	}
}

// withdrawSuspicions takes back all suspicions when a daemon that blamed its own link
// hears from the other side again. It would otherwise go on to report most
// members as suspects, and each of them would have to refute it.
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

// announce has a member's record passed on with the next messages.
func (m *Machine) announce(id model.DaemonID) { m.changes[id] = 0 }
