package ledger

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Phase is the phase of a ledger.
type Phase uint8

// The phases of a ledger. An idle ledger is not owned by this daemon. A loading
// one reads the stored ledger. A resolving one determines the outcome of a
// commit; like an active one, it accepts proposals.
const (
	Idle Phase = iota
	Loading
	Active
	Resolving
)

var phaseNames = [...]string{"idle", "loading", "active", "resolving"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// Ledger is the state machine of one shard's ledger. It is not safe for
// concurrent use.
type Ledger struct {
	shard   model.ShardID
	writer  string
	options Options
	prefix  string

	phase     Phase
	epoch     model.Epoch
	committed *Contents
	effective *Contents

	// queue contains the accepted entries that are not in flight.
	queue []entry
	// urgent is set if the queue must be flushed without waiting for the flush
	// interval.
	urgent   bool
	inFlight *inFlight
	// lastID is the ID of the latest call. It is never reset, so that a response
	// that arrives after a change of owner is not matched with a later call.
	lastID         uint64
	writerSequence uint64
	nextFlush      time.Time

	snapshotRevision int64
	snapshotBytes    int
	deltas           int
	deltaBytes       int
	compaction       *compaction
	// writtenBytes is the size of the parts that the current compaction has
	// written.
	writtenBytes int
	txnLimit     int

	loadRetry retry
	inbox     inbox
}

// New returns an idle ledger. writer identifies this process in its commits. It
// must be different after each restart of the process.
func New(shard model.ShardID, writer string, o Options) *Ledger {
	l := &Ledger{
		shard:    shard,
		writer:   writer,
		options:  o.withDefaults(),
		prefix:   ShardPrefix(o.KeyPrefix, shard),
		txnLimit: maxTxnBytes,
	}
	l.reset()
	return l
}

// Contents returns a view of the committed state.
func (l *Ledger) Contents() *Contents { return l.committed }

// Effective returns a view of the committed state with all accepted proposals
// applied.
func (l *Ledger) Effective() *Contents { return l.effective }

// Phase returns the current phase.
func (l *Ledger) Phase() Phase { return l.phase }

// Step handles one event and returns the commands to execute, in order.
func (l *Ledger) Step(now time.Time, ev Event) []Command {
	switch ev := ev.(type) {
	case Acquired:
		return l.acquired(ev)
	case LoadAnswered:
		return l.loadAnswered(now, ev)
	case Propose:
		return l.propose(now, ev)
	case TxnAnswered:
		return l.txnAnswered(now, ev)
	case ReadAnswered:
		return l.readAnswered(now, ev)
	case InboxNotice:
		return l.inboxNotice()
	case InboxListed:
		return l.inboxListed(now, ev)
	case OwnershipLost:
		return l.abandon()
	case Tick:
		return l.tick(now)
	}
	return nil
}

// reset makes the ledger idle and empty.
func (l *Ledger) reset() {
	l.phase = Idle
	l.epoch = 0
	l.committed = newContents()
	l.effective = newContents()
	l.queue = nil
	l.urgent = false
	l.inFlight = nil
	l.nextFlush = time.Time{}
	l.snapshotRevision = 0
	l.snapshotBytes = 0
	l.deltas = 0
	l.deltaBytes = 0
	l.compaction = nil
	l.writtenBytes = 0
	l.loadRetry = l.newRetry()
	l.inbox = inbox{}
}

func (l *Ledger) acquired(ev Acquired) []Command {
	if l.phase != Idle && l.epoch == ev.Epoch {
		return nil
	}
	commands := l.abandon()
	l.phase = Loading
	l.epoch = ev.Epoch
	return append(commands, Load{Prefix: l.prefix})
}

func (l *Ledger) loadAnswered(now time.Time, ev LoadAnswered) []Command {
	if l.phase != Loading {
		return nil
	}
	if ev.Err != nil || ev.Revision < int64(l.epoch) {
		l.loadRetry.schedule(now)
		return nil
	}
	stored, err := Read(l.options.KeyPrefix, l.shard, ev.KVs)
	if err != nil {
		return l.standDown(StandDownCorrupt, err)
	}
	if stored.Epoch != l.epoch {
		return l.standDown(StandDownOwnerChanged, nil)
	}
	return l.activate(now, stored)
}

func (l *Ledger) activate(now time.Time, stored *Stored) []Command {
	l.phase = Active
	l.committed = stored.Contents
	l.effective = stored.Contents.clone()
	l.snapshotRevision = stored.snapshotRevision
	l.snapshotBytes = stored.snapshotBytes
	l.deltas = stored.deltas
	l.deltaBytes = stored.deltaBytes
	l.inbox.next = now.Add(l.options.InboxInterval)
	loaded := Loaded{
		Sequence: l.committed.sequence,
		Tasks:    l.committed.Len(),
		Received: len(stored.Inbox),
	}
	commands := []Command{loaded}
	commands = append(commands, dropUnreadable(stored.Unreadable)...)
	commands = append(commands, l.accept(receives(stored.Inbox))...)
	return append(commands, l.flush(now)...)
}

func (l *Ledger) propose(now time.Time, ev Propose) []Command {
	if l.phase != Active && l.phase != Resolving {
		return dropped(ev.Changes, DropNotActive)
	}
	commands := l.accept(ev.Changes)
	l.urgent = l.urgent || ev.Urgent
	return append(commands, l.flush(now)...)
}

// accept queues the changes that the rules allow on the effective contents and
// drops the others.
func (l *Ledger) accept(changes []Change) []Command {
	var commands []Command
	for _, c := range changes {
		e, reason := check(l.effective, l.shard, c)
		if reason != "" {
			commands = append(commands, dropped([]Change{c}, reason)...)
			continue
		}
		e.apply(l.effective)
		l.queue = append(l.queue, e)
	}
	return commands
}

// flush sends the next commit unless the queue is empty, a commit is in flight or
// the flush interval has not passed.
func (l *Ledger) flush(now time.Time) []Command {
	if l.phase != Active || l.inFlight != nil || len(l.queue) == 0 {
		return nil
	}
	if l.options.FlushInterval > 0 && !l.urgent && now.Before(l.nextFlush) {
		return nil
	}
	l.nextFlush = now.Add(l.options.FlushInterval)
	l.inFlight = l.newInFlight(l.nextBatch())
	l.urgent = len(l.queue) > 0
	return l.send()
}

// nextBatch removes entries from the head of the queue and returns a commit of
// them.
func (l *Ledger) nextBatch() *batch {
	if l.compaction == nil && l.compactionDue() {
		l.startCompaction()
	}
	limit := l.txnLimit
	if l.compaction != nil {
		limit -= len(l.compaction.parts[0].value)
	}
	n := gather(l.queue, limit)
	entries := l.queue[:n:n]
	l.queue = l.queue[n:]
	return l.newBatch(entries)
}

func (l *Ledger) newBatch(entries []entry) *batch {
	l.writerSequence++
	b := &batch{
		entries:        entries,
		sequence:       l.committed.sequence + 1,
		writerSequence: l.writerSequence,
	}
	deltaKey := l.prefix + deltaName + sequenceName(b.sequence)
	b.require(l.prefix+ownerName, port.CompareCreateRevision, int64(l.epoch))
	b.require(deltaKey, port.CompareCreateRevision, 0)
	b.require(l.prefix+snapshotName, port.CompareModRevision, l.snapshotRevision)
	delta := encodeDelta(entries)
	delta.Sequence = b.sequence
	delta.Writer = l.writer
	delta.WriterSequence = b.writerSequence
	delta.Epoch = int64(l.epoch)
	b.put(deltaKey, marshal(delta))
	b.deltaBytes = b.bytes
	for i := range entries {
		l.addInboxOps(b, &entries[i].change)
	}
	if l.compaction != nil {
		l.addPart(b, l.compaction.sequence, l.compaction.parts[0])
	}
	return b
}

func (l *Ledger) addInboxOps(b *batch, c *Change) {
	switch {
	case c.Handoff != nil:
		b.addHandoff(l.options.KeyPrefix, l.shard, c.Handoff)
	case c.Receive != nil:
		b.addReceive(c.Receive)
	}
}

// batchCommitted applies the batch in flight to the committed contents. revision
// is the store revision of the commit.
func (l *Ledger) batchCommitted(now time.Time, revision int64) []Command {
	b := l.inFlight.batch
	l.inFlight = nil
	l.phase = Active
	for i := range b.entries {
		b.entries[i].apply(l.committed)
	}
	l.committed.sequence = b.sequence
	l.effective.sequence = b.sequence
	l.deltas++
	l.deltaBytes += b.deltaBytes
	if l.compaction != nil {
		l.compaction.deltas++
		l.compaction.deltaBytes += b.deltaBytes
	}
	if b.part != nil {
		l.partCommitted(b.part, revision)
	}
	commands := []Command{Committed{Sequence: b.sequence, Changes: b.changes()}}
	return append(commands, l.flush(now)...)
}

func (l *Ledger) tick(now time.Time) []Command {
	switch l.phase {
	case Idle:
		return nil
	case Loading:
		if l.loadRetry.due(now) {
			return []Command{Load{Prefix: l.prefix}}
		}
		return nil
	}
	commands := l.retryInFlight(now)
	commands = append(commands, l.flush(now)...)
	return append(commands, l.pollInbox(now)...)
}

// abandon drops all uncommitted changes and makes the ledger idle.
func (l *Ledger) abandon() []Command {
	var commands []Command
	if l.inFlight != nil {
		reason := DropOwnershipLost
		if l.inFlight.mayBeCommitted() {
			reason = DropOutcomeUnknown
		}
		commands = dropped(l.inFlight.batch.changes(), reason)
	}
	commands = append(commands, dropped(changesOf(l.queue), DropOwnershipLost)...)
	l.reset()
	return commands
}

func (l *Ledger) standDown(reason StandDownReason, err error) []Command {
	return append(l.abandon(), StandDown{Reason: reason, Err: err})
}

func dropped(changes []Change, reason DropReason) []Command {
	if len(changes) == 0 {
		return nil
	}
	return []Command{Dropped{Changes: changes, Reason: reason}}
}
