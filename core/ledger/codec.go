package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
)

func encodeKey(k model.TaskKey) *ledgerv1.TaskKey {
	return &ledgerv1.TaskKey{Workload: k.Workload, Generation: k.Generation, Index: k.Index}
}

func decodeKey(k *ledgerv1.TaskKey) model.TaskKey {
	return model.TaskKey{
		Workload:   k.GetWorkload(),
		Generation: k.GetGeneration(),
		Index:      k.GetIndex(),
	}
}

func encodeTask(t *Task) *ledgerv1.Task {
	return &ledgerv1.Task{
		Key:                 encodeKey(t.Key),
		State:               ledgerv1.TaskState(t.State),
		Attempt:             uint32(t.Attempt),
		Worker:              string(t.Worker),
		MilliCpu:            t.Size.MilliCPU,
		MemoryMb:            t.Size.MemoryMB,
		Accelerators:        t.Size.Accelerators,
		Checkpoint:          t.Checkpoint,
		Evictions:           t.Evictions,
		Failures:            t.Failures,
		FailedWorkers:       workerNames(t.FailedWorkers),
		Reason:              t.Reason,
		Resume:              t.Resume,
		NotBeforeUnixMillis: encodeTime(t.NotBefore),
		Address:             t.Address,
		Service:             t.Service,
		Class:               t.Class,
		Priority:            int32(t.Priority),
		Team:                t.Team,
		MovedTo:             uint32(t.MovedTo),
	}
}

// decodeTask returns false if the record has no key or an unknown state.
func decodeTask(t *ledgerv1.Task) (*Task, bool) {
	state := State(t.GetState())
	if t.GetKey().GetWorkload() == "" || state == stateAbsent || state >= numStates {
		return nil, false
	}
	return &Task{
		Key:     decodeKey(t.GetKey()),
		State:   state,
		Attempt: model.Attempt(t.GetAttempt()),
		Worker:  model.WorkerID(t.GetWorker()),
		Size: model.Resources{
			MilliCPU:     t.GetMilliCpu(),
			MemoryMB:     t.GetMemoryMb(),
			Accelerators: t.GetAccelerators(),
		},
		Checkpoint:    t.GetCheckpoint(),
		Evictions:     t.GetEvictions(),
		Failures:      t.GetFailures(),
		FailedWorkers: workerIDs(t.GetFailedWorkers()),
		Reason:        t.GetReason(),
		Resume:        t.GetResume(),
		NotBefore:     decodeTime(t.GetNotBeforeUnixMillis()),
		Address:       t.GetAddress(),
		Service:       t.GetService(),
		Class:         t.GetClass(),
		Priority:      model.Priority(t.GetPriority()),
		Team:          t.GetTeam(),
		MovedTo:       model.ShardID(t.GetMovedTo()),
	}, true
}

func encodeQuarantine(q Quarantine) *ledgerv1.Quarantine {
	return &ledgerv1.Quarantine{
		Worker:          string(q.Worker),
		UntilUnixMillis: encodeTime(q.Until),
		Level:           q.Level,
	}
}

func decodeQuarantine(q *ledgerv1.Quarantine) Quarantine {
	return Quarantine{
		Worker: model.WorkerID(q.GetWorker()),
		Until:  decodeTime(q.GetUntilUnixMillis()),
		Level:  q.GetLevel(),
	}
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func decodeTime(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis).UTC()
}

func workerNames(ids []model.WorkerID) []string {
	if len(ids) == 0 {
		return nil
	}
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return names
}

func workerIDs(names []string) []model.WorkerID {
	if len(names) == 0 {
		return nil
	}
	ids := make([]model.WorkerID, len(names))
	for i, name := range names {
		ids[i] = model.WorkerID(name)
	}
	return ids
}

// marshal encodes a message that this package built. The only possible error is a
// string that is not valid UTF-8, which the checks in rules.go have rejected, so
// marshal panics on an error.
func marshal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(&CorruptError{Reason: CorruptValue, Cause: err})
	}
	return b
}
