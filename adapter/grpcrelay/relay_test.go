package grpcrelay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/jobservice"
	"github.com/guavarill/guavarill/port"
)

// fakeWorkers returns a fixed verdict for every order. If held is set, orders block
// until it is closed.
type fakeWorkers struct {
	orders atomic.Int64
	held   chan struct{}
}

func (w *fakeWorkers) wait() {
	w.orders.Add(1)
	if w.held != nil {
		<-w.held
	}
}

func (w *fakeWorkers) Renew(context.Context, jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	w.wait()
	key := job.TaskKey{Job: "00000000000000aa", Step: 1, Index: 2}
	return jobsched.VerdictDone, jobsched.Report{
		ClockMs: 7,
		Running: []jobsched.RunningAttempt{{Key: key, Attempt: 3, Checkpoint: "c", Percent: 40, Reading: 5}},
		Ended:   []jobsched.EndedAttempt{{Number: 9, Key: key, Attempt: 2, Cause: jobsched.EndFailed, Checkpoint: "d"}},
	}
}

func (w *fakeWorkers) Start(context.Context, jobsched.Start) (jobsched.Verdict, int64) {
	w.wait()
	return jobsched.VerdictNoRoom, 11
}

func (w *fakeWorkers) Stop(context.Context, jobsched.Stop) jobsched.Verdict {
	w.wait()
	return jobsched.VerdictDone
}

func (w *fakeWorkers) Throttle(context.Context, jobsched.Throttle) jobsched.Verdict {
	w.wait()
	return jobsched.VerdictFenced
}

// startRelay starts a relay and returns its address and a function that stops it.
func startRelay(t *testing.T, workers port.TaskWorkers) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer()
	NewRelayServer(server, workers)
	go func() {
		if err := server.Serve(l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(server.Stop)
	return l.Addr().String(), server.Stop
}

func awaitHealthy(t *testing.T, r *Router, want bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if (r.pickLink("w") != nil) == want {
			return
		}
	}
	t.Fatalf("relay did not become healthy=%v", want)
}

func TestOrdersAreRelayed(t *testing.T) {
	own, far := &fakeWorkers{}, &fakeWorkers{}
	address, _ := startRelay(t, far)
	r := NewRouter(own)
	r.SetRelays([]jobservice.Relay{{Address: address, Weight: 1}})
	defer r.SetRelays(nil)
	awaitHealthy(t, r, true)
	ctx := context.Background()
	verdict, report := r.Renew(ctx, jobsched.Renew{Order: jobsched.Order{Worker: model.Incarnation{ID: "w"}}})
	if verdict != jobsched.VerdictDone || report.ClockMs != 7 || report.Running[0].Percent != 40 ||
		report.Ended[0].Cause != jobsched.EndFailed || report.Ended[0].Key.Index != 2 {
		t.Errorf("renewal: %s %+v", verdict, report)
	}
	key := job.TaskKey{Job: "00000000000000aa"}
	if verdict, clock := r.Start(ctx, jobsched.Start{Key: key}); verdict != jobsched.VerdictNoRoom || clock != 11 {
		t.Errorf("start: %s %d", verdict, clock)
	}
	if verdict := r.Stop(ctx, jobsched.Stop{Key: key}); verdict != jobsched.VerdictDone {
		t.Errorf("stop: %s", verdict)
	}
	if verdict := r.Throttle(ctx, jobsched.Throttle{Key: key}); verdict != jobsched.VerdictFenced {
		t.Errorf("throttle: %s", verdict)
	}
	if own.orders.Load() != 0 {
		t.Error("the leader sent orders directly")
	}
}

// Guards against a task that runs twice: a relay receives a start and is lost before it
// sends the outcome, and the leader treats the start as not sent.
func TestOrderAtALostCarrierIsUncertain(t *testing.T) {
	far := &fakeWorkers{held: make(chan struct{})}
	address, stop := startRelay(t, far)
	own := &fakeWorkers{}
	r := NewRouter(own)
	r.SetRelays([]jobservice.Relay{{Address: address, Weight: 1}})
	defer r.SetRelays(nil)
	awaitHealthy(t, r, true)
	verdicts := make(chan jobsched.Verdict)
	go func() {
		verdict, _ := r.Start(context.Background(), jobsched.Start{Key: job.TaskKey{Job: "00000000000000aa"}})
		verdicts <- verdict
	}()
	for far.orders.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go stop()
	if verdict := <-verdicts; verdict != jobsched.VerdictUnknown {
		t.Errorf("verdict %s, want unknown", verdict)
	}
	close(far.held)
	awaitHealthy(t, r, false)
	if verdict := r.Stop(context.Background(), jobsched.Stop{}); verdict != jobsched.VerdictNotSent || own.orders.Load() != 0 {
		t.Errorf("just after the relay was lost: verdict %s, %d direct orders, want not sent", verdict, own.orders.Load())
	}
	time.Sleep(directAfter)
	if verdict := r.Stop(context.Background(), jobsched.Stop{}); verdict != jobsched.VerdictDone || own.orders.Load() != 1 {
		t.Errorf("after directAfter without a relay: verdict %s, %d direct orders, want done and 1", verdict, own.orders.Load())
	}
}

// Guards against relays that are used without regard to their weight: a relay with four
// times the processors gets about four times the workers.
func TestRelaysAreUsedByWeight(t *testing.T) {
	heavy := 0
	for i := range 1000 {
		worker := model.WorkerID([]byte{byte('a' + i%26), byte('a' + i/26%26), byte('a' + i/676)})
		if rendezvousScore("x:1", worker, 4) > rendezvousScore("y:1", worker, 1) {
			heavy++
		}
	}
	if heavy < 750 || heavy > 850 {
		t.Errorf("%d of 1000 workers, want about 800", heavy)
	}
}

// Guards against lost outcomes at the planned stop of a daemon. The daemon leaves the
// members and continues to serve, but the leader closed its stream and gave up all
// orders pending on it. The workers of that relay then counted as silent, and tasks
// with a start in flight were barred and started elsewhere.
func TestACarrierThatLeavesAnswersWhatItHas(t *testing.T) {
	workers := &fakeWorkers{held: make(chan struct{})}
	address, _ := startRelay(t, workers)
	own := &fakeWorkers{}
	r := NewRouter(own)
	defer r.SetRelays(nil)
	r.SetRelays([]jobservice.Relay{{Address: address, Weight: 1}})
	awaitHealthy(t, r, true)
	verdict := make(chan jobsched.Verdict, 1)
	key := job.TaskKey{Job: "00000000000000aa"}
	go func() {
		v, _ := r.Start(context.Background(), jobsched.Start{Order: jobsched.Order{Worker: model.Incarnation{ID: "w"}}, Key: key})
		verdict <- v
	}()
	for workers.orders.Load() == 0 && len(verdict) == 0 {
		time.Sleep(time.Millisecond)
	}
	r.SetRelays(nil)
	if v := r.Stop(context.Background(), jobsched.Stop{Order: jobsched.Order{Worker: model.Incarnation{ID: "w"}}}); v != jobsched.VerdictDone {
		t.Errorf("order after the relay left: %s", v)
	}
	if own.orders.Load() != 1 {
		t.Error("an order was sent to a relay that had left")
	}
	close(workers.held)
	if v := <-verdict; v != jobsched.VerdictNoRoom {
		t.Errorf("pending order of the relay that left: %s, want its outcome", v)
	}
}

// Guards against acknowledgements through a relay of the previous version, which would
// send them to any incarnation of the worker.
func TestAcknowledgementsForRelaysOfAnEarlierVersion(t *testing.T) {
	for startedMs, want := range map[int64]int64{0: 57, 5: 0} {
		o := encodeRenew(jobsched.Renew{Order: jobsched.Order{Worker: model.Incarnation{ID: "w", StartedMs: startedMs}}, AckedEnds: 57})
		if got := o.GetRenew().AckedEnds; got != want {
			t.Errorf("started at %d: AckedEnds %d, which the previous version reads, want %d", startedMs, got, want)
		}
		if r := decodeRenew(o, o.GetRenew()); r.AckedEnds != 57 || r.Worker.StartedMs != startedMs {
			t.Errorf("started at %d: decoded as %+v", startedMs, r)
		}
	}
}
