package manifest

import (
	"iter"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// HomeShard returns the shard, from 0 to shards-1, to which the task with the
// given index belongs. A hash of the workload's name selects the shard of the
// first task, and the following tasks are assigned round-robin. If shards is 0,
// it returns shard 0.
func HomeShard(workload string, index uint32, shards uint32) model.ShardID {
	if shards == 0 {
		return 0
	}
	return model.ShardID((firstShard(workload, shards) + uint64(index)) % uint64(shards))
}

// TasksOf yields, in increasing order, the indices below tasks whose HomeShard
// is shard. Its cost is proportional to the number of indices yielded, not to
// tasks.
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

// firstShard returns the shard of the task with index 0. The hash is reduced
// modulo shards before an index is added, so that the sum in HomeShard cannot
// overflow and assign tasks differently from TasksOf.
func firstShard(workload string, shards uint32) uint64 {
	return xxhash.Sum64String(workload) % uint64(shards)
}
