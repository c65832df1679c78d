package membership

import (
	"slices"
	"time"
)

// outageShare is the part of OutageGrace within which a majority is asked
// while the store is silent; the rest is left for exchanges that fail.
const outageShare = 0.6

// StoreSilentMajority reports whether the store is silent for this daemon and,
// by their own answers, for a majority of the known members, each answer not
// older than OutageGrace.
func (m *Machine) StoreSilentMajority(now time.Time) bool {
	at := m.StoreSilentAt()
	return !at.IsZero() && now.Sub(at) <= m.o.OutageGrace
}

// StoreSilentAt returns the latest time since when a majority of the known
// members, this daemon among them, said of themselves that the store is silent
// for them; zero when no majority did, or the store answers this daemon.
//
// An answer counts from when its exchange was started here, so the time that a
// message spent on its way cannot make it look younger.
func (m *Machine) StoreSilentAt() time.Time {
	if !m.listed() || m.self.StoreSilent < m.o.StoreSilentAfter {
		return time.Time{}
	}
	confirmedAt := []time.Time{m.storeStatusAt}
	for _, r := range m.sorted {
		if r.known() && !r.reportedAt.IsZero() && r.reportedSilence >= m.o.StoreSilentAfter {
			confirmedAt = append(confirmedAt, r.reportedAt)
		}
	}
	majority := m.majority()
	if len(confirmedAt) < majority {
		return time.Time{}
	}
	slices.SortFunc(confirmedAt, func(a, b time.Time) int { return b.Compare(a) })
	return confirmedAt[majority-1]
}

// majority is how many members are more than half of the known ones, this
// daemon included. Members that the platform lists and that were never met
// count as well: a daemon that has met nobody yet would be a majority by
// itself, however many others there are.
func (m *Machine) majority() int {
	known := 1
	for _, r := range m.sorted {
		if r.known() {
			known++
		}
	}
	return known/2 + 1
}

func (r *record) known() bool { return r.State != Dead }

// listed reports whether the platform's list was ever taken in. Before that
// this daemon cannot know how few of the members it knows.
func (m *Machine) listed() bool { return !m.listedAt.IsZero() }

// outageFanout is how many peers to ask each period so that a majority has
// answered within the share of OutageGrace.
func (m *Machine) outageFanout() int {
	majority := len(m.sorted)/2 + 1
	periods := int(outageShare * float64(m.o.OutageGrace) / float64(m.o.Period))
	periods = max(periods, 1)
	return (majority + periods - 1) / periods
}
