package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/guavarill/guavarill/core/model"
)

// NumHomes is how many entries keep the record of one request ID.
const NumHomes = 3

// Request identifies the request for which a claim is made, and its claimant.
type Request struct {
	Service string
	ID      string
	// Claimant identifies the attempt that gets the claim: the entry and a
	// number that the entry uses only once during its incarnation. Two requests
	// with the same ID through one entry are two claimants.
	Claimant    string
	Incarnation uint64
	// Issued is when the caller created the ID; zero when the ID does not
	// contain that time.
	Issued time.Time
	// Payload is a hash of the payload, which distinguishes a repeat from
	// another request with the same ID.
	Payload uint64
}

// IssuedAt returns the creation time contained in a UUIDv7. The second result
// is false for IDs of any other form.
func IssuedAt(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range u[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// HomesFor returns the homes of a request ID: the NumHomes members of known
// that rank highest for it, best first, or all of them when there are fewer.
// known must be the result of Eligible.
func HomesFor(service, id string, known []model.DaemonID) []model.DaemonID {
	var top [NumHomes]ranked
	n := 0
	seed := seedOf(service, id)
	for _, m := range known {
		r := ranked{member: m, weight: weight(seed, m)}
		at := n
		for at > 0 && r.above(top[at-1]) {
			at--
		}
		if at == NumHomes {
			continue
		}
		n = min(n+1, NumHomes)
		copy(top[at+1:n], top[at:])
		top[at] = r
	}
	homes := make([]model.DaemonID, n)
	for i := range homes {
		homes[i] = top[i].member
	}
	return homes
}

type ranked struct {
	member model.DaemonID
	weight uint64
}

func (r ranked) above(o ranked) bool {
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.member < o.member
}

// seedOf hashes service and id, the input that the ranks of all members share.
func seedOf(service, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, service)
	writeField(&d, id)
	return d.Sum64()
}

func weight(seed uint64, member model.DaemonID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	d.WriteString(string(member)) //nolint:errcheck // never fails
	return d.Sum64()
}

// writeField hashes s with its length, so that different sequences of fields
// cannot concatenate to the same bytes.
func writeField(d *xxhash.Digest, s string) {
	n := uint32(len(s))
	d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}) //nolint:errcheck // never fails
	d.WriteString(s)                                                     //nolint:errcheck // never fails
}
