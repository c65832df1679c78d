package membership

import (
	"slices"
	"time"
)

// span is a period during which every message of one member reported a
// responding store.
type span struct{ begin, end time.Time }

// OutageRenewalsEnded reports whether it is certain that no daemon renews
// leases on the grounds of a silent store any more. This holds if there is a
// time S, not before after, such that a majority of the known members each
// reported a responding store throughout the period from S to S plus wait.
//
// A daemon may renew in an outage only if a majority confirms that the store is
// silent. Any two majorities share a member, and a statement that this member
// made before S is too old after S plus OutageGrace. Therefore after must be a
// time at which the other daemon's lease had certainly expired, and wait must
// be OutageGrace plus the longest time for which its last renewal is valid. An
// outage has no maximum length, so no fixed waiting time can replace this
// condition.
//
// Once true, the condition holds for good, but later calls can return false,
// because only the latest response of each member is kept.
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

// storeSpans returns the spans of the known members, from their own responses.
// A span is never longer than the member's own: its length counts back from the
// receipt of the response, and it ends when the exchange was started, because
// what the member reported after its response is unknown.
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

// maxOverlap returns the largest number of spans with these begins and ends
// that share a moment.
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

// updateStoreStatus records what this daemon's messages report of the store
// from now on.
func (m *Machine) updateStoreStatus() {
	m.storeStatusAt = m.now
	switch {
	case m.self.StoreSilent >= m.o.StoreSilentAfter:
		m.okSince = time.Time{}
	case m.okSince.IsZero():
		m.okSince = m.now
	}
}

// storeOK returns how long this daemon's messages have reported a responding
// store.
func (m *Machine) storeOK() time.Duration {
	if m.okSince.IsZero() {
		return 0
	}
	return m.now.Sub(m.okSince)
}

// setStoreStatus records what a member's response, to an exchange that was
// started at the given time, reports of its store. The span of a member whose
// store is silent is dropped, so a new one can only begin later.
func (r *record) setStoreStatus(now, started time.Time) {
	r.reportedSilence, r.reportedAt = r.StoreSilent, started
	r.okSince = time.Time{}
	if ok := min(r.StoreOK, maxStoreOK); ok > 0 {
		r.okSince = now.Add(-ok)
	}
}

// maxStoreOK bounds the length of a member's reported span. The member's clock
// may run faster than this daemon's, and over hours the difference would exceed
// the margin that the wait includes.
const maxStoreOK = 30 * time.Minute
