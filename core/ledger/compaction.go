package ledger

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
)

const (
	// partsPerTxn is the divisor of the transaction limit that gives the maximum
	// size of a snapshot part. The rest of the transaction is for the delta.
	partsPerTxn = 2
	// minDeltaShare is the divisor of the snapshot's size that gives the minimum total
	// size of the deltas for a compaction, unless there are very many deltas.
	// Rewriting a large snapshot after few changes would cost more than it saves.
	minDeltaShare = 4
	// maxDeltasFactor is the multiple of MaxDeltas at which a compaction is due
	// regardless of the size of the deltas, so that the time for replay is bounded.
	maxDeltasFactor = 16
)

// compaction is the state of writing a snapshot of the contents at one sequence,
// one part with each commit.
type compaction struct {
	sequence uint64
	parts    []*part
	// deltas and deltaBytes are the number and size of the deltas committed since
	// the start of the compaction, which remain after it.
	deltas     int
	deltaBytes int
}

// part is one value of a snapshot. The last part is written to the snapshot key,
// which makes the snapshot valid.
type part struct {
	number int
	last   bool
	value  []byte
}

// compactionDue reports whether the deltas are numerous or large enough for a new
// snapshot.
func (l *Ledger) compactionDue() bool {
	long := l.deltas >= l.options.MaxDeltas || l.deltaBytes >= l.options.MaxDeltaBytes
	worth := l.deltaBytes*minDeltaShare >= l.snapshotBytes
	return long && worth || l.deltas >= maxDeltasFactor*l.options.MaxDeltas
}

// startCompaction encodes the committed contents into snapshot parts.
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

// addPart adds the part to the batch. The transaction with the last part also
// deletes the deltas and parts that the snapshot makes obsolete, so a reader sees
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

// partCommitted advances the compaction to the next part, or finishes it after
// the last. revision is the store revision of the commit that carried the part.
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
