package ledger_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// TestCommitWithLostAnswer guards against a start that is committed twice, or is
// acted on without being committed. The responses to two commits are lost; the
// first commit was applied and the second was not; the third is refused outright.
// The fault would be to guess the outcome instead of reading the shard back.
func TestCommitWithLostAnswer(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	s.own()
	s.note("made, answer lost")
	s.propose(put(pending(1)))
	s.execute()
	s.failLast(unknownOutcome)
	s.propose(put(pending(2)))
	s.step(ledger.ReadAnswered{ID: s.last.(ledger.ReadBack).ID, Err: unknownOutcome})
	s.tick(time.Second)
	s.answer()
	s.note("not made, answer lost: sent again unchanged, though more was proposed")
	s.failLast(unknownOutcome)
	s.propose(put(pending(3)))
	s.answer()
	s.tick(time.Second)
	s.answer()
	s.note("certainly not made: sent again without reading")
	s.failLast(notDone)
	s.tick(time.Second)
	s.answer()
	s.golden("commit_lost_answer")
}

// TestTakeoverDuringCommit guards against commits of two owners mixed in one
// ledger. A commit is in flight when the owner's lease lapses. Another daemon
// acquires the shard and commits at the same sequence, and the first owner's commit
// is refused. The fault would be to mistake the refusal for a lost response, or the
// delta of the other owner for its own.
func TestTakeoverDuringCommit(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	s.own()
	s.propose(put(pending(1)))
	s.answer()
	s.propose(put(assigned(1, "v1")))
	s.propose(put(pending(2)))
	s.note("another daemon takes over")
	other := newSession(t, "d2/1", ledger.Options{})
	other.store = s.store
	other.own()
	other.propose(put(assigned(1, "v2")))
	other.answer()
	s.answer()
	s.answer()
	if s.ledger.Phase() != ledger.Idle || s.ledger.Effective().Len() != 0 {
		t.Errorf("phase %s with %d tasks after standing down", s.ledger.Phase(), s.ledger.Effective().Len())
	}
	s.golden("takeover_during_commit")
}

// TestForeignDeltaUnderOwnEpoch guards against two processes of one daemon, or two
// owners under one epoch, that both consider their commit applied. At the sequence of
// the commit in flight, the store has a delta of another writer, or of another commit
// of the same writer. The fault would be to compare less than the writer, its sequence
// and the epoch.
func TestForeignDeltaUnderOwnEpoch(t *testing.T) {
	for _, writer := range []string{"d2/1", "d1/1"} {
		s := newSession(t, "d1/1", ledger.Options{})
		s.own()
		other := newSession(t, writer, ledger.Options{})
		other.store, other.epoch = s.store, s.epoch
		other.step(ledger.Acquired{Epoch: s.epoch})
		other.answer()
		if writer == "d1/1" {
			// A commit that the store refuses advances the writer's sequence.
			other.propose(put(pending(8)))
			other.failLast(&port.StoreError{Kind: port.StoreTooLarge, Outcome: port.OutcomeNotDone})
			other.tick(3 * time.Second)
		} else {
			other.propose(put(pending(9)))
		}
		other.answer()
		s.propose(put(pending(1)))
		s.answer()
		commands := s.answer()
		last := commands[len(commands)-1]
		if stand, ok := last.(ledger.StandDown); !ok || stand.Reason != ledger.StandDownForeignCommit {
			t.Errorf("other writer %s: %v", writer, last)
		}
	}
}

// TestStaleReceive guards against a task that is in two shards. The inbox was listed;
// then the item was received under another owner and the task handed on; the old
// listing arrives late, and its item is proposed together with changes that depend on
// it. The fault would be to receive an item without checking in the same transaction
// that it still exists.
func TestStaleReceive(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	sender := pending(7)
	item := ledger.InboxItem{Key: ledger.InboxKey(prefix, 0, sender.Key), ModRevision: 1, Task: sender, From: 1}
	s.own()
	s.propose(ledger.Change{Receive: &item}, put(assigned(7, "v1")), put(pending(8)))
	s.answer()
	s.answer()
	s.answer()
	s.golden("stale_receive")
}

// TestHandoffToTakenInbox guards against the loss of a task. A task is handed to a
// shard whose inbox still contains an item for it. The fault would be that the second
// item overwrites the first.
func TestHandoffToTakenInbox(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	taken := ledger.InboxKey(prefix, 1, key(1))
	s.store.txn(nil, []port.Op{{Key: taken, Value: []byte("undelivered")}})
	s.own()
	s.propose(put(pending(1)))
	s.answer()
	s.propose(ledger.Change{Handoff: &ledger.Handoff{Task: pending(1), To: 1}})
	s.answer()
	s.answer()
	if got := string(s.store.keys[taken].Value); got != "undelivered" {
		t.Errorf("the first item was overwritten by %q", got)
	}
	if task, _ := s.ledger.Effective().Task(key(1)); task.State != ledger.Pending {
		t.Errorf("the task is %s, want pending here", task.State)
	}
	s.golden("handoff_inbox_taken")
}

func TestHandoffAndReceive(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	s.own()
	s.propose(put(pending(1)))
	s.answer()
	s.propose(ledger.Change{Handoff: &ledger.Handoff{Task: pending(1), To: 1}})
	s.answer()
	receiver := ledger.New(1, "d2/1", ledger.Options{KeyPrefix: prefix})
	s.ledger = receiver
	s.store.txn(nil, []port.Op{{Key: ledger.OwnerKey(prefix, 1), Value: []byte("owner")}})
	s.note("the receiving shard")
	s.step(ledger.Acquired{Epoch: model.Epoch(s.store.revision)})
	s.answer()
	s.answer()
	s.golden("handoff")
}

// TestTransitions records in a golden file which state changes are allowed.
func TestTransitions(t *testing.T) {
	states := []ledger.State{
		ledger.Pending, ledger.Assigned, ledger.Running, ledger.Stopping,
		ledger.Succeeded, ledger.Failed, ledger.Cancelled, ledger.Moved,
	}
	paths := map[ledger.State][]ledger.State{
		ledger.Assigned: {ledger.Assigned}, ledger.Running: {ledger.Assigned, ledger.Running},
		ledger.Stopping:  {ledger.Assigned, ledger.Stopping},
		ledger.Succeeded: {ledger.Assigned, ledger.Succeeded}, ledger.Failed: {ledger.Failed},
		ledger.Cancelled: {ledger.Cancelled}, ledger.Moved: {ledger.Moved},
	}
	var b strings.Builder
	for _, from := range states {
		for _, to := range states {
			s := newSession(t, "d1/1", ledger.Options{})
			s.own()
			s.propose(put(pending(1)))
			s.answer()
			for _, state := range paths[from] {
				s.proposeState(state)
				s.answer()
			}
			fmt.Fprintf(&b, "%-9s to %-9s %s\n", from, to, s.proposeState(to))
		}
	}
	goldie.New(t).Assert(t, "transitions", []byte(b.String()))
}

// proposeState proposes the task's current record with another state. It returns
// "allowed" or the reason why the change was dropped.
func (s *session) proposeState(state ledger.State) string {
	task, _ := s.ledger.Effective().Task(key(1))
	if state == ledger.Assigned && task.State == ledger.Pending {
		task.Attempt++
		task.Worker = "v1"
	}
	if state == ledger.Pending {
		task.Worker = ""
	}
	task.State = state
	task.Resume = state == ledger.Stopping
	task.Evictions++
	change := put(task)
	if state == ledger.Moved {
		task.State = ledger.Pending
		change = ledger.Change{Handoff: &ledger.Handoff{Task: task, To: 1}}
	}
	for _, c := range s.propose(change) {
		if d, ok := c.(ledger.Dropped); ok {
			return string(d.Reason)
		}
	}
	return "allowed"
}

func TestRefusedChanges(t *testing.T) {
	running := assigned(1, "v1")
	running.State = ledger.Running
	again, moved, skipped := running, running, assigned(2, "v1")
	again.Attempt = 2
	moved.Worker = "v2"
	skipped.Attempt = 2
	noWorker := assigned(2, "")
	resumed, ended := pending(3), assigned(3, "v1")
	resumed.Attempt = 1
	ended.State = ledger.Stopping
	notText, huge, negative := pending(9), pending(9), pending(9)
	notText.Reason = "\xff"
	huge.Checkpoint = strings.Repeat("x", ledger.MaxRecordBytes)
	negative.Size.MemoryMB = -1
	item := ledger.InboxItem{Key: "x", ModRevision: 1, Task: pending(2)}
	live, unknown := key(1), key(99)
	for _, c := range []struct {
		change ledger.Change
		want   ledger.DropReason
	}{
		{ledger.Change{}, ledger.DropMalformed},
		{ledger.Change{Put: &running, Remove: &live}, ledger.DropMalformed},
		{put(notText), ledger.DropMalformed},
		{put(negative), ledger.DropMalformed},
		{put(huge), ledger.DropTooLarge},
		{put(running), ledger.DropNoChange},
		{put(again), ledger.DropAttempt},
		{put(skipped), ledger.DropAttempt},
		{put(moved), ledger.DropWorker},
		{put(noWorker), ledger.DropWorker},
		{put(resumed), ledger.DropTransition},
		{ledger.Change{Remove: &live}, ledger.DropTransition},
		{ledger.Change{Remove: &unknown}, ledger.DropUnknownTask},
		{ledger.Change{Receive: &item}, ledger.DropDuplicateReceive},
		{ledger.Change{Handoff: &ledger.Handoff{Task: pending(2), To: 0}}, ledger.DropMalformed},
		{ledger.Change{Handoff: &ledger.Handoff{Task: pending(99), To: 1}}, ledger.DropUnknownTask},
		{ledger.Change{Quarantine: &ledger.Quarantine{Worker: "v1"}}, ledger.DropNoChange},
	} {
		s := newSession(t, "d1/1", ledger.Options{})
		s.own()
		s.propose(put(pending(1)), put(assigned(1, "v1")), put(running), put(pending(2)),
			put(pending(3)), put(assigned(3, "v1")), put(ended))
		commands := s.propose(c.change)
		if len(commands) != 1 {
			t.Errorf("%s: %v", c.want, commands)
			continue
		}
		if d, ok := commands[0].(ledger.Dropped); !ok || d.Reason != c.want {
			t.Errorf("got %v, want dropped: %s", commands[0], c.want)
		}
	}
}

// TestReadChecksContinuity guards against a new owner that works on a ledger from
// which commits are missing. A delta is missing, damaged or stored under a wrong key.
// The fault would be to replay the rest regardless. Deltas that a snapshot contains,
// and parts of an unfinished compaction, are not errors.
func TestReadChecksContinuity(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{MaxDeltas: 3})
	s.own()
	for i := range 3 {
		s.propose(put(pending(i)))
		s.answer()
	}
	kvs := s.store.list(ledger.ShardPrefix(prefix, 0))
	delta := func(i int) port.KeyValue { return kvs[i] }
	part := port.KeyValue{Key: ledger.ShardPrefix(prefix, 0) + "ledger/part/0000000000000009/0000", Value: []byte("\xff")}
	renamed := delta(2)
	renamed.Key = delta(1).Key
	damaged := delta(1)
	damaged.Value = []byte("\xff")
	for _, c := range []struct {
		name string
		kvs  []port.KeyValue
		want ledger.CorruptReason
	}{
		{"whole", kvs, ""},
		{"unfinished compaction", append([]port.KeyValue{part}, kvs...), ""},
		{"gap", []port.KeyValue{delta(0), delta(2)}, ledger.CorruptGap},
		{"renamed", []port.KeyValue{delta(0), renamed}, ledger.CorruptSequence},
		{"damaged", []port.KeyValue{delta(0), damaged}, ledger.CorruptValue},
		{"other shard", []port.KeyValue{{Key: ledger.OwnerKey(prefix, 1)}}, ledger.CorruptKey},
	} {
		_, err := ledger.Read(prefix, 0, c.kvs)
		var corrupt *ledger.CorruptError
		if errors.As(err, &corrupt) != (c.want != "") || corrupt != nil && corrupt.Reason != c.want {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
	s.propose(put(pending(3)))
	s.answer()
	left := append(s.store.list(ledger.ShardPrefix(prefix, 0)), kvs[0])
	stored, err := ledger.Read(prefix, 0, left)
	if err != nil || dump(stored.Contents) != dump(s.ledger.Contents()) {
		t.Errorf("a delta left behind by a compaction: %v", err)
	}
}

// TestManyTasksAreSplit guards against a shard with so many tasks that nothing can be
// committed any more. Its snapshot, or one proposal, exceeds the store's limit on the
// size of a value. The fault would be to write either as one value.
func TestManyTasksAreSplit(t *testing.T) {
	const tasks = 20_000
	s := newSession(t, "d1/1", ledger.Options{MaxDeltas: 1})
	s.own()
	s.propose(manyPending(tasks)...)
	s.answerAll()
	for i := range 10 {
		s.propose(put(assigned(i, "v1")))
		s.answerAll()
	}
	parts := 0
	for _, kv := range s.store.list(ledger.ShardPrefix(prefix, 0)) {
		if len(kv.Value) > port.MaxValueBytes {
			t.Errorf("%s has %d bytes", kv.Key, len(kv.Value))
		}
		if strings.Contains(kv.Key, "/part/") {
			parts++
		}
	}
	if parts == 0 {
		t.Error("the snapshot was not written in parts")
	}
	stored, err := ledger.Read(prefix, 0, s.store.list(ledger.ShardPrefix(prefix, 0)))
	if err != nil {
		t.Fatal(err)
	}
	if stored.Contents.Len() != tasks || dump(stored.Contents) != dump(s.ledger.Contents()) {
		t.Errorf("read %d tasks that differ from the owner's", stored.Contents.Len())
	}
}

func manyPending(n int) []ledger.Change {
	changes := make([]ledger.Change, n)
	for i := range changes {
		changes[i] = put(pending(i))
	}
	return changes
}

func TestViews(t *testing.T) {
	s := newSession(t, "d1/1", ledger.Options{})
	s.own()
	s.propose(put(pending(2)), put(pending(1)), put(assigned(1, "v1")))
	contents, effective := s.ledger.Contents(), s.ledger.Effective()
	if contents.Len() != 0 || effective.Committed("v1").MilliCPU != 2000 {
		t.Errorf("before the commit: %d committed tasks, %s assumed", contents.Len(), effective.Committed("v1"))
	}
	s.answer()
	on := s.ledger.Contents().OnWorker("v1")
	if len(on) != 1 || on[0].Key != key(1) || s.ledger.Contents().Pending()[0].Key != key(2) {
		t.Errorf("after the commit: %v", on)
	}
	s.propose(put(assigned(2, "v1")))
	s.answer()
	done := assigned(1, "v1")
	done.State, done.Address = ledger.Succeeded, "10.1.1.1:80"
	removed := key(1)
	s.propose(put(done), ledger.Change{Remove: &removed})
	s.answer()
	if got := s.ledger.Contents().Committed("v1"); got != pending(2).Size || s.ledger.Contents().Len() != 1 {
		t.Errorf("after the end: %s committed, %d tasks", got, s.ledger.Contents().Len())
	}
}

// TestCancellationBurst guards against a burst of cancellations that uses up the
// store's write rate. A thousand tasks are cancelled one by one within one flush
// interval. The fault would be a commit for each.
func TestCancellationBurst(t *testing.T) {
	const tasks = 1000
	s := newSession(t, "d1/1", ledger.Options{FlushInterval: time.Second})
	s.own()
	s.propose(manyPending(tasks)...)
	s.answerAll()
	writes := 0
	for i := range tasks {
		cancelled := pending(i)
		cancelled.State = ledger.Cancelled
		s.now = s.now.Add(900 * time.Microsecond)
		s.propose(put(cancelled))
		if s.last != nil {
			writes++
			s.answerAll()
		}
	}
	s.tick(time.Second)
	if s.last != nil {
		writes++
		s.answerAll()
	}
	t.Logf("%d writes for %d cancellations", writes, tasks)
	if writes > 2 {
		t.Errorf("%d writes for %d cancellations in one interval", writes, tasks)
	}
	if got, _ := s.ledger.Contents().Task(key(tasks - 1)); got.State != ledger.Cancelled {
		t.Errorf("the last task is %s", got.State)
	}
}
