package membership

import (
	"math/bits"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// cutAfter is how many exchanges in a row must fail, and how many periods
// pass without a message from any member, before a daemon takes its own link
// for cut.
const cutAfter = 3

// settlePeriods is how many periods without further accusations are waited
// for when many members were accused at once.
const settlePeriods = 10

// blame decides whether this daemon's own link is at fault: when it hears from
// nobody, or when about half of the members are accused. A daemon that blames
// itself removes nobody. It still tells its suspicions: those on the same side
// of a cut learn from them that they are on the smaller one.
func (m *Machine) blame() {
	c := m.census()
	blaming := m.cut() || 2*c.accused >= c.total-c.total/blameMargin
	if blaming != m.blaming {
		m.blaming = blaming
		m.changed = true
	}
}

// blameMargin is the part of the members by which fewer than half need be
// accused. Some on the other side of a cut may not have been asked yet; on
// either side of an even split, one such member would make a majority.
const blameMargin = 10

// census counts the members that are not dead, this daemon included, those of
// them that are accused, and those accused lately.
type census struct {
	total, accused, fresh int
}

func (m *Machine) census() census {
	c := census{total: 1}
	for _, r := range m.sorted {
		if r.State == Dead || r.State == Listed {
			continue
		}
		c.total++
		if !r.accused() {
			continue
		}
		c.accused++
		if m.now.Sub(r.accusedAt) < settlePeriods*m.o.Period {
			c.fresh++
		}
	}
	return c
}

// cut is whether nothing at all gets through.
func (m *Machine) cut() bool {
	silent := m.now.Sub(m.lastContact) > cutAfter*m.o.Period
	return silent && m.failed >= min(cutAfter, len(m.sorted)) && m.failed > 0
}

// accused is whether this daemon or another failed to reach the member and
// nothing has cleared it since.
func (r *record) accused() bool {
	return r.State == Suspect || r.questioned
}

// accuse notes the moment a member becomes accused.
func (m *Machine) accuse(r *record) {
	if !r.accused() {
		r.accusedAt = m.now
	}
}

// At most fewAccused members, or one in fewShare, are accused in ordinary times.
const (
	fewAccused = 2
	fewShare   = 32
)

// settled is whether accusations are few or have stopped coming. When a zone is
// cut off its members are found to fail one after the other; a majority of the
// members looks reachable until about half are accused, and the smaller side
// would begin to remove the larger one.
func (m *Machine) settled() bool {
	c := m.census()
	few := c.accused <= max(fewAccused, c.total/fewShare)
	stopped := c.fresh <= max(1, c.accused/fewShare)
	return few || stopped
}

// judge removes the suspects whose time has come.
func (m *Machine) judge() {
	settled := m.settled()
	held := false
	for _, r := range m.sorted {
		if r.State != Suspect && !m.adoptable(r) {
			continue
		}
		if !m.due(r) && !m.adoptable(r) {
			continue
		}
		if !m.mayRemove(r, settled) {
			held = true
			continue
		}
		m.bury(r)
	}
	if held {
		m.stats.RemovalsHeld++
	}
}

// due is whether the suspicion has lasted its time and an exchange that was
// started after that failed too. Without the second part a member that was
// paused, and that this daemon happened not to ask since it is back, would be
// removed.
func (m *Machine) due(r *record) bool {
	end := m.suspicionEnd(r)
	return !m.now.Before(end) && !r.failedAsked.Before(end)
}

// suspicionEnd is when the suspect may be removed. It grows with the number of
// members by what news takes to reach them all.
func (m *Machine) suspicionEnd(r *record) time.Time {
	if r.Draining {
		return r.since.Add(m.o.LeaveTimeout)
	}
	spread := time.Duration(bits.Len(uint(len(m.sorted)))) * m.o.Period
	return r.since.Add(m.o.SuspicionTimeout + spread)
}

// adoptable is whether enough others removed the member.
func (m *Machine) adoptable(r *record) bool {
	return r.State != Dead && r.deadReports() >= m.o.RemovalReports
}

// mayRemove is whether the evidence against a member whose time has come
// suffices.
func (m *Machine) mayRemove(r *record, settled bool) bool {
	if r.Draining || m.gone(r) {
		return true
	}
	return settled && !m.blaming && len(r.reports) >= m.confirmations(r)
}

// gone is whether the platform stopped listing the member's VM.
func (m *Machine) gone(r *record) bool {
	return r.delisted && m.now.Sub(m.listedAt) <= m.o.ListMaxAge
}

// confirmations is how many other members' reports are needed about r: fewer
// when there are fewer others to ask.
func (m *Machine) confirmations(r *record) int {
	others := 0
	for _, other := range m.sorted {
		if other != r && other.State == Alive && !other.accused() {
			others++
		}
	}
	return min(m.o.Confirmations, others)
}

func (m *Machine) suspect(r *record) {
	m.accuse(r)
	r.since = m.now
	m.setState(r, Suspect)
	m.stats.Suspicions++
	m.announce(r.ID)
}

func (m *Machine) bury(r *record) {
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

// contact notes that a message of a member arrived. Back is whether the member
// was suspect and has not restarted since.
func (m *Machine) contact(back bool) {
	wasCut := m.blaming && m.cut()
	m.lastContact = m.now
	m.failed = 0
	if m.blaming && (wasCut || back) {
		m.withdraw()
	}
}

// withdraw takes back all suspicions when a daemon that blamed its own link
// hears from the other side again. It would otherwise go on to report most
// members as suspects, and each of them would have to refute it.
func (m *Machine) withdraw() {
	for _, r := range m.sorted {
		if r.State == Dead || !r.accused() && r.failures == 0 {
			continue
		}
		m.recover(r)
		delete(m.changes, r.ID)
	}
	m.blaming = false
	m.changed = true
}

// announce has a member's record passed on with the next messages.
func (m *Machine) announce(id model.DaemonID) { m.changes[id] = 0 }
