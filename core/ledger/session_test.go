package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

var (
	unknownOutcome = &port.StoreError{Call: "Txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	notDone        = &port.StoreError{Call: "Txn", Kind: port.StoreUnavailable, Outcome: port.OutcomeNotDone}
)

// session drives one Ledger against a fake store and records its events and
// commands.
type session struct {
	t      testing.TB
	start  time.Time
	now    time.Time
	store  *fakeStore
	ledger *ledger.Ledger
	epoch  model.Epoch
	text   strings.Builder
	// last is the latest command that is a call to the store.
	last ledger.Command
}

func newSession(t testing.TB, writer string, o ledger.Options) *session {
	start := time.Unix(1_700_000_000, 0)
	o.KeyPrefix = prefix
	return &session{
		t: t, start: start, now: start,
		store:  newFakeStore(func([]port.Op) {}),
		ledger: ledger.New(0, writer, o),
	}
}

// own writes a new owner key and loads the ledger under its epoch.
func (s *session) own() {
	s.changeOwner()
	s.step(ledger.Acquired{Epoch: s.epoch})
	s.answer()
}

func (s *session) changeOwner() {
	key := ledger.OwnerKey(prefix, 0)
	s.store.txn(nil, []port.Op{{Key: key, Delete: true}})
	s.store.txn(nil, []port.Op{{Key: key, Value: []byte("owner")}})
	s.epoch = model.Epoch(s.store.revision)
}

func (s *session) step(ev ledger.Event) []ledger.Command {
	fmt.Fprintf(&s.text, "%s > %s\n", s.now.Sub(s.start), describeEvent(ev))
	commands := s.ledger.Step(s.now, ev)
	for _, c := range commands {
		fmt.Fprintf(&s.text, "     < %s\n", describeCommand(c))
		switch c.(type) {
		case ledger.Load, ledger.Commit, ledger.ReadBack, ledger.ListInbox:
			s.last = c
		}
	}
	return commands
}

func (s *session) tick(after time.Duration) []ledger.Command {
	s.now = s.now.Add(after)
	return s.step(ledger.Tick{})
}

func (s *session) propose(changes ...ledger.Change) []ledger.Command {
	return s.step(ledger.Propose{Changes: changes})
}

// execute executes the latest call and returns its result.
func (s *session) execute() ledger.Event {
	switch c := s.last.(type) {
	case ledger.Load:
		return ledger.LoadAnswered{KVs: s.store.list(c.Prefix), Revision: s.store.revision}
	case ledger.Commit:
		if c.Bytes > port.MaxValueBytes {
			s.t.Errorf("a transaction of %d bytes", c.Bytes)
		}
		return ledger.TxnAnswered{ID: c.ID, Result: s.store.txn(c.Conditions, c.Ops)}
	case ledger.ReadBack:
		return ledger.ReadAnswered{ID: c.ID, KVs: s.store.list(c.Prefix)}
	case ledger.ListInbox:
		return ledger.InboxListed{KVs: s.store.list(c.Prefix)}
	}
	s.t.Fatalf("no call to execute: %v", s.last)
	return nil
}

func (s *session) answer() []ledger.Command { return s.step(s.execute()) }

// answerAll executes calls and reports their results until no call is in flight.
func (s *session) answerAll() {
	for s.last != nil {
		ev := s.execute()
		s.last = nil
		s.step(ev)
	}
}

func (s *session) failLast(err error) []ledger.Command {
	return s.step(ledger.TxnAnswered{ID: s.last.(ledger.Commit).ID, Err: err})
}

func (s *session) golden(name string) {
	t := s.t.(*testing.T)
	goldie.New(t).Assert(t, name, []byte(s.text.String()))
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.text, "# "+format+"\n", args...)
}

func describeEvent(ev ledger.Event) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", ev), "ledger.")
	switch ev := ev.(type) {
	case ledger.Acquired:
		return fmt.Sprintf("%s epoch %d", name, ev.Epoch)
	case ledger.LoadAnswered:
		return fmt.Sprintf("%s %d keys, error %v", name, len(ev.KVs), ev.Err)
	case ledger.Propose:
		return name + describeChanges(ev.Changes)
	case ledger.TxnAnswered:
		return fmt.Sprintf("%s %d succeeded %t, error %v", name, ev.ID, ev.Result.Succeeded, ev.Err)
	case ledger.ReadAnswered:
		return fmt.Sprintf("%s %d %d keys, error %v", name, ev.ID, len(ev.KVs), ev.Err)
	case ledger.InboxListed:
		return fmt.Sprintf("%s %d keys, error %v", name, len(ev.KVs), ev.Err)
	}
	return name
}

func describeCommand(c ledger.Command) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", c), "ledger.")
	switch c := c.(type) {
	case ledger.Commit:
		return fmt.Sprintf("%s %d%s%s", name, c.ID, describeConditions(c.Conditions), describeOps(c.Ops))
	case ledger.Committed:
		return fmt.Sprintf("%s sequence %d%s", name, c.Sequence, describeChanges(c.Changes))
	case ledger.Dropped:
		return fmt.Sprintf("%s %q%s", name, c.Reason, describeChanges(c.Changes))
	}
	return strings.ReplaceAll(fmt.Sprintf("%s %+v", name, c), prefix, "")
}

func describeConditions(conditions []port.Condition) string {
	var b strings.Builder
	for _, c := range conditions {
		kind := "created"
		if c.Kind == port.CompareModRevision {
			kind = "modified"
		}
		fmt.Fprintf(&b, "\n         if %s %s at %d", strings.TrimPrefix(c.Key, prefix), kind, c.Revision)
	}
	return b.String()
}

func describeOps(ops []port.Op) string {
	var b strings.Builder
	for _, op := range ops {
		key := strings.TrimPrefix(op.Key, prefix)
		switch {
		case op.Delete:
			fmt.Fprintf(&b, "\n         delete %s %s", key, strings.TrimPrefix(op.RangeEnd, prefix))
		case strings.Contains(key, "/delta/"):
			fmt.Fprintf(&b, "\n         put %s %s", key, describeDelta(op.Value))
		default:
			fmt.Fprintf(&b, "\n         put %s, %d bytes", key, len(op.Value))
		}
	}
	return b.String()
}

func describeDelta(value []byte) string {
	d := &ledgerv1.Delta{}
	if err := proto.Unmarshal(value, d); err != nil {
		return err.Error()
	}
	text := fmt.Sprintf("by %s/%d epoch %d:", d.GetWriter(), d.GetWriterSequence(), d.GetEpoch())
	for _, t := range d.GetTasks() {
		text += fmt.Sprintf(" %s@%d/%d=%s#%d", t.GetKey().GetWorkload(), t.GetKey().GetGeneration(),
			t.GetKey().GetIndex(), ledger.State(t.GetState()), t.GetAttempt())
	}
	return fmt.Sprintf("%s, %d removed", text, len(d.GetRemoved()))
}

func describeChanges(changes []ledger.Change) string {
	var b strings.Builder
	for _, c := range changes {
		switch {
		case c.Put != nil:
			fmt.Fprintf(&b, " put %s %s on %q", c.Put.AttemptKey(), c.Put.State, c.Put.Worker)
		case c.Remove != nil:
			fmt.Fprintf(&b, " remove %s", c.Remove)
		case c.Handoff != nil:
			fmt.Fprintf(&b, " hand %s to shard %d", c.Handoff.Task.Key, c.Handoff.To)
		case c.Receive != nil:
			fmt.Fprintf(&b, " receive %s", c.Receive.Task.Key)
		case c.Quarantine != nil:
			fmt.Fprintf(&b, " quarantine %s", c.Quarantine.Worker)
		}
	}
	return b.String()
}

func key(index int) model.TaskKey {
	return model.TaskKey{Workload: "ladder-rebuild", Generation: 1, Index: uint32(index)}
}

func pending(index int) ledger.Task {
	return ledger.Task{
		Key: key(index), State: ledger.Pending, Class: "rebuild", Team: "fixtures",
		Size: model.Resources{MilliCPU: 2000, MemoryMB: 4096},
	}
}

func assigned(index int, worker model.WorkerID) ledger.Task {
	t := pending(index)
	t.State, t.Attempt, t.Worker = ledger.Assigned, 1, worker
	return t
}

func put(t ledger.Task) ledger.Change { return ledger.Change{Put: &t} }
