package scheduler

import (
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// handOff gives a task that found no room here to a shard whose owner told of
// room for it. Room that this cycle has already handed tasks to is counted as
// taken: what other shards told is some seconds old, and a whole queue would
// otherwise follow it to the same place.
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

// shardWithRoom picks a shard by a number drawn for this cycle, so that many
// full shards do not all choose the same one.
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
