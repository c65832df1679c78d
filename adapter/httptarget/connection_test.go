package httptarget_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

const strayAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(patience)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("never: %s", what)
		}
	}
}

// Symptom: a caller receives the answer to another's request. Events: a target
// sends more after an answer than it declared, in the same segment; the next
// request goes over the same connection. Cause: the rest of the buffer was
// read as the answer to it.
func TestExtraAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{Plan: func(id string, _ *http.Request) target.Fault {
		if id[0] == 'e' {
			return target.Fault{Kind: target.Extra}
		}
		return target.Fault{}
	}})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 1)
	for i := range 300 {
		for _, id := range []string{fmt.Sprintf("e%d", i), fmt.Sprintf("n%d", i)} {
			call := newCall(id, "x")
			resp, err := client.Do(within(t), instance.Address(), call)
			checkAnswer(t, resp, err, call)
		}
	}
}

// Symptom and cause as above, but the stray answer comes while the connection
// lies unused, before and while the next request is begun.
func TestStrayAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	for i := range 300 {
		call := newCall(fmt.Sprintf("r%d", i), "x")
		resp, err := client.Do(within(t), instance.Address(), call)
		checkAnswer(t, resp, err, call)
		instance.SendAll([]byte(strayAnswer))
	}
}

// Symptom: requests fail whenever a target closes its idle connections.
// Events: a connection is closed by the target while it lies in the pool; the
// next request, which must not run twice, is given it. Cause: the end of the
// stream is noticed only after the request was written.
func TestClosedIdleConnectionIsNoFailure(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	for i := range 200 {
		call := newCall(fmt.Sprintf("r%d", i), "x")
		resp, err := client.Do(within(t), instance.Address(), call)
		checkAnswer(t, resp, err, call)
		if got := instance.Runs(call.ID); got != 1 {
			t.Fatalf("%s ran %d times", call.ID, got)
		}
		instance.CloseIdle()
	}
}

// Symptom: an idempotent request is run twice although its caller allowed one
// attempt. Events: a pooled connection breaks before the answer's first byte.
// Cause: net/http's Transport sends such requests again by itself.
func TestBrokenPooledConnectionIsNotRetried(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	call := newCall("warm", "")
	call.Method = http.MethodGet
	resp, err := client.Do(within(t), instance.Address(), call)
	checkAnswer(t, resp, err, call)
	eventually(t, "the connection is pooled", func() bool { return client.Open(instance.Address()) == 1 })
	instance.SetFault(target.Fault{Kind: target.ResetBeforeHead})
	call = newCall("r", "")
	call.Method = http.MethodGet
	call.Idempotent = true
	if _, err := client.Do(within(t), instance.Address(), call); err == nil {
		t.Fatal("answered")
	}
	if got := instance.Runs("r"); got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
}

// Symptom: a target has more connections than all entries may have to it.
func TestConnectionsStayWithinShare(t *testing.T) {
	const share = 3
	instance := newInstance(t, target.Options{Work: time.Millisecond})
	client := newClient(t, httptarget.Options{ConnectionWait: patience})
	client.Limit(instance.Address(), share)
	var wg sync.WaitGroup
	for w := range 24 {
		wg.Go(func() {
			for i := range 20 {
				call := newCall(fmt.Sprintf("%d-%d", w, i), "x")
				resp, err := client.Do(within(t), instance.Address(), call)
				checkAnswer(t, resp, err, call)
			}
		})
	}
	wg.Wait()
	if got := instance.MostConnections(); got > share {
		t.Errorf("%d connections at once, want at most %d", got, share)
	}
	client.Limit(instance.Address(), 0)
	eventually(t, "no connection is left", func() bool { return instance.Connections() == 0 })
}

// Symptom: an answer that comes late reaches another caller. Events: an
// exchange is given up at its deadline, the target answers after that, and the
// next request is sent.
func TestLateAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{ConnectionWait: patience})
	client.Limit(instance.Address(), 1)
	for i := range 20 {
		instance.SetFault(target.Fault{Delay: 10 * time.Millisecond})
		short, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		if _, err := client.Do(short, instance.Address(), newCall("late", "x")); err == nil {
			t.Log("the late answer was in time")
		}
		cancel()
		call := newCall(fmt.Sprintf("next%d", i), "x")
		resp, err := client.Do(within(t), instance.Address(), call)
		checkAnswer(t, resp, err, call)
	}
}

// Symptom: a healthy target is left out, or requests hang one after the other
// until their deadlines. Events: what lies between loses track of all open
// connections; new ones work. Cause: the target is blamed for its connections,
// and the other old ones are used on.
func TestSilentConnectionsAreDropped(t *testing.T) {
	const pooled = 4
	instance := newInstance(t, target.Options{Work: 20 * time.Millisecond})
	client := newClient(t, httptarget.Options{ProbeTimeout: patience})
	client.Limit(instance.Address(), pooled+1)
	var wg sync.WaitGroup
	for i := range pooled {
		wg.Go(func() {
			call := newCall(fmt.Sprintf("warm%d", i), "x")
			resp, err := client.Do(within(t), instance.Address(), call)
			checkAnswer(t, resp, err, call)
		})
	}
	wg.Wait()
	instance.Silence()

	call := newCall("r", "x")
	call.Idempotent = true
	call.SilenceAfter = 50 * time.Millisecond
	call.OnSilence = func(proven bool) bool { return proven }
	_, err := client.Do(within(t), instance.Address(), call)
	x := exchangeError(t, err)
	if !x.ConnectionOnly || x.Reason != fate.ReasonTargetSilent || x.Fate() != fate.Unknown {
		t.Fatalf("got %v, connection only %t", err, x.ConnectionOnly)
	}
	if got := client.Open(instance.Address()); got != 1 {
		t.Errorf("%d connections are open, want the new one alone", got)
	}
	// Not even a request that is never given up meets an old connection.
	for i := range pooled {
		next := newCall(fmt.Sprintf("next%d", i), "x")
		resp, err := client.Do(within(t), instance.Address(), next)
		checkAnswer(t, resp, err, next)
	}
	if got := instance.Accepted(); got > 2*pooled {
		t.Errorf("%d connections were made", got)
	}
}

// A request that must not run twice stays with its silent connection to the
// deadline, and the target is not blamed for it.
func TestSilenceWithoutRepeat(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	warm := newCall("warm", "x")
	resp, err := client.Do(within(t), instance.Address(), warm)
	checkAnswer(t, resp, err, warm)
	instance.Silence()
	ctx, cancel := context.WithCancel(within(t))
	defer cancel()
	call := newCall("r", "x")
	call.SilenceAfter = 10 * time.Millisecond
	call.OnSilence = func(proven bool) bool {
		if !proven {
			t.Error("the target was not proven")
		}
		cancel()
		return false
	}
	_, err = client.Do(ctx, instance.Address(), call)
	x := exchangeError(t, err)
	if x.Reason != fate.ReasonCallerGone || x.Fate() != fate.Unknown || !x.ConnectionOnly {
		t.Errorf("got %v, connection only %t", err, x.ConnectionOnly)
	}
}

// Connections that lie unused are closed before anything between forgets them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{IdleMax: 20 * time.Millisecond})
	client.Limit(instance.Address(), 2)
	call := newCall("r", "x")
	resp, err := client.Do(within(t), instance.Address(), call)
	checkAnswer(t, resp, err, call)
	eventually(t, "the idle connection is closed", func() bool { return instance.Connections() == 0 })
}

// What goes over the wire is what the caller sent.
func TestRequestPassesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	instance := newInstance(t, target.Options{Plan: func(_ string, r *http.Request) target.Fault {
		seen <- r
		return target.Fault{}
	}})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 1)
	call := newCall("r", "x")
	call.Path = "/a%2Fb//c"
	call.Query = "q=1&q=%20"
	call.Header = http.Header{"X-Own": {"1", "2"}}
	resp, err := client.Do(within(t), instance.Address(), call)
	checkAnswer(t, resp, err, call)
	r := <-seen
	if got := r.RequestURI; got != "/a%2Fb//c?q=1&q=%20" {
		t.Errorf("got target %q", got)
	}
	if got := r.Header["X-Own"]; len(got) != 2 {
		t.Errorf("got header %q", got)
	}
	if got := r.Header.Get(traffic.HeaderTimeout); got == "" {
		t.Error("the target is not told how long the entry waits")
	}
}
