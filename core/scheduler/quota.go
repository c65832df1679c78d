package scheduler

import (
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// teamUsage is what each team's tasks hold in this shard, and what they may.
type teamUsage struct {
	held   map[string]model.Resources
	quotas map[string]model.Resources
	total  model.Resources
}

func (c *cycle) teamUsage() teamUsage {
	u := teamUsage{
		held:   make(map[string]model.Resources),
		quotas: make(map[string]model.Resources),
	}
	for i := range c.s.Workers {
		w := &c.s.Workers[i]
		u.total = u.total.Add(w.VM.Capacity)
		for _, t := range c.s.Ledger.OnWorker(w.VM.ID) {
			u.add(t.Team, t.Size)
		}
	}
	for _, team := range c.s.Config.Manifest.Teams {
		if team.Quota != nil {
			u.quotas[team.Name] = quotaPart(team, c.s.Shard, c.s.Shards)
		}
	}
	return u
}

// quotaPart divides a team's quota over the shards, so that the sum over all
// shards is the quota whatever each of them does at the same time: a shard
// asks nobody before it starts a task. The remainder goes to the first shards.
func quotaPart(team manifest.Team, shard model.ShardID, shards uint32) model.Resources {
	return model.Resources{
		MilliCPU:     divide(team.Quota.MilliCPU, shard, shards),
		MemoryMB:     divide(team.Quota.MemoryMB, shard, shards),
		Accelerators: divide(team.Quota.Accelerators, shard, shards),
	}
}

func divide(amount int64, shard model.ShardID, shards uint32) int64 {
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

// overQuota returns the dimension in which a further task of the given size
// would pass the team's quota in this shard.
func (u teamUsage) overQuota(s *Snapshot, team string, size model.Resources) (model.Dimension, bool) {
	quota, limited := u.quotas[team]
	if !limited {
		return "", false
	}
	return u.held[team].Add(size).Exceeds(quota)
}

// dominantShare is the largest part of the shard's capacity that a team holds
// in any dimension.
func (u teamUsage) dominantShare(team string) float64 {
	held := u.held[team]
	return max(
		part(held.MilliCPU, u.total.MilliCPU),
		part(held.MemoryMB, u.total.MemoryMB),
		part(held.Accelerators, u.total.Accelerators),
	)
}

func part(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
