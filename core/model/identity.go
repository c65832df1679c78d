package model

import (
	"cmp"
	"fmt"
	"strings"
)

// WorkerID is the platform's name of a worker VM.
type WorkerID string

// DaemonID is the name of one daemon, unique within a cluster.
type DaemonID string

// Zone is the name of an availability zone.
type Zone string

// Rack is the name of a rack; racks of different zones have different names.
type Rack string

// ShardID is the number of a shard within its cluster, counted from 0.
type ShardID uint32

// Epoch orders the successive owners of a shard. It is the store revision at which
// the owner's key was created, so a later owner has a higher epoch.
type Epoch int64

// Revision is the number of an accepted manifest of a cluster, counted from 1.
type Revision uint64

// Attempt is the number of a placement of a task, counted from 1. At most one
// attempt of a task runs at a time.
type Attempt uint32

// TaskKey identifies a task by its workload, the generation of the workload's
// declaration, and its index among the workload's tasks.
type TaskKey struct {
	Workload   string
	Generation uint64
	Index      uint32
}

// String returns the key in the form workload@generation/index. Workers identify
// the task by this text.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s@%d/%d", k.Workload, k.Generation, k.Index)
}

// ParseTaskKey parses the form written by TaskKey.String. The second result is
// false if s is not in that form.
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

// Compare compares keys by workload, generation and index. Its result is that of
// cmp.Compare.
func (k TaskKey) Compare(o TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Workload, o.Workload),
		cmp.Compare(k.Generation, o.Generation),
		cmp.Compare(k.Index, o.Index),
	)
}

// Less reports whether k sorts before o in the order of Compare.
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
