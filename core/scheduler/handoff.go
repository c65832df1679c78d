package scheduler

import (
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// handOff hands a task that does not fit in this shard to a shard whose owner
// reported enough free resources, and returns false when there is none.
// Resources for tasks that were handed off earlier in this cycle are deducted:
// the reports of other shards are some seconds old, and a whole queue would
// otherwise be sent to the same shard.
func (p *placementPass) handOff(t ledger.Task, size model.Resources) bool {
	to, found := p.shardWithRoom(t, size)
	if !found {
		return false
	}
	p.shardRoom[to] = p.shardRoom[to].Sub(size)
	t.Size = size
	t.Reason = ""
	p.touched[t.Key] = true
	p.plan.Changes = append(p.plan.Changes, ledger.Change{Handoff: &ledger.Handoff{Task: t, To: to}})
	return true
}

// shardWithRoom picks one of the other shards that reported enough free
// resources for a task. The choice depends on the cycle's random number, so
// that many full shards do not all pick the same one.
func (p *placementPass) shardWithRoom(t ledger.Task, size model.Resources) (model.ShardID, bool) {
	if p.shardRoom == nil {
		p.shardRoom = maps.Clone(p.snapshot.ShardRoom)
	}
	var fits []model.ShardID
	for shard, room := range p.shardRoom {
		if shard != p.snapshot.Shard && size.Fits(room) {
			fits = append(fits, shard)
		}
	}
	if len(fits) == 0 {
		return 0, false
	}
	slices.Sort(fits)
	return fits[(p.snapshot.Random+uint64(t.Key.Index))%uint64(len(fits))], true
}
