package scheduler

import (
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// teamUsage holds the committed resources and the quota of each team in this
// shard.
type teamUsage struct {
	held map[string]model.Resources
	// quotas has no entry for teams without a quota.
	quotas map[string]model.Resources
	// total is the capacity of the shard's workers.
	total model.Resources
}

func (c *cycle) teamUsage() teamUsage {
	u := teamUsage{
		held:   make(map[string]model.Resources),
		quotas: make(map[string]model.Resources),
	}
	for i := range c.snapshot.Workers {
		w := &c.snapshot.Workers[i]
		u.total = u.total.Add(w.VM.Capacity)
		for _, t := range c.snapshot.Ledger.OnWorker(w.VM.ID) {
			u.add(t.Team, t.Size)
		}
	}
	for _, team := range c.snapshot.Config.Manifest.Teams {
		if team.Quota != nil {
			u.quotas[team.Name] = shardQuota(team, c.snapshot.Shard, c.snapshot.Shards)
		}
	}
	return u
}

// shardQuota returns the part of a team's quota that belongs to one shard. A
// shard starts tasks without asking the others, so the parts of all shards add
// up to exactly the quota. The remainder of the division goes to the shards
// with the lowest numbers.
func shardQuota(team manifest.Team, shard model.ShardID, shards uint32) model.Resources {
	return model.Resources{
		MilliCPU:     divideOverShards(team.Quota.MilliCPU, shard, shards),
		MemoryMB:     divideOverShards(team.Quota.MemoryMB, shard, shards),
		Accelerators: divideOverShards(team.Quota.Accelerators, shard, shards),
	}
}

func divideOverShards(amount int64, shard model.ShardID, shards uint32) int64 {
	if shards == 0 {
		return amount
	}
	part := amount / int64(shards)
	if int64(shard) < amount%int64(shards) {
		part++
	}
	return part
}

func (u teamUsage) add(team string, size model.Resources) {
	u.held[team] = u.held[team].Add(size)
}

// overQuota reports whether one more task of the given size would exceed the
// team's quota in this shard, and in which dimension.
func (u teamUsage) overQuota(s *Snapshot, team string, size model.Resources) (model.Dimension, bool) {
	quota, limited := u.quotas[team]
	if !limited {
		return "", false
	}
	return u.held[team].Add(size).Exceeds(quota)
}

// dominantShare returns the largest fraction of the shard's capacity that a
// team holds in any dimension.
func (u teamUsage) dominantShare(team string) float64 {
	held := u.held[team]
	return max(
		fraction(held.MilliCPU, u.total.MilliCPU),
		fraction(held.MemoryMB, u.total.MemoryMB),
		fraction(held.Accelerators, u.total.Accelerators),
	)
}

func fraction(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
