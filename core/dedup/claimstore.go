package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is a home's response to a claim.
type Verdict uint8

// The verdicts. The package comment describes each of them.
const (
	Unsure Verdict = iota
	Granted
	Held
	Mismatch
	Full
)

var verdictNames = [...]string{"unsure", "granted", "held", "mismatch", "full"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "invalid"
	}
	return verdictNames[v]
}

// key is a 128-bit hash of service and ID. Two IDs with the same key are
// treated as one: the later one is refused, not run twice. A collision has a
// probability of about 1 in a million among 10^16 IDs.
type key struct{ high, low uint64 }

type record struct {
	claimant uint64
	payload  uint64
	claimed  time.Time
}

type expiryEntry struct {
	key     key
	claimed time.Time
}

// ClaimStore is the record of claims that one entry keeps of the IDs of which
// it is a home. It is not safe for concurrent use.
type ClaimStore struct {
	o       Options
	booted  time.Time
	records map[key]record
	// expiryQueue holds the keys of the records from the oldest to the newest,
	// starting at head. Elements whose record was released or replaced since
	// are skipped on expiry.
	expiryQueue []expiryEntry
	head        int
}

// NewClaimStore returns the empty store of an entry that booted at booted.
func NewClaimStore(booted time.Time, o Options) *ClaimStore {
	return &ClaimStore{
		o:       o.WithDefaults(),
		booted:  booted,
		records: make(map[key]record),
	}
}

// Len returns how many claims are recorded.
func (h *ClaimStore) Len() int { return len(h.records) }

// Claim returns the verdict on a claim, and records the claim when it is
// granted. A repeated claim by the same claimant gets the same verdict, so that
// a duplicate message does no harm.
func (h *ClaimStore) Claim(now time.Time, r Request) Verdict {
	h.expire(now)
	k := keyOf(r)
	if existing, ok := h.records[k]; ok {
		return existing.verdict(r)
	}
	if !h.isCertainlyUnclaimed(now, r.Issued) {
		return Unsure
	}
	if h.isFull() {
		return Full
	}
	h.records[k] = record{claimant: claimantOf(r), payload: r.Payload, claimed: now}
	h.expiryQueue = append(h.expiryQueue, expiryEntry{key: k, claimed: now})
	return Granted
}

// Release deletes the claim of exactly this claimant, whose request certainly
// did not run. A release that arrives before its claim, or after another claim
// was recorded, changes nothing.
func (h *ClaimStore) Release(now time.Time, r Request) {
	h.expire(now)
	k := keyOf(r)
	if existing, ok := h.records[k]; ok && existing.claimant == claimantOf(r) {
		delete(h.records, k)
	}
}

func (r record) verdict(req Request) Verdict {
	switch {
	case r.payload != req.Payload:
		return Mismatch
	case r.claimant == claimantOf(req):
		return Granted
	}
	return Held
}

// isCertainlyUnclaimed reports whether an unrecorded ID has certainly not been
// claimed at this home within Retention.
func (h *ClaimStore) isCertainlyUnclaimed(now, issued time.Time) bool {
	hasIssueTime := !issued.IsZero() && !issued.After(now.Add(h.o.MaxClockSkew))
	if hasIssueTime && issued.Before(now.Add(h.o.MaxClockSkew-h.o.Retention)) {
		return false
	}
	if now.Sub(h.booted) >= h.o.Retention {
		return true
	}
	return hasIssueTime && issued.After(h.booted.Add(h.o.MembershipDelay+h.o.MaxClockSkew))
}

// isFull also limits the expiry queue, because a burst of claims that are
// released again would otherwise grow it without bound.
func (h *ClaimStore) isFull() bool {
	return len(h.records) >= h.o.MaxRecords || len(h.expiryQueue)-h.head >= 2*h.o.MaxRecords
}

func (h *ClaimStore) expire(now time.Time) {
	for h.head < len(h.expiryQueue) {
		oldest := h.expiryQueue[h.head]
		if now.Sub(oldest.claimed) < h.o.Retention {
			break
		}
		if h.records[oldest.key].claimed.Equal(oldest.claimed) {
			delete(h.records, oldest.key)
		}
		h.head++
	}
	if h.head > len(h.expiryQueue)/2 {
		n := copy(h.expiryQueue, h.expiryQueue[h.head:])
		h.expiryQueue = h.expiryQueue[:n]
		h.head = 0
	}
}

func keyOf(r Request) key {
	var low, high xxhash.Digest
	low.Reset()
	high.ResetWithSeed(keySeed)
	for _, d := range [...]*xxhash.Digest{&low, &high} {
		writeField(d, r.Service)
		writeField(d, r.ID)
	}
	return key{high: high.Sum64(), low: low.Sum64()}
}

// keySeed makes the high half of a key independent of the low half.
const keySeed = 0x9e3779b97f4a7c15

func claimantOf(r Request) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Incarnation)
	writeField(&d, r.Claimant)
	return d.Sum64()
}
