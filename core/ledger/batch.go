package ledger

import (
	"maps"
	"slices"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// The limits of one transaction.
const (
	// maxTxnBytes is the maximum total size of the values of a transaction. It
	// leaves 64 KiB below the store's limit for keys and framing.
	maxTxnBytes = port.MaxValueBytes - 64<<10
	// minTxnBytes is the lower limit to which the maximum size is reduced when the
	// store refuses transactions as too large.
	minTxnBytes = 2 * MaxRecordBytes
	// maxInboxOps is the maximum number of handoffs and receives in one
	// transaction; stores commonly accept no more than 128 operations.
	maxInboxOps = 100
	// entryOverhead is the size, in bytes, allowed for the framing of one record in
	// a delta.
	entryOverhead = 8
)

// batch is one group commit. It is not modified once it was sent.
type batch struct {
	entries  []entry
	sequence uint64
	// writerSequence distinguishes this commit from every other one that this
	// writer sent.
	writerSequence uint64
	conditions     []port.Condition
	ops            []port.Op
	bytes          int
	deltaBytes     int
	// part is the snapshot part that the batch carries, or nil.
	part *part
}

// gather returns the number of entries at the head of the queue that fit into one
// commit of at most limit bytes, but at least one. A commit contains at most
// maxInboxOps handoffs and receives, and no two of them for the same task.
func gather(queue []entry, limit int) int {
	bytes, inboxOps := 0, 0
	inboxTasks := make(map[model.TaskKey]bool)
	for i := range queue {
		e := &queue[i]
		bytes += e.size + entryOverhead
		if e.change.Handoff != nil || e.change.Receive != nil {
			inboxOps++
			key, _ := e.change.TaskKey()
			if inboxTasks[key] {
				return i
			}
			inboxTasks[key] = true
		}
		if i > 0 && (bytes > limit || inboxOps > maxInboxOps) {
			return i
		}
	}
	return len(queue)
}

// encodeDelta returns the delta with the effect of entries. Of several changes to
// one task or one quarantine, only the last is contained.
func encodeDelta(entries []entry) *ledgerv1.Delta {
	puts := make(map[model.TaskKey]*Task, len(entries))
	quarantines := make(map[model.WorkerID]Quarantine)
	for i := range entries {
		e := &entries[i]
		switch {
		case e.put != nil:
			puts[e.put.Key] = e.put
		case e.remove != nil:
			puts[*e.remove] = nil
		case e.quarantine != nil:
			quarantines[e.quarantine.Worker] = *e.quarantine
		}
	}
	d := &ledgerv1.Delta{}
	for _, key := range sortedKeys(puts) {
		if t := puts[key]; t != nil {
			d.Tasks = append(d.Tasks, encodeTask(t))
		} else {
			d.Removed = append(d.Removed, encodeKey(key))
		}
	}
	for _, worker := range slices.Sorted(maps.Keys(quarantines)) {
		d.Quarantines = append(d.Quarantines, encodeQuarantine(quarantines[worker]))
	}
	return d
}

func sortedKeys(puts map[model.TaskKey]*Task) []model.TaskKey {
	return slices.SortedFunc(maps.Keys(puts), model.TaskKey.Compare)
}

func (b *batch) require(key string, kind port.CompareKind, revision int64) {
	b.conditions = append(b.conditions, port.Condition{Key: key, Kind: kind, Revision: revision})
}

func (b *batch) put(key string, value []byte) {
	b.ops = append(b.ops, port.Op{Key: key, Value: value})
	b.bytes += len(value)
}

func (b *batch) deleteRange(from, to string) {
	b.ops = append(b.ops, port.Op{Key: from, RangeEnd: to, Delete: true})
}

// addHandoff puts the task into the receiver's inbox, on the condition that it
// does not overwrite an item that was not received yet.
func (b *batch) addHandoff(keyPrefix string, own model.ShardID, h *Handoff) {
	key := InboxKey(keyPrefix, h.To, h.Task.Key)
	b.require(key, port.CompareCreateRevision, 0)
	b.put(key, marshal(&ledgerv1.InboxEntry{
		Task:      encodeTask(&h.Task),
		FromShard: uint32(own),
	}))
}

// addReceive deletes the inbox item, on the condition that it is the one that was
// read.
func (b *batch) addReceive(item *InboxItem) {
	b.require(item.Key, port.CompareModRevision, item.ModRevision)
	b.ops = append(b.ops, port.Op{Key: item.Key, Delete: true})
}

func (b *batch) changes() []Change { return changesOf(b.entries) }

func changesOf(entries []entry) []Change {
	changes := make([]Change, len(entries))
	for i := range entries {
		changes[i] = entries[i].change
	}
	return changes
}
