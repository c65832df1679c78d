package jobservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// storeLateness is how late the store carries out a write that got no response.
const storeLateness = 6 * time.Second

// clockError is how far the clocks of daemons are ahead or behind.
const clockError = 5 * time.Second

// fate is what becomes of a call to the store.
type fate int

const (
	// answered: it is carried out and answered.
	answered fate = iota
	// unanswered: it is carried out, and the response is lost.
	unanswered
	// late: the response is lost, and a write may be carried out within storeLateness.
	late
	// refused: the store refuses it, and does nothing.
	refused
)

// fatedCall is a call to the store that waits for its fate.
type fatedCall struct {
	what string
	fate chan fate
	// carryOut makes the write, and is nil for a read.
	carryOut func() port.TxnResult
	sentAt   time.Time
}

// fatedStore is a store whose calls wait until the test decides what becomes of them.
// Time passes meanwhile, as for a daemon that is paused: a call that waits does not heed
// its context.
type fatedStore struct {
	*memStore
	calls chan *fatedCall
}

func (s *fatedStore) do(ctx context.Context, c *fatedCall) fate {
	if ctx.Err() != nil {
		return late
	}
	c.fate, c.sentAt = make(chan fate, 1), time.Now()
	s.calls <- c
	return <-c.fate
}

func storeFailure(f fate) error {
	outcome := port.OutcomeUnknown
	if f == refused {
		outcome = port.OutcomeNotDone
	}
	return &port.StoreError{Call: "call", Kind: port.StoreUnavailable, Outcome: outcome}
}

func (s *fatedStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	if f := s.do(ctx, &fatedCall{what: "read " + key}); f != answered {
		return port.KeyValue{}, storeFailure(f)
	}
	return s.memStore.Get(ctx, key)
}

func (s *fatedStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	c := &fatedCall{what: "write " + changes[0].Key}
	var result port.TxnResult
	c.carryOut = func() port.TxnResult {
		result, _ = s.memStore.Txn(context.Background(), conditions, changes)
		return result
	}
	if f := s.do(ctx, c); f != answered {
		return port.TxnResult{}, storeFailure(f)
	}
	return result, nil
}

// bubbleStart is the time at which synctest bubbles begin.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// bubbleClock is the clock of a synctest bubble, with a time of day that is ahead.
type bubbleClock struct{ ahead time.Duration }

func (bubbleClock) Now() time.Time    { return time.Now() }
func (c bubbleClock) Wall() time.Time { return time.Now().Add(c.ahead) }

// answer is what a caller was told of a request.
type answer struct {
	cancel bool
	err    error
	// began and got are when the request was sent and answered, by the count of events.
	began, got int
}

// refusal reports whether the caller was told that the job does not run.
func (a answer) refusal() bool {
	var overloaded *OverloadedError
	var unavailable *UnavailableError
	var infeasible *job.InfeasibleError
	return !a.cancel && (errors.As(a.err, &overloaded) || errors.As(a.err, &unavailable) || errors.As(a.err, &infeasible))
}

// acknowledgement reports whether the caller was told that the job is canceled.
func (a answer) acknowledgement() bool {
	var unknown *UnknownJobError
	return a.cancel && (a.err == nil || errors.As(a.err, &unknown))
}

// lateOrders plays requests for one job at several daemons, with calls to the store that
// are answered, lost, late or refused in any order, and daemons that are paused.
type lateOrders struct {
	t     *testing.T
	rnd   *rand.Rand
	store *fatedStore
	// daemons accept the job, find it infeasible or reject it by forecast.
	daemons []*Intake
	leader  *tombstoneTerm
	waiting []*fatedCall
	// held holds the writes that may still be carried out.
	held    []*fatedCall
	running int
	done    chan answer
	answers []answer
	history []string
	// takenAt holds when the job was stored as accepted and not canceled, by the count of
	// events.
	takenAt []int
	events  int
}

func newLateOrders(t *testing.T, seed uint64) *lateOrders {
	o := &lateOrders{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), store: &fatedStore{memStore: newMemStore(), calls: make(chan *fatedCall, 16)},
		done: make(chan answer, 16),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range 4 {
		clock := bubbleClock{ahead: time.Duration(o.rnd.IntN(3)-1) * clockError}
		in := NewIntake(o.store, clock, log, NewMetrics(prometheus.NewRegistry()))
		o.daemons = append(o.daemons, in)
	}
	o.daemons[2].fleet.read.Store(&fleetSnapshot{fleet: *fleetOf(rosterOf(500)), at: time.Now().Add(time.Hour)})
	o.daemons[3].RejectByForecast()
	l := NewLeader(Options{
		Daemon: "a", Incarnation: "1", Processors: 1, Store: o.store.memStore, Clock: bubbleClock{}, Log: log,
		Metrics: NewMetrics(prometheus.NewRegistry()), Machine: jobsched.Options{KeepFinal: testKeepFinal},
	})
	o.leader = &tombstoneTerm{term: &term{leader: l, unreadableJobs: newUnreadableJobs(), tombstones: newTombstones()}, t: t, store: o.store.memStore}
	return o
}

func (o *lateOrders) note(format string, args ...any) {
	o.history = append(o.history, fmt.Sprintf("%8.3f ", time.Since(bubbleStart).Seconds())+fmt.Sprintf(format, args...))
}

// request sends a request to a daemon by a caller who waits without a limit.
func (o *lateOrders) request(cancel bool, daemon int) {
	o.running++
	publish(o.store.memStore, 1, 0)
	in := o.daemons[daemon]
	o.events++
	began := o.events
	o.note("request, cancel %v, daemon %d", cancel, daemon)
	go func() {
		var err error
		if cancel {
			ctx, end := context.WithTimeout(context.Background(), 3*time.Second)
			defer end()
			err = in.Cancel(ctx, nil, lateJob)
		} else {
			err = submitWithObjective(context.Background(), in, lateJob)
		}
		o.done <- answer{cancel: cancel, err: err, began: began}
	}()
}

// settle waits until all daemons wait for the store or have answered.
func (o *lateOrders) settle() {
	synctest.Wait()
	for {
		select {
		case c := <-o.store.calls:
			o.waiting = append(o.waiting, c)
		case a := <-o.done:
			o.running--
			o.events++
			a.got = o.events
			o.note("cancel %v is answered: %v", a.cancel, a.err)
			o.answers = append(o.answers, a)
		default:
			return
		}
	}
}

// carryOut makes a write, and records whether the job is accepted by it.
func (o *lateOrders) carryOut(c *fatedCall) {
	result := c.carryOut()
	o.note("%s is carried out: %v", c.what, result.Succeeded)
	kv, err := o.store.memStore.Get(context.Background(), acceptedKey(lateJob))
	if err != nil {
		o.t.Fatal(err)
	}
	if kv.ModRevision == 0 || kv.ModRevision != result.Revision {
		return
	}
	record, err := job.DecodeAccepted(kv.Value)
	if err != nil {
		o.t.Fatal(err)
	}
	if !record.Canceled {
		o.events++
		o.takenAt = append(o.takenAt, o.events)
	}
}

// decide chooses the fate of a call that waits.
func (o *lateOrders) decide(i int) {
	c := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	f := answered
	if o.rnd.IntN(3) == 0 {
		f = []fate{unanswered, late, late, refused}[o.rnd.IntN(4)]
	}
	o.note("%s: fate %d", c.what, f)
	switch {
	case c.carryOut == nil:
	case f == answered, f == unanswered:
		o.carryOut(c)
	case f == late:
		c.sentAt = time.Now()
		o.held = append(o.held, c)
	}
	c.fate <- f
}

// decideWrites decides the fate of all writes that were sent.
func (o *lateOrders) decideWrites() {
	for {
		i := slices.IndexFunc(o.waiting, func(c *fatedCall) bool { return c.carryOut != nil })
		if i < 0 {
			return
		}
		o.decide(i)
		o.settle()
	}
}

// carryOutLate makes one of the writes that are held.
func (o *lateOrders) carryOutLate() {
	i := o.rnd.IntN(len(o.held))
	c := o.held[i]
	o.held = slices.Delete(o.held, i, i+1)
	o.carryOut(c)
}

// pass lets time pass; writes that would be later than storeLateness are made before.
func (o *lateOrders) pass(d time.Duration) {
	o.decideWrites()
	end := time.Now().Add(d)
	for {
		next := end
		for _, c := range o.held {
			if due := c.sentAt.Add(storeLateness); due.Before(next) {
				next = due
			}
		}
		time.Sleep(time.Until(next))
		for i := 0; i < len(o.held); i++ {
			if !o.held[i].sentAt.Add(storeLateness).After(time.Now()) {
				c := o.held[i]
				o.held = slices.Delete(o.held, i, i+1)
				o.carryOut(c)
				i--
			}
		}
		o.settle()
		if !time.Now().Before(end) {
			return
		}
	}
}

// pauses are for how long daemons are paused: longer than rejections are kept, and longer
// than tombstones are.
var pauses = []time.Duration{20 * time.Second, testKeepFinal + 20*time.Second}

// step does one thing at random. paused allows pauses.
func (o *lateOrders) step(paused bool) {
	o.settle()
	switch n := o.rnd.IntN(20); {
	case n < 11 && len(o.waiting) > 0:
		o.decide(o.rnd.IntN(len(o.waiting)))
	case n < 13 && len(o.held) > 0:
		o.carryOutLate()
	case n < 15:
		o.pass(time.Duration(o.rnd.IntN(400)) * time.Millisecond)
	case n < 16 && paused:
		d := pauses[o.rnd.IntN(len(pauses))]
		o.note("pause of %s", d)
		o.pass(d)
	case n < 17:
		o.leader.sweep()
	}
	o.settle()
}

// play sends submissions and cancels, and lets everything come to an end.
func (o *lateOrders) play(paused bool) {
	o.request(false, o.rnd.IntN(2))
	for range 1 + o.rnd.IntN(3) {
		for range o.rnd.IntN(12) {
			o.step(paused)
		}
		o.request(o.rnd.IntN(3) == 0, o.rnd.IntN(len(o.daemons)))
	}
	for o.running > 0 || len(o.waiting) > 0 {
		o.step(paused)
	}
	for len(o.held) > 0 {
		if o.rnd.IntN(3) == 0 {
			o.leader.sweep()
		}
		o.carryOutLate()
	}
	o.pass(time.Second)
	for len(o.waiting) > 0 {
		o.decide(0)
		o.settle()
	}
}

// check checks that nothing contradicts an answer that callers take as final. A
// submission that began after the answer may be accepted once its record is gone.
func (o *lateOrders) check() {
	for _, a := range o.answers {
		final := a.acknowledgement() || a.refusal()
		if !final || o.submittedAfter(a) {
			continue
		}
		for _, taken := range o.takenAt {
			if taken < a.got {
				continue
			}
			o.t.Fatalf("answered with %q, and the job is accepted later:\n%s", fmt.Sprint(a.err), strings.Join(o.history, "\n"))
		}
	}
}

// submittedAfter reports whether a submission began after an answer, or whether one that
// had begun before was answered as accepted.
func (o *lateOrders) submittedAfter(a answer) bool {
	return slices.ContainsFunc(o.answers, func(other answer) bool {
		return !other.cancel && (other.began > a.got || a.refusal() && other.err == nil)
	})
}

// orders returns how many orders are played.
func orders() uint64 {
	if testing.Short() {
		return 400
	}
	return 4000
}

// TestNothingContradictsAFinalAnswer guards against jobs that are accepted after their
// caller was told that they are canceled, unknown or rejected.
func TestNothingContradictsAFinalAnswer(t *testing.T) {
	for name, paused := range map[string]bool{"late writes": false, "late writes and paused daemons": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range orders() {
				synctest.Test(t, func(t *testing.T) {
					o := newLateOrders(t, seed)
					o.play(paused)
					o.check()
				})
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}
