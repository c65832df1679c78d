package model

import (
	"cmp"
	"fmt"
	"strings"
)

// WorkerID is the platform's name for a worker VM.
type WorkerID string

// DaemonID is the name of one daemon, unique within a cluster.
type DaemonID string

// Zone is the name of an availability zone.
type Zone string

// Rack is the name of a rack; racks of different zones have different names.
type Rack string

// ShardID numbers the shards of a cluster from 0.
type ShardID uint32

// Epoch orders the owners of a shard. It is the store revision at which the
// owner's key was created, so it only grows.
type Epoch int64

// Revision numbers the accepted manifests of a cluster from 1.
type Revision uint64

// Attempt numbers the placements of one task from 1. At most one attempt of a
// task runs at a time.
type Attempt uint32

// TaskKey is the identity of a task: the workload it belongs to, the
// generation of that workload's declaration, and its index among the
// workload's tasks.
type TaskKey struct {
	Workload   string
	Generation uint64
	Index      uint32
}

// String returns the key in the form workload@generation/index, which is also
// the task's name towards workers.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s@%d/%d", k.Workload, k.Generation, k.Index)
}

// ParseTaskKey reads what TaskKey.String wrote. The second result is false
// when s is not in that form.
func ParseTaskKey(s string) (TaskKey, bool) {
	at := strings.LastIndexByte(s, '@')
	if at <= 0 {
		return TaskKey{}, false
	}
	key := TaskKey{Workload: s[:at]}
	n, err := fmt.Sscanf(s[at+1:], "%d/%d", &key.Generation, &key.Index)
	if err != nil || n != 2 || key.String() != s {
		return TaskKey{}, false
	}
	return key, true
}

// Compare orders keys by workload, generation and index, as cmp.Compare does.
func (k TaskKey) Compare(o TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Workload, o.Workload),
		cmp.Compare(k.Generation, o.Generation),
		cmp.Compare(k.Index, o.Index),
	)
}

// Less reports whether k comes before o in the order of Compare.
func (k TaskKey) Less(o TaskKey) bool { return k.Compare(o) < 0 }

// AttemptKey identifies one attempt of one task.
type AttemptKey struct {
	Task    TaskKey
	Attempt Attempt
}

// String returns the key in the form workload@generation/index#attempt.
func (k AttemptKey) String() string {
	return fmt.Sprintf("%s#%d", k.Task, k.Attempt)
}
