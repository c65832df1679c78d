package config

import (
	"errors"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// ApplyOp carries one operator's change through the store. It is driven by
// Step, does one thing at a time and ends with one ApplyFinished.
//
// A compare-and-swap whose answer was lost may have taken effect, may take
// effect later, or may never. The operation reads back and looks for its own
// writer id at the revision it wrote, which later acceptances keep for a while.
// Found: accepted. Another writer's there: it lost, for good, since the key's
// mod revision has moved on. Key unchanged: the write may still be on its way,
// so the same compare-and-swap is sent again; at most one of the two can take
// effect, as both name the same mod revision.
type ApplyOp struct {
	decider decider
	options ApplyOptions

	phase   applyPhase
	pending *proposal
	delay   time.Duration
	wakeAt  time.Time
	// cause is the latest failure of a call.
	cause error
}

type applyPhase uint8

const (
	applyIdle applyPhase = iota
	applyReading
	applyCommitting
	applyWaiting
	applyDone
)

// proposal is a configuration that was, or is to be, sent to the store.
type proposal struct {
	next  *Accepted
	diff  Diff
	value []byte
	head  []byte
	// baseMod is the key's mod revision that the proposal replaces.
	baseMod int64
	// inFlight is set while a transaction with it awaits its answer.
	inFlight bool
	// inDoubt is set once such an answer was lost.
	inDoubt bool
	// lost is set when the store answered that the key had moved on.
	lost bool
}

// NewApplyOp returns an operation that awaits ApplyBegin.
func NewApplyOp(request ApplyRequest, options ApplyOptions) *ApplyOp {
	return &ApplyOp{
		decider: decider{request: request},
		options: options,
		delay:   options.RetryDelay,
	}
}

// Step tells the operation of an event and returns what it wants done, at most
// one command. Answers that it does not await are ignored.
func (op *ApplyOp) Step(now time.Time, ev ApplyEvent) []ApplyCommand {
	switch ev := ev.(type) {
	case ApplyBegin:
		if op.phase == applyIdle {
			return op.read(now)
		}
	case ApplyRead:
		if op.phase == applyReading {
			return op.onRead(now, ev)
		}
	case ApplyCommitted:
		if op.phase == applyCommitting {
			return op.onCommitted(now, ev)
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
	case op.late(now):
		return op.giveUp()
	case op.phase == applyWaiting && !now.Before(op.wakeAt):
		return op.read(now)
	}
	return nil
}

func (op *ApplyOp) late(now time.Time) bool { return !now.Before(op.options.Deadline) }

func (op *ApplyOp) read(now time.Time) []ApplyCommand {
	if op.late(now) {
		return op.giveUp()
	}
	op.phase = applyReading
	return []ApplyCommand{ReadConfig{Key: op.options.Key}}
}

func (op *ApplyOp) onRead(now time.Time, ev ApplyRead) []ApplyCommand {
	if ev.Err != nil {
		return op.retry(now, ev.Err)
	}
	current, err := Unmarshal(ev.KV)
	if err != nil {
		op.cause = err
		return op.giveUp()
	}
	if known := op.decider.request.Known; revisionOf(current) < known {
		op.cause = &RevisionLowerError{Stored: revisionOf(current), Known: known}
		return op.giveUp()
	}
	if op.pending != nil {
		return op.settle(now, ev.KV.ModRevision, current)
	}
	return op.propose(now, ev.KV.ModRevision, current)
}

// propose decides what to make of current and sends it.
func (op *ApplyOp) propose(now time.Time, mod int64, current *Accepted) []ApplyCommand {
	next, diff, result := op.decider.decide(current)
	if result != nil {
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
	op.pending = &proposal{next: next, diff: diff, value: value, head: head, baseMod: mod}
	return op.commit(now)
}

// commit sends the pending proposal. The condition is on the configuration
// alone: a head that was lost or changed by someone else must not keep changes
// from being made, and is right again with the next one.
func (op *ApplyOp) commit(now time.Time) []ApplyCommand {
	if op.late(now) {
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

func (op *ApplyOp) onCommitted(now time.Time, ev ApplyCommitted) []ApplyCommand {
	op.pending.inFlight = false
	if ev.Err != nil {
		return op.onCommitFailed(now, ev.Err)
	}
	if ev.Result.Succeeded {
		return op.finish(op.accepted())
	}
	op.pending.lost = true
	return op.read(now)
}

// onCommitFailed counts every failure as in doubt that the store's adapter does
// not call certain.
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

// settle finds out from a read what became of the pending proposal.
func (op *ApplyOp) settle(now time.Time, mod int64, current *Accepted) []ApplyCommand {
	p := op.pending
	if mod == p.baseMod {
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
	return op.propose(now, mod, current)
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
	if op.late(op.wakeAt) {
		return op.giveUp()
	}
	op.delay = min(2*op.delay, max(op.options.MaxRetryDelay, op.options.RetryDelay))
	op.phase = applyWaiting
	return []ApplyCommand{WaitUntil{Time: op.wakeAt}}
}

func (op *ApplyOp) accepted() ApplyResult {
	return ApplyAccepted{Revision: op.pending.next.Revision, Diff: op.pending.diff, Config: op.pending.next}
}

// giveUp ends the operation with what is certain by now.
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
	case p.lost:
		return op.finish(ApplyConflict{Base: op.decider.base})
	}
	return op.finish(ApplyNotMade{Cause: cause})
}

func (op *ApplyOp) finish(result ApplyResult) []ApplyCommand {
	op.phase = applyDone
	return []ApplyCommand{ApplyFinished{Result: result}}
}
