package config

import (
	"errors"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// ApplyOp is a state machine that applies one operator's change to the store.
// The caller drives it with Step and executes the commands, at most one at a
// time. It ends with one ApplyFinished.
//
// A compare-and-swap whose response was lost may have taken effect, may take
// effect later, or may never take effect. The operation then reads the key back
// and looks up the writer of the revision that it wrote; the writers of the
// latest MaxWriters revisions are stored:
//   - Its own writer id: the change was accepted.
//   - Another writer id: the write has failed for good, since the mod revision
//     of the key has changed.
//   - Key unchanged: the write may still be in flight. The same
//     compare-and-swap is sent again; at most one of the two can take effect,
//     since both are conditional on the same mod revision.
//   - Writer no longer listed: the outcome is unknown if a response was lost.
//
// An operator who is told that there is nothing to do relies on the configuration
// that was read. It is written again first, unchanged, so that no earlier change whose
// response was lost can be made afterwards.
type ApplyOp struct {
	decider decider
	options ApplyOptions

	phase   applyPhase
	pending *proposal
	// unchanged is the result that is given once the configuration is confirmed.
	unchanged ApplyResult
	delay     time.Duration
	wakeAt    time.Time
	// cause is the error of the latest failed call.
	cause error
}

type applyPhase uint8

const (
	applyIdle applyPhase = iota
	applyReading
	applyCommitting
	applyConfirming
	applyWaiting
	applyDone
)

// proposal is a configuration that was sent, or is about to be sent, to the
// store.
type proposal struct {
	next  *Accepted
	diff  Diff
	value []byte
	head  []byte
	// baseMod is the mod revision of the key that the proposal replaces.
	baseMod int64
	// inFlight is set while a transaction with the proposal awaits its response.
	inFlight bool
	// inDoubt is set once the response to such a transaction was lost.
	inDoubt bool
	// superseded is set when the store reported that the mod revision of the key no
	// longer matched.
	superseded bool
}

// NewApplyOp returns an operation that starts with the event ApplyBegin.
func NewApplyOp(request ApplyRequest, options ApplyOptions) *ApplyOp {
	return &ApplyOp{
		decider: decider{request: request},
		options: options,
		delay:   options.RetryDelay,
	}
}

// Step processes an event and returns the commands to execute, at most one.
// Responses that the operation does not wait for are ignored.
func (op *ApplyOp) Step(now time.Time, ev ApplyEvent) []ApplyCommand {
	switch ev := ev.(type) {
	case ApplyBegin:
		if op.phase == applyIdle {
			return op.read(now)
		}
	case ApplyReadDone:
		if op.phase == applyReading {
			return op.onRead(now, ev)
		}
	case ApplyCommitDone:
		switch op.phase {
		case applyCommitting:
			return op.onCommitted(now, ev)
		case applyConfirming:
			return op.onConfirmed(now, ev)
		}
	case ApplyTick:
		return op.onTick(now)
	}
	return nil
}

func (op *ApplyOp) onTick(now time.Time) []ApplyCommand {
	switch {
	case op.phase == applyIdle || op.phase == applyDone:
		return nil
	case op.deadlinePassed(now):
		return op.giveUp()
	case op.phase == applyWaiting && !now.Before(op.wakeAt):
		return op.read(now)
	}
	return nil
}

func (op *ApplyOp) deadlinePassed(now time.Time) bool { return !now.Before(op.options.Deadline) }

func (op *ApplyOp) read(now time.Time) []ApplyCommand {
	if op.deadlinePassed(now) {
		return op.giveUp()
	}
	op.phase = applyReading
	return []ApplyCommand{ReadConfig{Key: op.options.Key}}
}

func (op *ApplyOp) onRead(now time.Time, ev ApplyReadDone) []ApplyCommand {
	if ev.Err != nil {
		return op.retry(now, ev.Err)
	}
	current, err := Unmarshal(ev.KV)
	if err != nil {
		op.cause = err
		return op.giveUp()
	}
	if known := op.decider.request.Known; revisionOf(current) < known {
		op.cause = &RevisionRegressedError{Stored: revisionOf(current), Known: known}
		return op.giveUp()
	}
	if op.pending != nil {
		return op.resolvePending(now, ev.KV, current)
	}
	return op.propose(now, ev.KV, current)
}

// propose derives the next configuration from current and sends it, or finishes
// if there is nothing to send.
func (op *ApplyOp) propose(now time.Time, kv port.KeyValue, current *Accepted) []ApplyCommand {
	next, diff, result := op.decider.decide(current)
	switch {
	case result != nil && current != nil && op.decider.saysNothingToDo(result):
		return op.confirm(kv, current, result)
	case result != nil:
		return op.finish(result)
	}
	value, err := next.Marshal()
	if err != nil {
		return op.finish(ApplyNotMade{Cause: err})
	}
	head, err := MarshalHead(next.Revision)
	if err != nil {
		return op.finish(ApplyNotMade{Cause: err})
	}
	op.pending = &proposal{next: next, diff: diff, value: value, head: head, baseMod: kv.ModRevision}
	return op.commit(now)
}

// confirm writes the configuration again as it was read. The change of an earlier operator
// whose response was lost is conditional on the mod revision of the key, and could
// otherwise be made after this operator was told that there is nothing to do.
func (op *ApplyOp) confirm(kv port.KeyValue, current *Accepted, result ApplyResult) []ApplyCommand {
	head, err := MarshalHead(current.Revision)
	if err != nil {
		return op.finish(ApplyNotMade{Cause: err})
	}
	op.phase, op.unchanged = applyConfirming, result
	return []ApplyCommand{CommitConfig{
		Conditions: []port.Condition{{Key: kv.Key, Kind: port.CompareModRevision, Revision: kv.ModRevision}},
		Ops:        []port.Op{{Key: kv.Key, Value: kv.Value}, {Key: op.options.HeadKey, Value: head}},
	}}
}

// onConfirmed gives the result if nothing was changed since the configuration was read,
// and decides again otherwise.
func (op *ApplyOp) onConfirmed(now time.Time, ev ApplyCommitDone) []ApplyCommand {
	switch {
	case ev.Err != nil:
		return op.retry(now, ev.Err)
	case ev.Result.Succeeded:
		return op.finish(op.unchanged)
	}
	return op.read(now)
}

// commit sends the pending proposal. The transaction is conditional on the
// configuration key only: a head key that was deleted or overwritten must not
// block changes, and the next change corrects it.
func (op *ApplyOp) commit(now time.Time) []ApplyCommand {
	if op.deadlinePassed(now) {
		return op.giveUp()
	}
	op.phase = applyCommitting
	p := op.pending
	p.inFlight = true
	key := op.options.Key
	return []ApplyCommand{CommitConfig{
		Conditions: []port.Condition{{Key: key, Kind: port.CompareModRevision, Revision: p.baseMod}},
		Ops:        []port.Op{{Key: key, Value: p.value}, {Key: op.options.HeadKey, Value: p.head}},
	}}
}

func (op *ApplyOp) onCommitted(now time.Time, ev ApplyCommitDone) []ApplyCommand {
	op.pending.inFlight = false
	if ev.Err != nil {
		return op.onCommitFailed(now, ev.Err)
	}
	if ev.Result.Succeeded {
		return op.finish(op.accepted())
	}
	op.pending.superseded = true
	return op.read(now)
}

// onCommitFailed marks the proposal as in doubt unless the store adapter reports
// that the transaction was certainly not executed.
func (op *ApplyOp) onCommitFailed(now time.Time, err error) []ApplyCommand {
	var failed *port.StoreError
	known := errors.As(err, &failed)
	if !known || failed.Outcome != port.OutcomeNotDone {
		op.pending.inDoubt = true
	}
	if known && failed.Kind == port.StoreTooLarge {
		op.cause = err
		return op.giveUp()
	}
	return op.retry(now, err)
}

// resolvePending determines the outcome of the pending proposal from a read that
// returned current in kv.
func (op *ApplyOp) resolvePending(now time.Time, kv port.KeyValue, current *Accepted) []ApplyCommand {
	p := op.pending
	if kv.ModRevision == p.baseMod {
		return op.commit(now)
	}
	writer, known := writerAt(current, p.next.Revision)
	if known && writer == op.decider.request.Writer {
		return op.finish(op.accepted())
	}
	if !known && p.inDoubt {
		return op.giveUp()
	}
	op.pending = nil
	return op.propose(now, kv, current)
}

func writerAt(a *Accepted, revision model.Revision) (string, bool) {
	if a == nil {
		return "", false
	}
	return a.WriterOf(revision)
}

func (op *ApplyOp) retry(now time.Time, cause error) []ApplyCommand {
	op.cause = cause
	op.wakeAt = now.Add(op.delay)
	if op.deadlinePassed(op.wakeAt) {
		return op.giveUp()
	}
	op.delay = min(2*op.delay, max(op.options.MaxRetryDelay, op.options.RetryDelay))
	op.phase = applyWaiting
	return []ApplyCommand{WaitUntil{Time: op.wakeAt}}
}

func (op *ApplyOp) accepted() ApplyResult {
	return ApplyAccepted{Revision: op.pending.next.Revision, Diff: op.pending.diff, Config: op.pending.next}
}

// giveUp ends the operation with the result that is certain at this point.
func (op *ApplyOp) giveUp() []ApplyCommand {
	cause := op.cause
	if cause == nil {
		cause = &DeadlineError{}
	}
	p := op.pending
	switch {
	case p == nil:
		return op.finish(ApplyNotMade{Cause: cause})
	case p.inDoubt, p.inFlight:
		return op.finish(ApplyUnknown{Revision: p.next.Revision, Writer: op.decider.request.Writer, Cause: cause})
	case p.superseded:
		return op.finish(ApplyConflict{Base: op.decider.base})
	}
	return op.finish(ApplyNotMade{Cause: cause})
}

func (op *ApplyOp) finish(result ApplyResult) []ApplyCommand {
	op.phase = applyDone
	return []ApplyCommand{ApplyFinished{Result: result}}
}
