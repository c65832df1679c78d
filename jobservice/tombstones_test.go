package jobservice

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// setClock is a Clock that tests set. Its time of day may jump.
type setClock struct{ now, wall time.Time }

func (c *setClock) Now() time.Time  { return c.now }
func (c *setClock) Wall() time.Time { return c.wall }

func (c *setClock) pass(d time.Duration) { c.now, c.wall = c.now.Add(d), c.wall.Add(d) }

const testKeepFinal = 2 * time.Minute

// tombstoneTerm is a term of a leader that only removes tombstones.
type tombstoneTerm struct {
	*term
	t     *testing.T
	store *memStore
	clock *setClock
}

func newTombstoneTerm(t *testing.T, store *memStore, clock *setClock) *tombstoneTerm {
	l := NewLeader(Options{
		Daemon: "a", Incarnation: "1", Processors: 1, Store: store, Clock: clock, Log: logsink.NewLogger(t.Output()),
		Metrics: NewMetrics(prometheus.NewRegistry()), Machine: jobsched.Options{KeepFinal: testKeepFinal},
	})
	return &tombstoneTerm{term: &term{leader: l, unreadableJobs: newUnreadableJobs(), tombstones: newTombstones()}, t: t, store: store, clock: clock}
}

// sweep reads the entries and removes what is due.
func (tt *tombstoneTerm) sweep() {
	tt.t.Helper()
	if err := tt.readTombstones(tt.t.Context()); err != nil {
		tt.t.Fatal(err)
	}
	for batch := range slices.Chunk(tt.tombstones.due(tt.leader.o.Clock.Now()), tombstoneBatch) {
		if err := tt.removeBatch(tt.t.Context(), batch); err != nil {
			tt.t.Fatal(err)
		}
	}
}

// recovered reads the records as at a take-over.
func (tt *tombstoneTerm) recovered() *jobsched.Recovered {
	tt.t.Helper()
	r := new(jobsched.Recovered)
	if err := tt.recoverJobs(tt.t.Context(), r); err != nil {
		tt.t.Fatal(err)
	}
	return r
}

func (tt *tombstoneTerm) wantKeys(what string, progress, entries int) {
	tt.t.Helper()
	for prefix, want := range map[string]int{progressPrefix: progress, tombstonePrefix: entries} {
		found, _, err := tt.store.List(tt.t.Context(), prefix)
		if err != nil {
			tt.t.Fatal(err)
		}
		if len(found) != want {
			tt.t.Errorf("%s: %d keys under %s, want %d", what, len(found), prefix, want)
		}
	}
}

func testClock() *setClock {
	at := time.UnixMilli(1_700_000_000_000)
	return &setClock{now: at, wall: at}
}

// bury stores the tombstones of jobs, canceled at the given time of day.
func bury(t *testing.T, store *memStore, wall time.Time, ids ...job.ID) {
	t.Helper()
	for _, id := range ids {
		result, err := store.Txn(t.Context(), unacceptedJob(id, 0), newTombstone(wall.UnixMilli()).changes(id))
		if err != nil || !result.Succeeded {
			t.Fatalf("the tombstone of %s is not stored: %v", id, err)
		}
	}
}

func manyJobs(n int) []job.ID {
	ids := make([]job.ID, n)
	for i := range ids {
		ids[i] = numberedJob(i)
	}
	return ids
}

// Guards against tombstones that stay in the store for ever, and against ones that are
// gone while an acceptance may still be late.
func TestTombstonesAreRemovedAfterTheirTime(t *testing.T) {
	const count = 3*tombstoneBatch + 1
	store, clock := newMemStore(), testClock()
	bury(t, store, clock.Wall(), manyJobs(count)...)
	tt := newTombstoneTerm(t, store, clock)
	tt.sweep()
	clock.pass(testKeepFinal - time.Millisecond)
	tt.sweep()
	tt.wantKeys("before their time", count, count)
	clock.pass(time.Millisecond)
	tt.sweep()
	tt.wantKeys("after their time", 0, 0)
	if n := len(tt.tombstones.known); n != 0 {
		t.Errorf("%d tombstones are still known", n)
	}
}

// Guards against tombstones that are never removed because leaders change more often
// than their time passes.
func TestTombstonesAreRemovedWhileLeadersChange(t *testing.T) {
	store, clock := newMemStore(), testClock()
	bury(t, store, clock.Wall(), lateJob)
	const length = minTombstoneTime + time.Second
	for passed := time.Duration(0); passed < testKeepFinal+tombstoneClockError+length; passed += length {
		tt := newTombstoneTerm(t, store, clock)
		if r := tt.recovered(); len(r.Progress) != 0 {
			t.Fatalf("the machine is given %v", r.Progress)
		}
		clock.pass(length)
		tt.sweep()
	}
	newTombstoneTerm(t, store, clock).wantKeys("in the end", 0, 0)
}

// Guards against tombstones that are removed while writes may be late because a clock
// has jumped.
func TestTombstoneOutlastsAJumpOfTheClock(t *testing.T) {
	store, clock := newMemStore(), testClock()
	bury(t, store, clock.Wall(), lateJob)
	clock.wall = clock.wall.Add(time.Hour)
	tt := newTombstoneTerm(t, store, clock)
	tt.recovered()
	clock.pass(minTombstoneTime - time.Millisecond)
	tt.sweep()
	tt.wantKeys("after the jump", 1, 1)
}

// Guards against the records of a job that is known being removed for an entry that is
// left of its tombstone, as when a leader without tombstones removed that alone.
func TestEntryOfARemovedTombstone(t *testing.T) {
	for name, change := range map[string]port.Op{
		"nothing":     {Key: progressKey(lateJob), Delete: true},
		"a later job": {Key: progressKey(lateJob), Value: (&job.Progress{State: job.Running}).Encode()},
	} {
		t.Run(name, func(t *testing.T) {
			store, clock := newMemStore(), testClock()
			others := manyJobs(3)
			bury(t, store, clock.Wall(), append(others, lateJob)...)
			store.write(change)
			tt := newTombstoneTerm(t, store, clock)
			tt.sweep()
			clock.pass(testKeepFinal)
			tt.sweep()
			left := 0
			if !change.Delete {
				left = 1
			}
			tt.wantKeys("in the end", left, 0)
		})
	}
}

// Guards against a tombstone that is shown as a canceled job and is removed before its
// caller has had time to read that.
func TestTombstoneOfASubmittedJob(t *testing.T) {
	store, clock := newMemStore(), testClock()
	in := NewIntake(store, clock, logsink.NewLogger(t.Output()), NewMetrics(prometheus.NewRegistry()))
	wantUnknown(t, "cancel", in.Cancel(t.Context(), nil, lateJob))
	tt := newTombstoneTerm(t, store, clock)
	tt.sweep()
	clock.pass(testKeepFinal - time.Second)
	if err := submitTo(t, in, lateJob); err != nil {
		t.Fatal(err)
	}
	tt.sweep()
	clock.pass(testKeepFinal - time.Second)
	tt.sweep()
	if state, err := in.State(t.Context(), nil, lateJob); err != nil || state != job.Canceled {
		t.Errorf("state %q, %v, want %q", state, err, job.Canceled)
	}
	clock.pass(time.Second)
	tt.sweep()
	tt.wantKeys("in the end", 0, 0)
	if err := submitTo(t, in, lateJob); err != nil {
		t.Fatal(err)
	}
	if state, err := in.State(t.Context(), nil, lateJob); err != nil || state != job.Queued {
		t.Errorf("a new job under the id: state %q, %v, want %q", state, err, job.Queued)
	}
}

// A record that cannot be decoded, or that belongs to a job, is no tombstone.
func TestTakeOverKeepsOtherRecords(t *testing.T) {
	store, clock := newMemStore(), testClock()
	canceled := &job.Progress{State: job.Canceled, FinalAtMs: clock.Wall().UnixMilli()}
	store.write(port.Op{Key: progressKey(intactJob), Value: canceled.Encode()})
	store.write(port.Op{Key: progressKey(damagedJob), Value: []byte("7")})
	bury(t, store, clock.Wall(), lateJob)
	tt := newTombstoneTerm(t, store, clock)
	r := tt.recovered()
	if len(r.Progress) != 1 || r.Progress[intactJob] == nil {
		t.Errorf("the machine is given the progress of %v, want that of %s", r.Progress, intactJob)
	}
	if _, unreadable := r.Unreadable[damagedJob]; !unreadable {
		t.Errorf("the damaged job is not set aside: %v", r.Unreadable)
	}
	if len(tt.tombstones.known) != 1 {
		t.Errorf("%d tombstones are known, want 1", len(tt.tombstones.known))
	}
}

// Guards against tombstones whose removal is given up after a failure of the store.
func TestRemovalOfTombstonesIsRetried(t *testing.T) {
	store, clock := newMemStore(), testClock()
	bury(t, store, clock.Wall(), lateJob)
	tt := newTombstoneTerm(t, store, clock)
	tt.sweep()
	clock.pass(testKeepFinal)
	tt.leader.o.Store = failingTxns{store}
	if err := tt.removeBatch(t.Context(), tt.tombstones.due(clock.Now())); err == nil {
		t.Fatal("the removal did not fail")
	}
	tt.leader.o.Store = store
	tt.sweep()
	tt.wantKeys("in the end", 0, 0)
}

// failingTxns makes all transactions without a response.
type failingTxns struct{ *memStore }

func (s failingTxns) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	if _, err := s.memStore.Txn(ctx, conditions, changes); err != nil {
		return port.TxnResult{}, err
	}
	return port.TxnResult{}, &port.StoreError{Call: "Txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
}

// Guards against a damaged entry that keeps the tombstones beside it, or its own for
// ever.
func TestDamagedEntryOfATombstone(t *testing.T) {
	for name, value := range damagedValues {
		t.Run(name, func(t *testing.T) {
			store, clock := newMemStore(), testClock()
			bury(t, store, clock.Wall(), append(manyJobs(3), lateJob)...)
			store.write(port.Op{Key: tombstoneKey(lateJob), Value: []byte(value)})
			store.write(port.Op{Key: tombstonePrefix + "no-job", Value: []byte(value)})
			tt := newTombstoneTerm(t, store, clock)
			tt.sweep()
			clock.pass(testKeepFinal)
			tt.sweep()
			tt.wantKeys("in the term", 1, 2)
			next := newTombstoneTerm(t, store, clock)
			next.recovered()
			clock.pass(testKeepFinal)
			next.sweep()
			next.wantKeys("after a take-over", 0, 1)
		})
	}
}

// Guards against a job that runs although its cancel was answered with "no such job": the
// answer relied on the tombstone of an earlier cancel, which was removed at once, and a
// submission between the two cancels was carried out after that.
func TestCancelRenewsATombstone(t *testing.T) {
	clock := &setClock{now: time.Unix(1000, 0), wall: time.Unix(1_700_000_000, 0)}
	store := newMemStore()
	in, leader := intakeWithClock(store, clock), newTombstoneTerm(t, store, clock)
	wantUnknown(t, "cancel", in.Cancel(t.Context(), nil, lateJob))
	leader.sweep()
	clock.pass(testKeepFinal)
	late := submitLate(t, store, lateJob)
	wantUnknown(t, "cancel again", in.Cancel(t.Context(), nil, lateJob))
	leader.sweep()
	clock.pass(time.Second)
	leader.sweep()
	carryOutLate(t, late)
	clock.pass(2 * testKeepFinal)
	leader.sweep()
	leader.wantKeys("in the end", 0, 0)
}
