package ledger

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/port"
)

// callState is what a commit in flight waits for.
type callState uint8

const (
	// awaitTxn: the transaction was sent.
	awaitTxn callState = iota
	// awaitRead: the shard is being read back.
	awaitRead
	// resend and reread: waiting for the retry's time.
	resend
	reread
)

// inFlight is the one commit that is not yet known to be made.
type inFlight struct {
	batch *batch
	// id is that of the call whose answer is awaited.
	id    uint64
	state callState
	// outcomeUnknown is set once a send had an unknown outcome.
	outcomeUnknown bool
	// refused is set when the store answered that a condition did not hold.
	refused bool
	retry   retry
}

func (l *Ledger) newInFlight(b *batch) *inFlight {
	return &inFlight{batch: b, retry: l.newRetry()}
}

// mayBeCommitted reports whether the commit may have been made.
func (f *inFlight) mayBeCommitted() bool { return f.outcomeUnknown || f.state == awaitTxn }

func (l *Ledger) nextID() uint64 {
	l.lastID++
	return l.lastID
}

// send sends the batch, unchanged when it was sent before.
func (l *Ledger) send() []Command {
	f := l.inFlight
	f.id = l.nextID()
	f.state = awaitTxn
	return []Command{Commit{
		ID:         f.id,
		Conditions: f.batch.conditions,
		Ops:        f.batch.ops,
		Bytes:      f.batch.bytes,
	}}
}

func (l *Ledger) readBack() []Command {
	f := l.inFlight
	f.id = l.nextID()
	f.state = awaitRead
	l.phase = Resolving
	return []Command{ReadBack{ID: f.id, Prefix: l.prefix}}
}

// awaits reports whether the answer with this id is the one waited for.
func (l *Ledger) awaits(id uint64, state callState) bool {
	return l.inFlight != nil && l.inFlight.id == id && l.inFlight.state == state
}

func (l *Ledger) txnAnswered(now time.Time, ev TxnAnswered) []Command {
	if !l.awaits(ev.ID, awaitTxn) {
		return nil
	}
	if ev.Err != nil {
		return l.txnFailed(now, ev.Err)
	}
	if ev.Result.Succeeded {
		return l.batchCommitted(now, ev.Result.Revision)
	}
	// The conditions tell apart neither a lost answer's commit from a new
	// owner nor either from a changed inbox item; what is stored does.
	l.inFlight.refused = true
	return l.readBack()
}

func (l *Ledger) txnFailed(now time.Time, err error) []Command {
	f := l.inFlight
	var failure *port.StoreError
	if !errors.As(err, &failure) || failure.Outcome != port.OutcomeNotDone {
		f.outcomeUnknown = true
		return l.readBack()
	}
	if failure.Kind == port.StoreTooLarge {
		return l.splitBatch(now)
	}
	f.state = resend
	f.retry.schedule(now)
	return nil
}

// splitBatch takes a batch apart that the store refuses for its size, though it is
// within the documented limit: retrying it unchanged would never succeed.
func (l *Ledger) splitBatch(now time.Time) []Command {
	f := l.inFlight
	l.txnLimit = max(l.txnLimit/2, minTxnBytes)
	l.compaction = nil
	l.writtenBytes = 0
	l.requeue(f.batch.entries)
	l.nextFlush = now.Add(l.options.RetryMax)
	return nil
}

// requeue puts entries back at the head of the queue.
func (l *Ledger) requeue(entries []entry) {
	l.queue = append(entries[:len(entries):len(entries)], l.queue...)
	l.inFlight = nil
	l.phase = Active
}

func (l *Ledger) retryInFlight(now time.Time) []Command {
	f := l.inFlight
	if f == nil || !f.retry.due(now) {
		return nil
	}
	if f.state == reread {
		return l.readBack()
	}
	return l.send()
}

func (l *Ledger) readAnswered(now time.Time, ev ReadAnswered) []Command {
	if !l.awaits(ev.ID, awaitRead) {
		return nil
	}
	if ev.Err != nil {
		l.inFlight.state = reread
		l.inFlight.retry.schedule(now)
		return nil
	}
	return l.resolve(now, l.parseReadBack(ev.KVs))
}

// readBackState is what a read back says about the commit in flight.
type readBackState struct {
	epoch            int64
	snapshotRevision int64
	// delta is the value at the batch's own delta key, nil when absent.
	delta         []byte
	deltaRevision int64
	// revisions are the mod revisions of all other keys.
	revisions map[string]int64
}

func (l *Ledger) parseReadBack(kvs []port.KeyValue) readBackState {
	f := readBackState{revisions: make(map[string]int64)}
	deltaKey := l.prefix + deltaName + sequenceName(l.inFlight.batch.sequence)
	for _, kv := range kvs {
		switch kv.Key {
		case l.prefix + ownerName:
			f.epoch = kv.CreateRevision
		case l.prefix + snapshotName:
			f.snapshotRevision = kv.ModRevision
		case deltaKey:
			f.delta = kv.Value
			f.deltaRevision = kv.ModRevision
		default:
			f.revisions[kv.Key] = kv.ModRevision
		}
	}
	return f
}

// resolve decides the fate of the commit in flight from what is stored.
func (l *Ledger) resolve(now time.Time, f readBackState) []Command {
	switch {
	case f.epoch != int64(l.epoch):
		return l.standDown(StandDownOwnerChanged, nil)
	case f.delta != nil && l.isOurs(f.delta):
		return l.batchCommitted(now, f.deltaRevision)
	case f.delta != nil || f.snapshotRevision != l.snapshotRevision:
		return l.standDown(StandDownForeignCommit, nil)
	case l.inFlight.refused:
		return l.conflict(now, f)
	}
	l.inFlight.state = resend
	l.inFlight.retry.schedule(now)
	return nil
}

// isOurs reports whether a delta is the batch in flight.
func (l *Ledger) isOurs(value []byte) bool {
	d := &ledgerv1.Delta{}
	if err := proto.Unmarshal(value, d); err != nil {
		return false
	}
	return d.GetWriter() == l.writer &&
		d.GetWriterSequence() == l.inFlight.batch.writerSequence &&
		d.GetEpoch() == int64(l.epoch)
}

// conflict handles a commit that the store refused though ledger and owner are
// as expected: the conditions on inboxes are what is left. The entries to
// blame are dropped and all others are checked anew, since they may build on
// those.
func (l *Ledger) conflict(now time.Time, f readBackState) []Command {
	entries := l.inFlight.batch.entries
	blamed, reason := staleReceives(entries, f.revisions), DropInboxChanged
	if len(blamed) == 0 {
		blamed, reason = handoffs(entries), DropInboxTaken
	}
	if len(blamed) == 0 {
		l.inFlight.refused = false
		l.inFlight.state = resend
		l.inFlight.retry.schedule(now)
		return nil
	}
	var kept []entry
	var out []Change
	for i, e := range entries {
		if blamed[i] {
			out = append(out, e.change)
		} else {
			kept = append(kept, e)
		}
	}
	l.requeue(kept)
	commands := append(dropped(out, reason), l.rebase()...)
	return append(commands, l.flush(now)...)
}

func staleReceives(entries []entry, revisions map[string]int64) map[int]bool {
	stale := make(map[int]bool)
	for i := range entries {
		item := entries[i].change.Receive
		if item != nil && revisions[item.Key] != item.ModRevision {
			stale[i] = true
		}
	}
	return stale
}

func handoffs(entries []entry) map[int]bool {
	found := make(map[int]bool)
	for i := range entries {
		if entries[i].change.Handoff != nil {
			found[i] = true
		}
	}
	return found
}

// rebase rebuilds the effective contents from what is committed and the queue.
func (l *Ledger) rebase() []Command {
	queue := l.queue
	l.queue = nil
	l.effective = l.committed.clone()
	return l.accept(changesOf(queue))
}
