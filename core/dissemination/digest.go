package dissemination

import (
	"slices"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
)

// Sizes of digests.
const (
	// SliceLength is how many versions a message contains after a summary
	// differed; half of them are those changed last, which most likely contain
	// the difference.
	SliceLength = 32
	// MaxWanted is how many wanted versions a digest names at most.
	MaxWanted = 256
)

// Digest returns the digest for the next message: the summary, the wanted
// versions and, after a summary differed, a slice of the versions.
func (t *Table) Digest() []*peerv1.ShardVersion {
	if t.differs {
		return t.digest(SliceLength)
	}
	return t.digest(0)
}

func (t *Table) digest(length int) []*peerv1.ShardVersion {
	out := []*peerv1.ShardVersion{{
		Shard: SummaryShard, Epoch: int64(len(t.lists)), Sequence: t.summary,
	}}
	named := make(map[uint32]bool)
	name := func(shard uint32) {
		if !named[shard] {
			named[shard] = true
			out = append(out, t.versionMessage(shard))
		}
	}
	for _, shard := range t.wantedShards() {
		name(shard)
	}
	for _, shard := range t.recent[:min(len(t.recent), length/2)] {
		name(shard)
	}
	for range min(length-length/2, len(t.order)) {
		t.cursor %= len(t.order)
		name(t.order[t.cursor])
		t.cursor++
	}
	return out
}

func (t *Table) wantedShards() []uint32 {
	shards := make([]uint32, 0, len(t.wanted))
	for shard := range t.wanted {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	return shards[:min(len(shards), MaxWanted)]
}

// NoteDigest processes a peer's digest: it records versions that are newer than
// the ones held and whether the peer's summary differs.
func (t *Table) NoteDigest(versions []*peerv1.ShardVersion) {
	t.differs = false
	for _, v := range versions {
		if v.GetShard() == SummaryShard {
			t.differs = v.GetSequence() != t.summary || v.GetEpoch() != int64(len(t.lists))
			continue
		}
		t.want(v.GetShard(), version{v.GetEpoch(), v.GetSequence()})
	}
}

func (t *Table) want(shard uint32, v version) {
	if v.compare(t.held(shard)) <= 0 {
		return
	}
	if w, ok := t.wanted[shard]; ok && w.compare(v) >= 0 {
		return
	}
	t.wanted[shard] = v
}

// responseDigest returns the digest with which to respond to a digest. A peer
// that holds less than half of the lists is sent all versions, so that a daemon
// that just started has every list after its second exchange.
func (t *Table) responseDigest(theirs []*peerv1.ShardVersion) []*peerv1.ShardVersion {
	t.NoteDigest(theirs)
	held := int64(0)
	for _, v := range theirs {
		if v.GetShard() == SummaryShard {
			held = v.GetEpoch()
		}
	}
	switch {
	case !t.differs:
		return t.digest(0)
	case held*2 < int64(len(t.lists)):
		return t.digest(2 * len(t.lists))
	}
	return t.digest(SliceLength)
}
