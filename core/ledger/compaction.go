package ledger

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
)

const (
	// partsPerTxn is the share of a transaction that one part of a snapshot may
	// fill, leaving room for a delta.
	partsPerTxn = 2
	// minDeltaShare is the least share of a snapshot's size that the deltas after
	// it must have for a new one, unless there are very many: rewriting a large
	// snapshot after few changes would cost more than it saves.
	minDeltaShare = 4
	// maxDeltasFactor is how many times MaxDeltas there may be whatever their size,
	// so that replay stays bounded.
	maxDeltasFactor = 16
)

// compaction writes a snapshot of the state at one sequence, a part with each
// commit.
type compaction struct {
	sequence uint64
	parts    []*part
	// deltas and deltaBytes count what was committed since, and so remains
	// after the compaction.
	deltas     int
	deltaBytes int
}

// part is one value of a snapshot. The last one is written to the snapshot key
// and makes the snapshot valid.
type part struct {
	number int
	last   bool
	value  []byte
}

// compactionDue reports whether the deltas are long enough for a snapshot.
func (l *Ledger) compactionDue() bool {
	long := l.deltas >= l.options.MaxDeltas || l.deltaBytes >= l.options.MaxDeltaBytes
	worth := l.deltaBytes*minDeltaShare >= l.snapshotBytes
	return long && worth || l.deltas >= maxDeltasFactor*l.options.MaxDeltas
}

// startCompaction captures what is committed.
func (l *Ledger) startCompaction() {
	l.compaction = &compaction{sequence: l.committed.sequence}
	s := &ledgerv1.Snapshot{Sequence: l.committed.sequence}
	for _, q := range l.committed.Quarantines() {
		s.Quarantines = append(s.Quarantines, encodeQuarantine(q))
	}
	size, limit := 0, l.txnLimit/partsPerTxn
	l.committed.ordered.Ascend(func(t *Task) bool {
		m := encodeTask(t)
		record := proto.Size(m) + entryOverhead
		if size+record > limit {
			l.compaction.add(s)
			s = &ledgerv1.Snapshot{Sequence: l.committed.sequence}
			size = 0
		}
		s.Tasks = append(s.Tasks, m)
		size += record
		return true
	})
	l.compaction.add(s)
	l.compaction.parts[len(l.compaction.parts)-1].last = true
}

func (c *compaction) add(s *ledgerv1.Snapshot) {
	c.parts = append(c.parts, &part{number: len(c.parts), value: marshal(s)})
}

// addPart adds the part to the batch. Deltas and parts that the snapshot makes
// obsolete are deleted with its last part, in one transaction: a reader sees
// either the old snapshot with all its deltas or the new one.
func (l *Ledger) addPart(b *batch, sequence uint64, p *part) {
	b.part = p
	if !p.last {
		b.put(l.prefix+partOf(sequence, p.number), p.value)
		return
	}
	b.put(l.prefix+snapshotName, p.value)
	b.deleteRange(l.prefix+deltaName, l.prefix+deltaName+sequenceName(sequence+1))
	b.deleteRange(l.prefix+partName, l.prefix+partName+sequenceName(sequence))
}

// partCommitted moves on to the next part. revision is the store's revision of
// the commit that carried it.
func (l *Ledger) partCommitted(p *part, revision int64) {
	if !p.last {
		l.compaction.parts = l.compaction.parts[1:]
		l.writtenBytes += len(p.value)
		return
	}
	l.snapshotRevision = revision
	l.snapshotBytes = l.writtenBytes + len(p.value)
	l.writtenBytes = 0
	l.deltas = l.compaction.deltas
	l.deltaBytes = l.compaction.deltaBytes
	l.compaction = nil
}
