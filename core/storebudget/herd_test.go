package storebudget

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The parameters of the simulation.
const (
	herdDaemons  = 300
	outageLength = time.Hour
	shortOutage  = 30 * time.Second
	settleTime   = 2 * time.Minute
	answerTime   = 5 * time.Millisecond
	refusalTime  = time.Millisecond
	callTimeout  = 2 * time.Second

	takeoverReads = 12
	watchesOpened = 4

	// readsBound is half of the two thousand reads per second that the store
	// serves.
	readsBound = 1000
	// writesBound is the sum of all daemons' shares of writes.
	writesBound = int(DefaultStoreWrites * DefaultHeadroom)
)

// operation is a call that a daemon keeps attempting. With every set it is
// repeated at that interval, otherwise it is done once after the outage.
type operation struct {
	class Class
	every time.Duration
	done  time.Time
}

// simEvent is a time at which a daemon requests a call or its call ends.
type simEvent struct {
	at        time.Time
	order     int
	daemon    *herdDaemon
	operation *operation
	ends      bool
	failed    bool
}

type eventQueue []*simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type herdDaemon struct {
	budget     *Budget
	operations []*operation
}

// herd is the store as it returns from an outage, and the daemons that call it.
type herd struct {
	queue  eventQueue
	orders int
	rnd    *rand.Rand
	back   time.Time
	calls  [bucketCount]map[int64]int // by second since the store's return
}

func newHerd(o Options, outage time.Duration) (*herd, []*herdDaemon) {
	h := &herd{rnd: rand.New(rand.NewPCG(1, 2)), back: epoch.Add(outage)}
	for i := range h.calls {
		h.calls[i] = make(map[int64]int)
	}
	daemons := make([]*herdDaemon, herdDaemons)
	for i := range daemons {
		daemons[i] = &herdDaemon{budget: New(epoch, o), operations: newOperations()}
		for _, w := range daemons[i].operations {
			h.add(&simEvent{at: h.firstAsk(w), daemon: daemons[i], operation: w})
		}
	}
	return h, daemons
}

// firstAsk returns when a daemon first attempts an operation. Daemons are not
// synchronized, and the calls of a takeover begin only near the end of a long
// outage, which keeps the simulation short and the lanes as closed as they get.
func (h *herd) firstAsk(w *operation) time.Time {
	if w.every > 0 {
		return epoch.Add(scale(w.every, h.rnd.Float64()))
	}
	late := h.back.Add(-shortOutage)
	if late.Before(epoch) {
		return epoch
	}
	return late
}

// newOperations returns what a daemon attempts at once when its lease has
// expired: it takes over shards, reads them and opens its watches.
func newOperations() []*operation {
	wants := []*operation{
		{class: ClassLease, every: 4 * time.Second},
		{class: ClassCommit, every: 1363 * time.Millisecond}, // 220 commits/s in all
		{class: ClassPoll, every: 30 * time.Second},
		{class: ClassReadBack},
	}
	for range takeoverReads {
		wants = append(wants, &operation{class: ClassRead})
	}
	for range watchesOpened {
		wants = append(wants, &operation{class: ClassWatch})
	}
	return wants
}

func (h *herd) add(t *simEvent) {
	h.orders++
	t.order = h.orders
	heap.Push(&h.queue, t)
}

func (h *herd) run(until time.Time) {
	for len(h.queue) > 0 && h.queue[0].at.Before(until) {
		t := heap.Pop(&h.queue).(*simEvent)
		if t.ends {
			h.end(t)
			continue
		}
		h.ask(t)
	}
}

func (h *herd) ask(t *simEvent) {
	ok, at := t.daemon.budget.Allow(t.at, t.operation.class, h.rnd.Uint64())
	if !ok {
		t.at = at
		h.add(t)
		return
	}
	second := int64(t.at.Sub(h.back) / time.Second)
	if t.at.Before(h.back) {
		second--
	}
	h.calls[policies[t.operation.class].bucket][second]++
	t.ends, t.failed = true, t.at.Before(h.back)
	t.at = t.at.Add(h.duration(t.failed))
	h.add(t)
}

// duration returns how long a call takes. During the outage some calls are
// refused at once and some run into the timeout.
func (h *herd) duration(failed bool) time.Duration {
	if !failed {
		return answerTime
	}
	if h.rnd.IntN(2) == 0 {
		return refusalTime
	}
	return callTimeout
}

func (h *herd) end(t *simEvent) {
	if t.failed {
		t.daemon.budget.Observe(t.at, t.operation.class, Failed)
		h.add(&simEvent{at: t.at, daemon: t.daemon, operation: t.operation})
		return
	}
	t.daemon.budget.Observe(t.at, t.operation.class, Answered)
	if t.operation.done.IsZero() {
		t.operation.done = t.at
	}
	if t.operation.every > 0 {
		h.add(&simEvent{at: t.at.Add(t.operation.every), daemon: t.daemon, operation: t.operation})
	}
}

// peak returns the most calls in any of the seconds [from, to) since the
// store's return.
func (h *herd) peak(b bucketID, from, to int64) int {
	most := 0
	for second, n := range h.calls[b] {
		if second >= from && second < to {
			most = max(most, n)
		}
	}
	return most
}

// After an outage of an hour, every daemon renews its lease, commits, reads its
// shards and opens its watches. If the retries were synchronized and each
// daemon had saved up a burst, the store would be overloaded again within a
// second.
func TestDaemonsDoNotComeBackAtOnce(t *testing.T) {
	h, daemons := newHerd(Options{Daemons: herdDaemons}, outageLength)
	h.run(h.back.Add(settleTime))

	outage := -int64(outageLength / time.Second)
	for b, name := range []string{"writes", "reads"} {
		id := bucketID(b)
		t.Logf("%s a second at most: in the outage %d, in the first 10 s after it %d, in the next 50 s %d, later %d",
			name, h.peak(id, outage+60, 0), h.peak(id, 0, 10), h.peak(id, 10, 60), h.peak(id, 60, 120))
	}
	last := make(map[Class]time.Duration)
	for _, d := range daemons {
		for _, w := range d.operations {
			if w.done.IsZero() {
				t.Fatalf("a %s call never succeeded", w.class)
			}
			last[w.class] = max(last[w.class], w.done.Sub(h.back))
		}
	}
	for c := range classCount {
		t.Logf("last daemon's %s calls: %v after the return", c, last[c])
	}

	steady := h.peak(bucketWrites, 60, 120)
	if n := h.peak(bucketWrites, 0, 60); n > steady+steady/10 {
		t.Errorf("%d writes in one second after the return, later at most %d", n, steady)
	}
	if n := h.peak(bucketWrites, 0, 60); n > writesBound {
		t.Errorf("%d writes in one second, bound %v", n, writesBound)
	}
	if n := h.peak(bucketReads, 0, 60); n > readsBound {
		t.Errorf("%d reads in one second, bound %v", n, readsBound)
	}
	if n := h.peak(bucketWrites, outage+60, 0); n > DefaultStoreWrites/2 {
		t.Errorf("%d writes in a second of the outage, bound %v", n, DefaultStoreWrites/2)
	}
	if last[ClassLease] > 10*time.Second {
		t.Errorf("the last lease was renewed only after %v", last[ClassLease])
	}
}

// After an outage that is so short that backoffs are still short, all daemons
// detect the store's return within a second. The spread of the calls must not
// depend on long backoffs, or the store would be overloaded.
func TestShortOutagesAreFollowedByNoHerd(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
		h, _ := newHerd(Options{Daemons: herdDaemons}, outage)
		h.run(h.back.Add(settleTime))
		writes, reads := h.peak(bucketWrites, 0, 60), h.peak(bucketReads, 0, 60)
		t.Logf("after %v: at most %d writes, %d reads a second", outage, writes, reads)
		if writes > writesBound || reads > readsBound {
			t.Errorf("bounds are %d writes and %d reads", writesBound, readsBound)
		}
	}
}

// Budgets that assume a single daemon, with short backoffs, overload the store
// when it returns. This shows that the bounds in the tests above hold because
// of the budgets, and that the number of daemons must reach them.
func TestBudgetsForOneDaemonOverloadTheStore(t *testing.T) {
	alone := Options{RampStart: 1, BackoffCap: time.Second, LeaseBackoffCap: time.Second}
	h, _ := newHerd(alone, shortOutage)
	h.run(h.back.Add(settleTime))
	t.Logf("at most in the first 10 s: %d writes, %d reads a second",
		h.peak(bucketWrites, 0, 10), h.peak(bucketReads, 0, 10))
	if n := h.peak(bucketReads, 0, 10); n <= readsBound {
		t.Errorf("only %d reads in one second", n)
	}
}
