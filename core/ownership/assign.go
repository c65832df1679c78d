package ownership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Assign returns the assigned owner of each of count shards, in shard order, or
// nil if there are no candidates. The result depends on count and the set of
// candidates alone, not on their order.
//
// No daemon is assigned more than count/len(candidates) shards, rounded up. Each
// shard is assigned to the daemon with the highest rendezvous weight for the
// pair, unless that daemon is full of shards with higher weights. Shards and
// daemons rank each other by the same weights, so there is exactly one stable
// matching. A daemon that joins or leaves moves shards only along a chain of
// decreasing weights, which is short. Many shards move only when the rounded-up
// limit itself changes.
func Assign(count uint32, candidates []model.DaemonID) []model.DaemonID {
	if len(candidates) == 0 || count == 0 {
		return nil
	}
	a := newAssignment(count, candidates)
	for shard := range count {
		a.place(model.ShardID(shard))
	}
	return a.owners()
}

// Owner returns the assigned owner of one of count shards. It is empty if there
// are no candidates or shard is not below count.
func Owner(shard model.ShardID, count uint32, candidates []model.DaemonID) model.DaemonID {
	if uint32(shard) >= count {
		return ""
	}
	owners := Assign(count, candidates)
	if owners == nil {
		return ""
	}
	return owners[shard]
}

// assignment is a partially computed matching of shards and daemons.
type assignment struct {
	daemons  []model.DaemonID
	capacity int
	count    uint32
	// held are the shards of each daemon.
	held [][]model.ShardID
	// refused is, per shard, the pair that was refused last, nil before the
	// first refusal. Only pairs with lower weights remain for the shard.
	refused []*pairWeight
}

// pairWeight is the weight of a pair of a shard and a daemon. The weights are
// totally ordered; no two pairs are equal.
type pairWeight struct {
	hash   uint64
	shard  model.ShardID
	daemon int
}

func (w pairWeight) less(o pairWeight) bool {
	if w.hash != o.hash {
		return w.hash < o.hash
	}
	if w.shard != o.shard {
		return w.shard > o.shard
	}
	return w.daemon > o.daemon
}

func newAssignment(count uint32, candidates []model.DaemonID) *assignment {
	daemons := slices.Clone(candidates)
	slices.Sort(daemons)
	daemons = slices.Compact(daemons)
	n := len(daemons)
	return &assignment{
		daemons:  daemons,
		capacity: (int(count) + n - 1) / n,
		count:    count,
		held:     make([][]model.ShardID, n),
		refused:  make([]*pairWeight, count),
	}
}

func (a *assignment) weight(shard model.ShardID, daemon int) pairWeight {
	return pairWeight{hash: weight(shard, a.daemons[daemon]), shard: shard, daemon: daemon}
}

// weight returns the rendezvous hash of a shard and a daemon.
func weight(shard model.ShardID, daemon model.DaemonID) uint64 {
	var buffer [64]byte
	b := binary.BigEndian.AppendUint32(buffer[:0], uint32(shard))
	return xxhash.Sum64(append(b, daemon...))
}

// place finds a daemon for a shard and, in turn, for each shard that is evicted
// from its daemon by that.
func (a *assignment) place(shard model.ShardID) {
	for {
		daemon, ok := a.best(shard)
		if !ok {
			return
		}
		evicted, full := a.offer(shard, daemon)
		if !full {
			return
		}
		w := a.weight(evicted, daemon)
		a.refused[evicted] = &w
		shard = evicted
	}
}

// best returns the daemon with the highest weight for the shard among those
// that have not refused the shard, or false if all have refused it.
func (a *assignment) best(shard model.ShardID) (int, bool) {
	best, found := pairWeight{}, false
	refused := a.refused[shard]
	for daemon := range a.daemons {
		w := a.weight(shard, daemon)
		if refused != nil && !w.less(*refused) {
			continue
		}
		if !found || best.less(w) {
			best, found = w, true
		}
	}
	return best.daemon, found
}

// offer assigns the shard to the daemon. If the daemon was full, offer removes
// its shard with the lowest weight, which may be the new one, and returns it.
func (a *assignment) offer(shard model.ShardID, daemon int) (evicted model.ShardID, full bool) {
	held := append(a.held[daemon], shard)
	a.held[daemon] = held
	if len(held) <= a.capacity {
		return 0, false
	}
	least := 0
	for i := range held {
		if a.weight(held[i], daemon).less(a.weight(held[least], daemon)) {
			least = i
		}
	}
	evicted = held[least]
	a.held[daemon] = slices.Delete(held, least, least+1)
	return evicted, true
}

func (a *assignment) owners() []model.DaemonID {
	owners := make([]model.DaemonID, a.count)
	for daemon, shards := range a.held {
		for _, shard := range shards {
			owners[shard] = a.daemons[daemon]
		}
	}
	return owners
}

// fallbackOwner returns the candidate with the highest weight for the shard,
// other than the assigned owner. It acquires the shard if the assigned owner
// does not.
func fallbackOwner(shard model.ShardID, owner model.DaemonID, candidates []model.DaemonID) model.DaemonID {
	var second model.DaemonID
	var highest uint64
	for _, daemon := range candidates {
		if daemon == owner {
			continue
		}
		w := weight(shard, daemon)
		if second == "" || w > highest || w == highest && daemon < second {
			second, highest = daemon, w
		}
	}
	return second
}
