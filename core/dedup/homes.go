package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is a home's answer to a claim.
type Verdict uint8

// The verdicts; the package comment says what each means.
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

// key is a 128-bit hash of service and id. Two ids with the same key, which
// would need some 10^16 ids for a likelihood of 1 in a million, count as one:
// the later one is refused, not run twice.
type key struct{ high, low uint64 }

type record struct {
	holder  uint64
	payload uint64
	claimed time.Time
}

type expiry struct {
	key     key
	claimed time.Time
}

// ClaimStore is the record that one entry keeps of the ids it is a home of. It is
// not safe for concurrent use.
type ClaimStore struct {
	o       Options
	booted  time.Time
	records map[key]record
	// order holds the records oldest first; those released or claimed again
	// since are skipped when they come up.
	order []expiry
	first int
}

// NewClaimStore returns the empty record of an entry that booted at booted.
func NewClaimStore(booted time.Time, o Options) *ClaimStore {
	return &ClaimStore{
		o:       o.WithDefaults(),
		booted:  booted,
		records: make(map[key]record),
	}
}

// Len returns how many claims are remembered.
func (h *ClaimStore) Len() int { return len(h.records) }

// Claim answers a claim, and records it when it is granted. The same claimant
// asking twice is answered alike, so a repeated message does no harm.
func (h *ClaimStore) Claim(now time.Time, r Request) Verdict {
	h.expire(now)
	k := keyOf(r)
	if held, ok := h.records[k]; ok {
		return held.verdict(r)
	}
	if !h.knows(now, r.Issued) {
		return Unsure
	}
	if h.isFull() {
		return Full
	}
	h.records[k] = record{holder: holderOf(r), payload: r.Payload, claimed: now}
	h.order = append(h.order, expiry{key: k, claimed: now})
	return Granted
}

// Release forgets the claim of exactly this claimant, whose request was
// certainly not run. A release that overtook its claim or comes after another
// claim was made changes nothing.
func (h *ClaimStore) Release(now time.Time, r Request) {
	h.expire(now)
	k := keyOf(r)
	if held, ok := h.records[k]; ok && held.holder == holderOf(r) {
		delete(h.records, k)
	}
}

func (r record) verdict(req Request) Verdict {
	switch {
	case r.payload != req.Payload:
		return Mismatch
	case r.holder == holderOf(req):
		return Granted
	}
	return Held
}

// knows reports whether an id that is not recorded was certainly not claimed
// here within the promise.
func (h *ClaimStore) knows(now, issued time.Time) bool {
	tells := !issued.IsZero() && !issued.After(now.Add(h.o.MaxClockSkew))
	if tells && issued.Before(now.Add(h.o.MaxClockSkew-h.o.Retention)) {
		return false
	}
	if now.Sub(h.booted) >= h.o.Retention {
		return true
	}
	return tells && issued.After(h.booted.Add(h.o.MembershipDelay+h.o.MaxClockSkew))
}

// isFull counts the order too, so that a burst of claims that are released
// again cannot grow it without bound.
func (h *ClaimStore) isFull() bool {
	return len(h.records) >= h.o.MaxRecords || len(h.order)-h.first >= 2*h.o.MaxRecords
}

func (h *ClaimStore) expire(now time.Time) {
	for h.first < len(h.order) {
		oldest := h.order[h.first]
		if now.Sub(oldest.claimed) < h.o.Retention {
			break
		}
		if h.records[oldest.key].claimed.Equal(oldest.claimed) {
			delete(h.records, oldest.key)
		}
		h.first++
	}
	if h.first > len(h.order)/2 {
		n := copy(h.order, h.order[h.first:])
		h.order = h.order[:n]
		h.first = 0
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

func holderOf(r Request) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Incarnation)
	writeField(&d, r.Claimant)
	return d.Sum64()
}
