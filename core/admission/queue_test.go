package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ticket(id uint64, p model.Priority) Ticket {
	return Ticket{ID: id, Priority: p, Deadline: at(1000), Enqueued: start}
}

// full returns a queue whose slots are all in use.
func fullQueue(o Options, slots int) *Queue {
	q := New(o)
	q.SetSlots(0, slots)
	return q
}

func mustQueue(t *testing.T, q *Queue, now time.Time, list ...Ticket) {
	t.Helper()
	for _, tk := range list {
		if v := q.Offer(now, tk); v.Outcome != Queued {
			t.Fatalf("ticket %d was shed: %v", tk.ID, v.Reason)
		}
	}
}

func TestHigherPriorityFirstOldestFirst(t *testing.T) {
	q := fullQueue(Options{}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityLow), ticket(2, model.PriorityNormal),
		ticket(3, model.PriorityUrgent), ticket(4, model.PriorityNormal), ticket(5, model.PriorityHigh))
	for _, want := range []uint64{3, 5, 2, 4, 1} {
		q.SetSlots(1, 8)
		got, ok, _ := q.Next(start)
		if !ok || got.ID != want {
			t.Fatalf("next is %d (%v), want %d", got.ID, ok, want)
		}
		if _, again, _ := q.Next(start); again {
			t.Fatal("one free slot was given twice")
		}
	}
}

// A request that cannot be served before its deadline must be shed when it is
// offered; otherwise its caller waits until the deadline and then learns that
// the request did not run.
func TestRequestThatCannotMeetItsDeadlineIsShed(t *testing.T) {
	q := fullQueue(Options{InitialServiceTime: 100 * time.Millisecond, TargetWait: 100}, 4)
	for id := uint64(1); id <= 100; id++ {
		v := q.Offer(start, ticket(id, model.PriorityNormal))
		// 100 ms of service over 4 slots is 25 ms a turn; with its own 100 ms
		// of service, the 36th ticket still ends within 1 s.
		if want := id <= 36; (v.Outcome == Queued) != want {
			t.Fatalf("ticket %d: %+v", id, v)
		}
		if v.Outcome == Shed && (v.Reason != ReasonDeadline || v.RetryAfter <= 0) {
			t.Fatalf("ticket %d: %+v", id, v)
		}
	}
}

func TestExpiredTicketsLeaveWithoutASlot(t *testing.T) {
	q := fullQueue(Options{}, 8)
	short := ticket(1, model.PriorityNormal)
	short.Deadline = at(50)
	mustQueue(t, q, start, short, ticket(2, model.PriorityNormal))
	if due, ok := q.NextExpiry(); !ok || !due.Equal(at(40)) {
		t.Fatalf("expiry at %v", due)
	}
	if gone := q.Expire(at(40)); len(gone) != 0 {
		t.Fatalf("expired early: %v", gone)
	}
	_, ok, gone := q.Next(at(41))
	if ok || len(gone) != 1 || gone[0].ID != 1 || q.Len() != 1 {
		t.Fatalf("next %v, expired %v, %d wait", ok, gone, q.Len())
	}
}

// A standing queue adds its length to the latency of every request for as long
// as an overload lasts, without raising throughput. During an overload, all but
// urgent requests are therefore shed above the target wait.
func TestOverloadShedsAllButUrgent(t *testing.T) {
	q := fullQueue(Options{TargetWait: 1}, 10)
	id := uint64(0)
	offer := func(now time.Time, p model.Priority) Verdict {
		id++
		return q.Offer(now, ticket(id, p))
	}
	for range 30 {
		if v := offer(start, model.PriorityNormal); v.Outcome != Queued {
			t.Fatalf("a burst was shed: %+v", v)
		}
	}
	now := at(150)
	if v := offer(now, model.PriorityNormal); v.Reason != ReasonOverload || v.RetryAfter <= 0 {
		t.Fatalf("normal request in overload: %+v", v)
	}
	for range 20 {
		if v := offer(now, model.PriorityUrgent); v.Outcome != Queued {
			t.Fatalf("urgent request in overload: %+v", v)
		}
	}
	for q.Len() > 0 {
		q.SetSlots(1, 10)
		q.Next(now)
	}
	if !q.Overloaded(now) {
		t.Error("an empty moment ended the overload")
	}
	if q.Overloaded(at(150 + 101)) {
		t.Error("still overloaded after an empty interval")
	}
}

func TestUrgentEvictsNewestOfLowest(t *testing.T) {
	q := fullQueue(Options{MaxQueued: 3}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityLow), ticket(2, model.PriorityLow), ticket(3, model.PriorityNormal))
	v := q.Offer(start, ticket(4, model.PriorityUrgent))
	if v.Outcome != Queued || v.Evicted == nil || v.Evicted.ID != 2 || v.RetryAfter <= 0 {
		t.Fatalf("verdict %+v", v)
	}
	if v := q.Offer(start, ticket(5, model.PriorityLow)); v.Reason != ReasonFull {
		t.Fatalf("verdict %+v", v)
	}
	if q.Len() != 3 {
		t.Errorf("%d tickets wait, want at most 3", q.Len())
	}
}

// With strict priority and no limit, normal requests that arrive as fast as
// slots become free would leave low-priority requests queued until their
// deadline.
func TestLowPriorityIsNotStarved(t *testing.T) {
	q := fullQueue(Options{TargetWait: 1000, MaxQueued: 1000}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityLow))
	for turn := 1; turn <= 200; turn++ {
		mustQueue(t, q, start, ticket(uint64(1000+turn), model.PriorityNormal))
		q.SetSlots(1, 8)
		if got, _, _ := q.Next(start); got.ID == 1 {
			if turn <= maxPassedOver[model.PriorityLow] {
				t.Errorf("low priority was served in turn %d", turn)
			}
			return
		}
	}
	t.Error("low priority was passed over 200 times")
}

func TestReserveIsForUrgentUnderOverload(t *testing.T) {
	q := fullQueue(Options{UrgentReserve: 0.25, TargetWait: 1000}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityNormal), ticket(2, model.PriorityUrgent))
	q.SetSlots(2, 8)
	if !q.Overloaded(start) {
		q.SetSlots(0, 8)
	}
	if !q.Overloaded(at(200)) {
		t.Fatal("not overloaded")
	}
	q.SetSlots(2, 8)
	if got, ok, _ := q.Next(at(200)); !ok || got.ID != 2 {
		t.Fatalf("next is %+v (%v)", got, ok)
	}
	q.SetSlots(2, 8)
	if got, ok, _ := q.Next(at(200)); ok {
		t.Errorf("a reserved slot went to %+v", got)
	}
	q.SetSlots(3, 8)
	if _, ok, _ := q.Next(at(200)); !ok {
		t.Error("a slot beyond the reserve was held back")
	}
}

// Callers that are shed at the same moment and receive equal retry delays
// return in waves that are shed again.
func TestRetryAfterIsSpread(t *testing.T) {
	q := New(Options{})
	seen := make(map[time.Duration]bool)
	for id := range uint64(100) {
		v := q.Offer(start, ticket(id, model.PriorityNormal))
		if v.Reason != ReasonNoCapacity || v.RetryAfter < DefaultMinRetryAfter || v.RetryAfter > DefaultMaxRetryAfter {
			t.Fatalf("verdict %+v", v)
		}
		seen[v.RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(seen) < 30 {
		t.Errorf("100 callers received %d different retry delays", len(seen))
	}
}

func TestRequeueKeepsThePosition(t *testing.T) {
	q := fullQueue(Options{}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityNormal), ticket(2, model.PriorityNormal))
	q.SetSlots(1, 8)
	first, _, _ := q.Next(start)
	q.Requeue(start, first)
	if last, ok := q.Last(); !ok || last.ID != 2 {
		t.Fatalf("last is %+v", last)
	}
	q.SetSlots(1, 8)
	if again, ok, _ := q.Next(start); !ok || again.ID != 1 {
		t.Errorf("next is %+v", again)
	}
}

// When slow slots always go to the newest waiting request, early requests of
// low priority expire while later ones are served.
func TestLastIsTheTicketThatOthersOvertake(t *testing.T) {
	q := fullQueue(Options{}, 8)
	mustQueue(t, q, start, ticket(1, model.PriorityLow), ticket(2, model.PriorityLow))
	if last, _ := q.Last(); last.ID != 2 {
		t.Errorf("among tickets of one priority the last is %d", last.ID)
	}
	mustQueue(t, q, start, ticket(3, model.PriorityNormal))
	if last, _ := q.Last(); last.ID != 1 {
		t.Errorf("with higher priorities waiting the last is %d", last.ID)
	}
}

func TestObserveMovesThePrediction(t *testing.T) {
	q := fullQueue(Options{}, 1)
	mustQueue(t, q, start, ticket(1, model.PriorityNormal))
	for range 1000 {
		q.Observe(start, 400*time.Millisecond)
	}
	if v := q.Offer(start, ticket(2, model.PriorityNormal)); v.Reason != ReasonDeadline {
		t.Errorf("two turns and a service of 400 ms within 1 s: %+v", v)
	}
}

// accounting records which tickets are in the queue and the first
// inconsistency.
type accounting struct {
	queued map[uint64]bool
	err    string
}

func (l *accounting) leave(how string, id uint64) {
	if !l.queued[id] {
		l.err = fmt.Sprintf("ticket %d left by %s though it was not in the queue", id, how)
	}
	delete(l.queued, id)
}

func TestEveryQueuedTicketLeavesOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("tickets are conserved and bounded", prop.ForAll(func(seed uint64) string {
		rnd := rand.New(rand.NewPCG(seed, 5))
		q := New(Options{MaxQueued: 20, UrgentReserve: 0.2})
		l := &accounting{queued: make(map[uint64]bool)}
		ms, total := 0, 10
		for id := uint64(1); id <= 400 && l.err == ""; id++ {
			ms += rnd.IntN(8)
			q.SetSlots(rnd.IntN(3), total)
			step(q, l, rnd, id, ms)
			if q.Len() != len(l.queued) || q.Len() > 20 {
				return fmt.Sprintf("%d tickets wait, %d are expected", q.Len(), len(l.queued))
			}
		}
		for _, tk := range q.Expire(at(100000)) {
			l.leave("expiry", tk.ID)
		}
		if l.err == "" && len(l.queued) > 0 {
			return fmt.Sprintf("%d tickets never left the queue", len(l.queued))
		}
		return l.err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func step(q *Queue, l *accounting, rnd *rand.Rand, id uint64, ms int) {
	switch rnd.IntN(6) {
	case 0:
		cancelled := uint64(rnd.IntN(int(id)))
		if q.Cancel(cancelled) {
			l.leave("cancel", cancelled)
		}
	case 1, 2:
		tk, ok, expired := q.Next(at(ms))
		for _, e := range expired {
			l.leave("expiry", e.ID)
		}
		if ok && rnd.IntN(3) == 0 {
			q.Requeue(at(ms), tk)
		} else if ok {
			l.leave("next", tk.ID)
		}
	default:
		p := model.Priority(rnd.IntN(model.NumPriorities))
		v := q.Offer(at(ms), Ticket{ID: id, Priority: p, Deadline: at(ms + rnd.IntN(300))})
		if v.Evicted != nil {
			l.leave("eviction", v.Evicted.ID)
			if v.Evicted.Priority >= p {
				l.err = fmt.Sprintf("%v was evicted for %v", v.Evicted.Priority, p)
			}
		}
		if v.Outcome == Queued {
			l.queued[id] = true
		}
	}
}

func BenchmarkOfferNext(b *testing.B) {
	q := New(Options{MaxQueued: 512})
	q.SetSlots(1, 57)
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		q.SetSlots(1, 57)
		q.Offer(start, Ticket{ID: id, Priority: model.PriorityNormal, Deadline: at(1000)})
		q.Next(start)
	}
}
