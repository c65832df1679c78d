package membership

import "time"

// outageShare is the part of OutageGrace within which a majority is asked
// while the store is silent; the rest is left for exchanges that fail.
const outageShare = 0.6

// StoreSilentMajority reports whether the store is silent for this daemon and,
// by their own answers, for a majority of the members that are not dead. An
// answer counts for OutageGrace from when its exchange was started here, so
// the time that a message spent on its way cannot make it look younger.
func (m *Machine) StoreSilentMajority(now time.Time) bool {
	if m.self.StoreSilent < m.o.StoreSilentAfter {
		return false
	}
	total, silent := 1, 1
	for _, r := range m.sorted {
		if r.State == Dead || r.State == Listed {
			continue
		}
		total++
		if m.confirmsSilence(r, now) {
			silent++
		}
	}
	return 2*silent > total
}

func (m *Machine) confirmsSilence(r *record, now time.Time) bool {
	if r.silentAsked.IsZero() || now.Sub(r.silentAsked) > m.o.OutageGrace {
		return false
	}
	return r.silence >= m.o.StoreSilentAfter
}

// outageFanout is how many peers to ask each period so that a majority has
// answered within the share of OutageGrace.
func (m *Machine) outageFanout() int {
	majority := len(m.sorted)/2 + 1
	periods := int(outageShare * float64(m.o.OutageGrace) / float64(m.o.Period))
	periods = max(periods, 1)
	return (majority + periods - 1) / periods
}
