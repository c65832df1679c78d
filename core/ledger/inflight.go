package ledger

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/port"
)

// callState is the state of the call for a commit in flight.
type callState uint8

const (
	// awaitTxn: the transaction was sent and not answered yet.
	awaitTxn callState = iota
	// awaitRead: the shard is being read back to determine the outcome.
	awaitRead
	// resend and reread: the call is retried after a delay.
	resend
	reread
)

// inFlight is the commit that was sent and whose outcome is not known yet.
type inFlight struct {
	batch *batch
	// id is the ID of the call in flight.
	id    uint64
	state callState
	// outcomeUnknown is set once the transaction had an unknown outcome.
	outcomeUnknown bool
	// refused is set if the store answered that a condition did not hold.
	refused bool
	retry   retry
}

func (l *Ledger) newInFlight(b *batch) *inFlight {
	return &inFlight{batch: b, retry: l.newRetry()}
}

// mayBeCommitted reports whether the commit may have been applied.
func (f *inFlight) mayBeCommitted() bool { return f.outcomeUnknown || f.state == awaitTxn }

func (l *Ledger) nextID() uint64 {
	l.lastID++
	return l.lastID
}

// send sends the batch. A batch that was sent before is sent unchanged.
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

// awaits reports whether the call with this ID is in flight in the given state.
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
	// A failed condition can mean that an earlier copy of this commit was
	// applied, that there is a new owner, or that an inbox item changed. Reading
	// the shard back distinguishes these cases.
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

// splitBatch halves the size limit and returns the batch to the queue after the
// store refused it as too large, although it is within the documented limit.
// Retrying it unchanged would never succeed. A compaction in progress is abandoned.
func (l *Ledger) splitBatch(now time.Time) []Command {
	f := l.inFlight
	l.txnLimit = max(l.txnLimit/2, minTxnBytes)
	l.compaction = nil
	l.writtenBytes = 0
	l.requeue(f.batch.entries)
	l.nextFlush = now.Add(l.options.RetryMax)
	return nil
}

// requeue returns entries to the head of the queue; no commit is in flight after
// that.
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

// readBackState is what a read-back returned about the commit in flight.
type readBackState struct {
	epoch            int64
	snapshotRevision int64
	// delta is the value of the batch's delta key, nil if the key is absent.
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

// resolve determines the outcome of the commit in flight from the stored state.
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

// isOurs reports whether a delta is that of the batch in flight.
func (l *Ledger) isOurs(value []byte) bool {
	d := &ledgerv1.Delta{}
	if err := proto.Unmarshal(value, d); err != nil {
		return false
	}
	return d.GetWriter() == l.writer &&
		d.GetWriterSequence() == l.inFlight.batch.writerSequence &&
		d.GetEpoch() == int64(l.epoch)
}

// conflict handles a commit that the store refused although the ledger and the
// owner are as expected, which leaves the conditions on inbox items. The entries
// whose conditions failed are dropped: receives of changed items or, if there are
// none, all handoffs. All other entries are checked again, because they may depend
// on the dropped ones.
func (l *Ledger) conflict(now time.Time, f readBackState) []Command {
	entries := l.inFlight.batch.entries
	conflicting, reason := staleReceives(entries, f.revisions), DropInboxChanged
	if len(conflicting) == 0 {
		conflicting, reason = handoffs(entries), DropInboxTaken
	}
	if len(conflicting) == 0 {
		l.inFlight.refused = false
		l.inFlight.state = resend
		l.inFlight.retry.schedule(now)
		return nil
	}
	var kept []entry
	var out []Change
	for i, e := range entries {
		if conflicting[i] {
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

// rebase rebuilds the effective contents from the committed contents and the
// queue, whose entries are checked again.
func (l *Ledger) rebase() []Command {
	queue := l.queue
	l.queue = nil
	l.effective = l.committed.clone()
	return l.accept(changesOf(queue))
}
