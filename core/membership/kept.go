package membership

import (
	"slices"
	"time"
)

// span is a time in which every message of one member said that the store
// answers it.
type span struct{ begin, end time.Time }

// OutageRenewalsEnded reports whether it is certain that no daemon renews leases by the
// store's silence any more: there is a time S, not before after, such that a
// majority of the known members said nothing else than that the store answers
// them, each from S until S plus wait at least.
//
// Such a daemon needs a majority that is silent. Any two majorities share a
// member, and what that one said before S is too old after S plus OutageGrace.
// So after names when the daemon's lease had ended for certain, and wait is
// OutageGrace and how long what it renewed last may go on. As the silence may
// last for any time, no length of waiting takes the place of this.
//
// Once true it is so for good; later calls can return false again, since only
// the latest answer of each member is kept.
func (m *Machine) OutageRenewalsEnded(after time.Time, wait time.Duration) bool {
	if !m.listed() {
		return false
	}
	var begins, ends []time.Time
	for _, s := range m.storeSpans() {
		begin, end := s.begin, s.end.Add(-wait)
		if begin.Before(after) {
			begin = after
		}
		if !end.Before(begin) {
			begins, ends = append(begins, begin), append(ends, end)
		}
	}
	return maxOverlap(begins, ends) >= m.majority()
}

// storeSpans returns the spans of the known members, by their own answers. A
// span begins no earlier and ends no later than the member's own: its length
// counts back from the answer's receipt, and it ends when the exchange was
// started, since what the member said after its answer is not known.
func (m *Machine) storeSpans() []span {
	spans := make([]span, 0, len(m.sorted)+1)
	if !m.okSince.IsZero() {
		spans = append(spans, span{m.okSince, m.now})
	}
	for _, r := range m.sorted {
		if r.known() && !r.okSince.IsZero() {
			spans = append(spans, span{r.okSince, r.reportedAt})
		}
	}
	return spans
}

// maxOverlap returns how many of the spans with these begins and ends share a
// moment, at most.
func maxOverlap(begins, ends []time.Time) int {
	slices.SortFunc(begins, time.Time.Compare)
	slices.SortFunc(ends, time.Time.Compare)
	most, over := 0, 0
	for i, begin := range begins {
		for ends[over].Before(begin) {
			over++
		}
		most = max(most, i+1-over)
	}
	return most
}

// updateStoreStatus notes what this daemon's messages say of the store from now on.
func (m *Machine) updateStoreStatus() {
	m.storeStatusAt = m.now
	switch {
	case m.self.StoreSilent >= m.o.StoreSilentAfter:
		m.okSince = time.Time{}
	case m.okSince.IsZero():
		m.okSince = m.now
	}
}

// storeOK is for how long this daemon's messages have said that the store
// answers it.
func (m *Machine) storeOK() time.Duration {
	if m.okSince.IsZero() {
		return 0
	}
	return m.now.Sub(m.okSince)
}

// setStoreStatus notes what a member's answer, to an exchange that was started at
// the given time, says of its store. A silent member's
// span is dropped, so that it counts as answered again only from later on.
func (r *record) setStoreStatus(now, started time.Time) {
	r.reportedSilence, r.reportedAt = r.StoreSilent, started
	r.okSince = time.Time{}
	if ok := min(r.StoreOK, maxStoreOK); ok > 0 {
		r.okSince = now.Add(-ok)
	}
}

// maxStoreOK bounds how far back a member's word is believed. Its clock may run
// faster than this daemon's, and over hours the difference would outgrow the
// margin that the wait includes.
const maxStoreOK = 30 * time.Minute
