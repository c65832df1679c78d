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

const strayResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(patience)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// awaitPooled waits until every open connection to address is in the pool. A
// response may be delivered before its connection is pooled, and the next request
// then gets a new connection.
func awaitPooled(t *testing.T, client *httptarget.Target, address string) {
	t.Helper()
	eventually(t, "the connections are pooled", func() bool {
		open := client.Open(address)
		return open > 0 && client.Idle(address) == open
	})
}

// Guards against a caller receiving the response to another caller's request. A
// target sends more bytes than its response declares, in the same segment, and
// the next request uses the same connection: the rest of the buffer was read as
// the response to it.
func TestExtraAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{Plan: func(id string, _ *http.Request) target.Fault {
		if id[0] == 'e' {
			return target.Fault{Kind: target.ExtraResponse}
		}
		return target.Fault{}
	}})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 1)
	for i := range 300 {
		for _, id := range []string{fmt.Sprintf("e%d", i), fmt.Sprintf("n%d", i)} {
			call := newCall(id, "x")
			resp, err := client.Do(testContext(t), instance.Address(), call)
			checkResponse(t, resp, err, call)
		}
	}
}

// Guards against the same failure when the stray response arrives while the
// connection is idle, before and during the start of the next request.
func TestStrayAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	for i := range 300 {
		call := newCall(fmt.Sprintf("r%d", i), "x")
		resp, err := client.Do(testContext(t), instance.Address(), call)
		checkResponse(t, resp, err, call)
		instance.SendAll([]byte(strayResponse))
	}
}

// Guards against requests that fail whenever a target closes idle connections. A
// non-idempotent request gets a pooled connection that the target has closed,
// and the end of the stream is noticed only after the request was written.
func TestClosedIdleConnectionIsNoFailure(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	for i := range 200 {
		call := newCall(fmt.Sprintf("r%d", i), "x")
		resp, err := client.Do(testContext(t), instance.Address(), call)
		checkResponse(t, resp, err, call)
		if got := instance.Runs(call.ID); got != 1 {
			t.Fatalf("%s ran %d times", call.ID, got)
		}
		instance.CloseIdle()
	}
}

// Guards against running an idempotent request twice although its caller allowed
// one attempt: when a pooled connection breaks before the first byte of the
// response, net/http's Transport retries such requests by itself.
func TestBrokenPooledConnectionIsNotRetried(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	call := newCall("warm", "")
	call.Method = http.MethodGet
	resp, err := client.Do(testContext(t), instance.Address(), call)
	checkResponse(t, resp, err, call)
	awaitPooled(t, client, instance.Address())
	instance.SetFault(target.Fault{Kind: target.ResetBeforeHead})
	call = newCall("r", "")
	call.Method = http.MethodGet
	call.Idempotent = true
	if _, err := client.Do(testContext(t), instance.Address(), call); err == nil {
		t.Fatal("got a response, want an error")
	}
	if got := instance.Runs("r"); got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
}

// Guards against opening more connections to a target than its limit allows.
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
				resp, err := client.Do(testContext(t), instance.Address(), call)
				checkResponse(t, resp, err, call)
			}
		})
	}
	wg.Wait()
	if got := instance.MaxConnections(); got > share {
		t.Errorf("%d connections at once, want at most %d", got, share)
	}
	client.Limit(instance.Address(), 0)
	eventually(t, "all connections are closed", func() bool { return instance.Connections() == 0 })
}

// Guards against a late response reaching another caller: an exchange is given
// up at its deadline, the target responds after that, and the next request is
// sent.
func TestLateAnswerReachesNobody(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{ConnectionWait: patience})
	client.Limit(instance.Address(), 1)
	for i := range 20 {
		instance.SetFault(target.Fault{Delay: 10 * time.Millisecond})
		short, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		if _, err := client.Do(short, instance.Address(), newCall("late", "x")); err == nil {
			t.Log("the late response was in time")
		}
		cancel()
		call := newCall(fmt.Sprintf("next%d", i), "x")
		resp, err := client.Do(testContext(t), instance.Address(), call)
		checkResponse(t, resp, err, call)
	}
}

// Guards against excluding a healthy target, and against requests that hang one
// after the other until their deadlines. A middlebox loses its state for all open
// connections while new ones work; the fault was attributed to the target, and
// the other old connections stayed in use.
func TestSilentConnectionsAreDropped(t *testing.T) {
	const pooled = 4
	instance := newInstance(t, target.Options{Work: 20 * time.Millisecond})
	client := newClient(t, httptarget.Options{ProbeTimeout: patience})
	client.Limit(instance.Address(), pooled+1)
	var wg sync.WaitGroup
	for i := range pooled {
		wg.Go(func() {
			call := newCall(fmt.Sprintf("warm%d", i), "x")
			resp, err := client.Do(testContext(t), instance.Address(), call)
			checkResponse(t, resp, err, call)
		})
	}
	wg.Wait()
	awaitPooled(t, client, instance.Address())
	instance.Silence()

	call := newCall("r", "x")
	call.Idempotent = true
	call.SilenceAfter = 50 * time.Millisecond
	call.OnSilence = func(proven bool) bool { return proven }
	_, err := client.Do(testContext(t), instance.Address(), call)
	x := exchangeError(t, err)
	if !x.ConnectionOnly || x.Reason != fate.ReasonTargetSilent || x.Fate() != fate.Unknown {
		t.Fatalf("got %v, connection only %t", err, x.ConnectionOnly)
	}
	if got := client.Open(instance.Address()); got != 1 {
		t.Errorf("%d connections are open, want the new one alone", got)
	}
	// Requests that are never given up must not get an old connection either.
	for i := range pooled {
		next := newCall(fmt.Sprintf("next%d", i), "x")
		resp, err := client.Do(testContext(t), instance.Address(), next)
		checkResponse(t, resp, err, next)
	}
	if got := instance.Accepted(); got > 2*pooled {
		t.Errorf("%d connections were made", got)
	}
}

// A request that must not run twice stays on its silent connection until its
// context ends, and the failure is attributed to the connection only.
func TestSilenceWithoutRepeat(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{})
	client.Limit(instance.Address(), 2)
	warm := newCall("warm", "x")
	resp, err := client.Do(testContext(t), instance.Address(), warm)
	checkResponse(t, resp, err, warm)
	awaitPooled(t, client, instance.Address())
	instance.Silence()
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	call := newCall("r", "x")
	call.SilenceAfter = 10 * time.Millisecond
	call.OnSilence = func(proven bool) bool {
		if !proven {
			t.Error("the target did not answer the probe")
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

// Idle connections are closed before a middlebox drops its state for them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	instance := newInstance(t, target.Options{})
	client := newClient(t, httptarget.Options{IdleMax: 20 * time.Millisecond})
	client.Limit(instance.Address(), 2)
	call := newCall("r", "x")
	resp, err := client.Do(testContext(t), instance.Address(), call)
	checkResponse(t, resp, err, call)
	eventually(t, "the idle connection is closed", func() bool { return instance.Connections() == 0 })
}

// The path, query and headers reach the target as the caller sent them.
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
	resp, err := client.Do(testContext(t), instance.Address(), call)
	checkResponse(t, resp, err, call)
	r := <-seen
	if got := r.RequestURI; got != "/a%2Fb//c?q=1&q=%20" {
		t.Errorf("got request URI %q", got)
	}
	if got := r.Header["X-Own"]; len(got) != 2 {
		t.Errorf("got header %q", got)
	}
	if got := r.Header.Get(traffic.HeaderTimeout); got == "" {
		t.Error("the request has no timeout header")
	}
}
