package dissemination

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
)

// SummaryShard is the shard number under which a digest contains the summary of
// all lists held.
const SummaryShard uint32 = math.MaxUint32

// version orders the lists of one shard.
type version struct {
	epoch    int64
	sequence uint64
}

func versionOf(l *peerv1.ShardTargets) version {
	return version{epoch: l.GetEpoch(), sequence: l.GetSequence()}
}

func (v version) compare(o version) int {
	if c := cmp.Compare(v.epoch, o.epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.sequence, o.sequence)
}

// hash returns a hash of a shard and its version. The summary of a table is the
// exclusive or of its entries' hashes, so that a change updates it in constant
// time.
func (v version) hash(shard uint32) uint64 {
	var b [20]byte
	putUint64(b[0:], uint64(shard))
	putUint64(b[4:], uint64(v.epoch))
	putUint64(b[12:], v.sequence)
	return xxhash.Sum64(b[:])
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}
