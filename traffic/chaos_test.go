package traffic_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

// Parameters of the fault test. GUAVARILL_FAULT_REQUESTS sets the number of
// requests; without it, the test makes shortRun requests.
const (
	sizeVariable       = "GUAVARILL_FAULT_REQUESTS"
	shortRun           = 4000
	faultSeed          = 20261202
	faultEntries       = 3
	faultInstances     = 8
	faultSlots         = 3 // slots of each entry at each instance
	faultCallers       = 96
	faultsPerMille     = 150
	disturbEvery       = 20 * time.Millisecond
	faultTimeout       = 400 * time.Millisecond
	maxSends           = 3
	cancelsPerMille    = 50
	minAnsweredPercent = 70

	retryAfterDivisor = 10
)

// history counts the results that callers got for one request id.
type history struct {
	idempotent                bool
	notRun, unknown, answered int
	reasons                   map[fate.Reason]int
}

// fleet is a set of entries, whose homes are all in one process, and the
// instances of one service.
type fleet struct {
	t       *testing.T
	homes   *homeSet
	engines []*traffic.Engine

	mu        sync.Mutex
	instances []*target.Target
	retired   []*target.Target
	rnd       *rand.Rand
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(faultSeed, 1))}
	var ids []model.DaemonID
	for i := range faultEntries {
		ids = append(ids, model.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	o := dedup.Options{MaxRecords: 1 << 30}
	f.homes = newHomeSet(o, ids...)
	for range faultInstances {
		f.instances = append(f.instances, f.newInstance())
	}
	for _, id := range ids {
		f.engines = append(f.engines, f.newEngine(f.homes.claims(id, longAgo, o)))
	}
	f.listTargets()
	return f
}

func (f *fleet) newEngine(claims traffic.Claims) *traffic.Engine {
	client := httptarget.New(httptarget.Options{ProbeTimeout: 100 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond})
	f.t.Cleanup(client.Close)
	e := traffic.New(traffic.Options{Target: client, Claims: claims})
	e.Configure([]traffic.Service{{Name: orders, Timeout: faultTimeout, MaxQueue: 200}})
	e.SetServing(true, "")
	return e
}

func (f *fleet) newInstance() *target.Target {
	s, err := target.Start(target.Options{Plan: f.plan})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	return s
}

// plan selects the fault of a request at random.
func (f *fleet) plan(string, *http.Request) target.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := target.Fault{Delay: time.Duration(f.rnd.IntN(1000)) * time.Microsecond}
	switch n := f.rnd.IntN(1000); {
	case n < faultsPerMille:
		fault.Kind = target.Kind(f.rnd.IntN(target.NumKinds))
	case n < faultsPerMille+20:
		fault.Delay = time.Duration(f.rnd.IntN(100)) * time.Millisecond
	}
	return fault
}

func (f *fleet) listTargets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]routing.Target, len(f.instances))
	for i, s := range f.instances {
		list[i] = routing.Target{Address: s.Address(), Slots: faultSlots, Connections: faultSlots + 2}
	}
	for _, e := range f.engines {
		e.SetTargets(orders, list)
	}
}

// disturb disturbs a random instance every disturbEvery until stop is closed.
func (f *fleet) disturb(stop chan struct{}) {
	ticker := time.NewTicker(disturbEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		n, kind := f.rnd.IntN(len(f.instances)), f.rnd.IntN(8)
		s := f.instances[n]
		f.mu.Unlock()
		switch kind {
		case 0:
			s.Silence()
		case 1, 2:
			s.CloseIdle()
		case 3:
			f.replace(n, s)
		case 4:
			s.Leave()
			f.replace(n, nil)
		}
	}
}

// replace starts a new instance in place of instance n, after closing victim if
// it is not nil.
func (f *fleet) replace(n int, victim *target.Target) {
	if victim != nil {
		victim.Close()
	}
	started := f.newInstance()
	f.mu.Lock()
	f.retired = append(f.retired, f.instances[n])
	f.instances[n] = started
	f.mu.Unlock()
	f.listTargets()
}

// call sends the request of one id, and may repeat it through random entries as
// callers do.
func (f *fleet) call(rnd *rand.Rand, id string) (*history, error) {
	h := &history{idempotent: rnd.IntN(2) == 0, reasons: make(map[fate.Reason]int)}
	req := newRequest(id)
	req.Body = []byte(id)
	req.Idempotent = h.idempotent
	for range 1 + rnd.IntN(maxSends) {
		ctx, cancel := context.WithCancel(context.Background())
		if rnd.IntN(1000) < cancelsPerMille {
			time.AfterFunc(time.Duration(rnd.IntN(3000))*time.Microsecond, cancel)
		}
		resp, err := f.engines[rnd.IntN(len(f.engines))].Do(ctx, req)
		cancel()
		if err := h.record(resp, err, req); err != nil {
			return h, err
		}
		waitRetryAfter(err)
		if h.answered > 0 && rnd.IntN(10) > 0 {
			break
		}
	}
	return h, nil
}

// waitRetryAfter makes a refused caller wait for the retry delay it got,
// divided by retryAfterDivisor. Callers that repeat at once are refused faster
// than requests are served, and would use up all requests of the run within a
// second.
func waitRetryAfter(err error) {
	var f *fate.Error
	if errors.As(err, &f) && f.RetryAfter > 0 {
		<-time.After(f.RetryAfter / retryAfterDivisor)
	}
}

// wrongResponseError reports a response that belongs to another request or is
// incomplete.
type wrongResponseError struct {
	id   string
	body []byte
}

func (e *wrongResponseError) Error() string { return fmt.Sprintf("%s was answered %q", e.id, e.body) }

func (h *history) record(resp *traffic.Response, err error, req *traffic.Request) error {
	if err == nil {
		h.answered++
		if !bytes.Equal(resp.Body, target.Response(req.ID, req.Body)) {
			return &wrongResponseError{id: req.ID, body: resp.Body}
		}
		return nil
	}
	var f *fate.Error
	if !errors.As(err, &f) {
		return err
	}
	h.reasons[f.Reason]++
	switch f.Fate {
	case fate.NotRun:
		h.notRun++
	case fate.Unknown:
		h.unknown++
	}
	return nil
}

func (f *fleet) allRuns() map[string]int {
	all := make(map[string]int)
	for _, s := range append(f.retired, f.instances...) {
		for id, n := range s.AllRuns() {
			all[id] += n
		}
	}
	return all
}

func faultRequests(t *testing.T) int {
	v := os.Getenv(sizeVariable)
	if v == "" {
		return shortRun
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a non-idempotent request that runs twice, a request that runs
// although its fate is NotRun, and a response that reaches the wrong caller.
// Many callers leave, give up and repeat through other entries, while targets
// fail in every way, become silent, crash, leave and return. The stand-ins
// count which requests actually ran.
func TestFatesUnderFaults(t *testing.T) {
	f := newFleet(t)
	stop := make(chan struct{})
	var disturbing sync.WaitGroup
	disturbing.Go(func() { f.disturb(stop) })
	histories := f.callMany(faultRequests(t))
	close(stop)
	disturbing.Wait()
	for i, e := range f.engines {
		if err := e.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		for _, state := range e.TargetStates(orders) {
			if state.InFlight != 0 {
				t.Errorf("entry %d: %d slots of %s are still taken", i, state.InFlight, state.Address)
			}
		}
	}
	f.check(histories)
}

func (f *fleet) callMany(requests int) map[string]*history {
	var mu sync.Mutex
	histories := make(map[string]*history, requests)
	var wg sync.WaitGroup
	for c := range faultCallers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(faultSeed, uint64(c)+2))
			for i := c; i < requests; i += faultCallers {
				id := fmt.Sprintf("r%d", i)
				h, err := f.call(rnd, id)
				if err != nil {
					f.t.Error(err)
				}
				mu.Lock()
				histories[id] = h
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return histories
}

// check compares the fates that callers got with the requests that ran.
func (f *fleet) check(histories map[string]*history) {
	runs := f.allRuns()
	var onceOnly, doubled, falseNotRun, unseen int
	total := history{reasons: make(map[fate.Reason]int)}
	for id, h := range histories {
		total.notRun += h.notRun
		total.unknown += h.unknown
		total.answered += h.answered
		for reason, n := range h.reasons {
			total.reasons[reason] += n
		}
		if !h.idempotent {
			onceOnly++
		}
		if !h.idempotent && runs[id] > 1 {
			doubled++
		}
		if h.unknown+h.answered == 0 && runs[id] > 0 {
			falseNotRun++
		}
		if h.answered > 0 && runs[id] == 0 {
			unseen++
		}
	}
	f.t.Logf("%d ids, %d of them not idempotent: told answered %d, not run %d, unknown %d; run twice %d, falsely not run %d, answered without a run %d",
		len(histories), onceOnly, total.answered, total.notRun, total.unknown, doubled, falseNotRun, unseen)
	f.t.Logf("reasons: %v", total.reasons)
	if doubled+falseNotRun+unseen > 0 {
		f.t.Error("the fates that callers got do not match the requests that ran")
	}
	if total.notRun == 0 || total.unknown == 0 {
		f.t.Error("the run had no request with the fate NotRun, or none with Unknown")
	}
	// An entry that refuses every request passes the checks above.
	if total.answered < len(histories)*minAnsweredPercent/100 {
		f.t.Errorf("only %d responses for %d request ids", total.answered, len(histories))
	}
}
