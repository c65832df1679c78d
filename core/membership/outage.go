package membership

import (
	"slices"
	"time"
)

// outageShare is the fraction of OutageGrace within which a majority is
// contacted while the store is silent; the rest is a reserve for exchanges that
// fail.
const outageShare = 0.6

// StoreSilentMajority reports whether the store is silent for this daemon and,
// by their own responses, for a majority of the known members, with no response
// older than OutageGrace.
func (m *Machine) StoreSilentMajority(now time.Time) bool {
	at := m.StoreSilentAt()
	return !at.IsZero() && now.Sub(at) <= m.o.OutageGrace
}

// StoreSilentAt returns the latest time since which a majority of the known
// members, including this daemon, have each reported a silent store; zero when
// there is no such majority or the store responds to this daemon.
//
// A response counts from the time at which its exchange was started here, so a
// delay in the network cannot make it look more recent.
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

// majority returns the smallest number that is more than half of the known
// members, including this daemon. Members that the platform lists and that have
// not been contacted count as well; otherwise a daemon that has contacted no
// one would be a majority by itself, however many others there are.
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

// listed reports whether a list of the platform has ever been trusted. Before
// that, this daemon cannot know how many members it is missing.
func (m *Machine) listed() bool { return !m.listedAt.IsZero() }

// outageFanout returns how many peers to contact each period so that a majority
// has responded within outageShare of OutageGrace.
func (m *Machine) outageFanout() int {
	majority := len(m.sorted)/2 + 1
	periods := int(outageShare * float64(m.o.OutageGrace) / float64(m.o.Period))
	periods = max(periods, 1)
	return (majority + periods - 1) / periods
}
