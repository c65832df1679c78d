package dissemination

import (
	"iter"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// MaxListBytes bounds the lists that NewerThan returns, unless one list alone
// is larger.
const MaxListBytes = 192 << 10

// recentLength is how many of the shards changed last are recorded.
const recentLength = SliceLength / 2

// Table holds the newest list of each shard. It must be used by one goroutine
// only. The lists it returns are shared and must not be changed.
type Table struct {
	lists   map[uint32]*peerv1.ShardTargets
	order   []uint32
	summary uint64
	// wanted are versions in peers' digests that are newer than the ones held.
	wanted map[uint32]version
	// hints are leaving targets by address.
	hints map[string]hint
	now   time.Time
	// recent are the shards whose lists changed last, the latest first.
	recent []uint32
	// cursor is where the next rotating slice begins.
	cursor int
	// differs is whether the last received summary differed from the own one.
	differs bool
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		lists:  make(map[uint32]*peerv1.ShardTargets),
		wanted: make(map[uint32]version),
		hints:  make(map[string]hint),
	}
}

// PutOwn installs a list that this daemon made as the shard's owner and reports
// whether it was newer than the one held.
func (t *Table) PutOwn(list *peerv1.ShardTargets) bool { return t.install(list) }

// Merge installs the lists that are newer than those held and reports whether
// there were any.
func (t *Table) Merge(lists []*peerv1.ShardTargets) bool { return len(t.Install(lists)) > 0 }

// Install does the same as Merge and returns the lists that were installed,
// which must be pushed on.
func (t *Table) Install(lists []*peerv1.ShardTargets) []*peerv1.ShardTargets {
	var taken []*peerv1.ShardTargets
	for _, l := range lists {
		if t.install(l) {
			taken = append(taken, l)
		}
	}
	return taken
}

func (t *Table) install(list *peerv1.ShardTargets) bool {
	shard := list.GetShard()
	if shard == SummaryShard {
		return false
	}
	next := versionOf(list)
	old, held := t.lists[shard]
	if held && next.compare(versionOf(old)) <= 0 {
		return false
	}
	if held {
		t.summary ^= versionOf(old).hash(shard)
	} else {
		at, _ := slices.BinarySearch(t.order, shard)
		t.order = slices.Insert(t.order, at, shard)
	}
	t.summary ^= next.hash(shard)
	t.lists[shard] = list
	if w, ok := t.wanted[shard]; ok && next.compare(w) >= 0 {
		delete(t.wanted, shard)
	}
	t.noteRecent(shard)
	t.dropHintsOf(list)
	t.version++
	return true
}

// noteRecent moves a shard to the front of those changed last.
func (t *Table) noteRecent(shard uint32) {
	if at := slices.Index(t.recent, shard); at >= 0 {
		t.recent = slices.Delete(t.recent, at, at+1)
	}
	t.recent = slices.Insert(t.recent, 0, shard)
	t.recent = t.recent[:min(len(t.recent), recentLength)]
}

// Version returns a number that changes whenever Targets may yield something
// else.
func (t *Table) Version() uint64 { return t.version }

// Len returns how many lists are held.
func (t *Table) Len() int { return len(t.lists) }

func (t *Table) versionMessage(shard uint32) *peerv1.ShardVersion {
	v := t.held(shard)
	return &peerv1.ShardVersion{Shard: shard, Epoch: v.epoch, Sequence: v.sequence}
}

// held returns the version of the list held, or zero if there is none.
func (t *Table) held(shard uint32) version {
	if l := t.lists[shard]; l != nil {
		return versionOf(l)
	}
	return version{}
}

// NewerThan returns the lists that are newer than the named versions, at most
// MaxListBytes of them. Shards that versions does not name are not considered,
// because a digest names only some of them.
func (t *Table) NewerThan(versions []*peerv1.ShardVersion) []*peerv1.ShardTargets {
	return t.newerThan(versions, MaxListBytes)
}

func (t *Table) newerThan(versions []*peerv1.ShardVersion, maxBytes int) []*peerv1.ShardTargets {
	var out []*peerv1.ShardTargets
	used := 0
	for _, v := range versions {
		list := t.lists[v.GetShard()]
		if list == nil || versionOf(list).compare(version{v.GetEpoch(), v.GetSequence()}) <= 0 {
			continue
		}
		size := proto.Size(list)
		if used > 0 && used+size > maxBytes {
			break
		}
		used += size
		out = append(out, list)
	}
	return out
}

// List returns the list held of one shard.
func (t *Table) List(shard model.ShardID) (*peerv1.ShardTargets, bool) {
	l, ok := t.lists[uint32(shard)]
	return l, ok
}

// Owner returns the daemon that made the list held of a shard and its epoch.
func (t *Table) Owner(shard model.ShardID) (model.DaemonID, model.Epoch, bool) {
	l := t.lists[uint32(shard)]
	if l == nil {
		return "", 0, false
	}
	return model.DaemonID(l.GetOwner()), model.Epoch(l.GetEpoch()), true
}

// Targets yields all targets ordered by shard and position in its list. Those
// with a leaving hint are yielded as copies marked leaving.
func (t *Table) Targets() iter.Seq2[model.ShardID, *peerv1.Target] {
	return func(yield func(model.ShardID, *peerv1.Target) bool) {
		for _, shard := range t.order {
			for _, target := range t.lists[shard].GetTargets() {
				if !yield(model.ShardID(shard), t.withHint(target)) {
					return
				}
			}
		}
	}
}
