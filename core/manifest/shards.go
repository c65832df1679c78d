package manifest

import (
	"iter"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// HomeShard returns the shard to which the task with the given index belongs,
// of the shards 0 to shards-1: the workload's name chooses where to begin, and
// its tasks follow in turn. With no shards it is shard 0.
func HomeShard(workload string, index uint32, shards uint32) model.ShardID {
	if shards == 0 {
		return 0
	}
	return model.ShardID((firstShard(workload, shards) + uint64(index)) % uint64(shards))
}

// TasksOf yields, in increasing order, the indices below tasks whose HomeShard
// is shard. The cost is that of the indices yielded, not of tasks.
func TasksOf(w string, tasks, shards uint32, shard model.ShardID) iter.Seq[uint32] {
	return func(yield func(uint32) bool) {
		if uint32(shard) >= shards {
			return
		}
		step := uint64(shards)
		index := (uint64(shard) + step - firstShard(w, shards)) % step
		for ; index < uint64(tasks); index += step {
			if !yield(uint32(index)) {
				return
			}
		}
	}
}

// firstShard is reduced before an index is added, so that the sum cannot wrap
// around and deal tasks differently from how TasksOf lists them.
func firstShard(workload string, shards uint32) uint64 {
	return xxhash.Sum64String(workload) % uint64(shards)
}
