package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/guavarill/guavarill/adapter/callerapi"
	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

const patience = 20 * time.Second

// fakeEngine returns a fixed result and records the request.
type fakeEngine struct {
	resp    *traffic.Response
	err     error
	serving error
	request *traffic.Request
}

func (e *fakeEngine) Do(_ context.Context, req *traffic.Request) (*traffic.Response, error) {
	e.request = req
	return e.resp, e.err
}

func (e *fakeEngine) Drain(context.Context) error { return nil }
func (e *fakeEngine) Serving() error              { return e.serving }

type errorBody struct {
	Fate             string
	Reason           string
	Detail           string
	RetryAfterMillis int64
	RequestID        string
}

func serve(e callerapi.Engine, o callerapi.Options, r *http.Request) *httptest.ResponseRecorder {
	o.Engine = e
	w := httptest.NewRecorder()
	callerapi.New(o).Handler().ServeHTTP(w, r)
	return w
}

// Errors are mapped to the statuses that the package comment lists.
func TestStatusOfErrors(t *testing.T) {
	tests := []struct {
		err    *fate.Error
		status int
	}{
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonInvalidRequest}, 400},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonUnknownService}, 404},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonRequestTooLarge}, 413},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonQueueFull}, 429},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonOverload}, 429},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonDeadline}, 503},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonConnectRefused}, 503},
		{&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonNotServing}, 503},
		{&fate.Error{Fate: fate.Unknown, Reason: fate.ReasonConnectionBroken}, 502},
		{&fate.Error{Fate: fate.Unknown, Reason: fate.ReasonClaimHeld}, 502},
		{&fate.Error{Fate: fate.Unknown, Reason: fate.ReasonDeadline}, 504},
		{&fate.Error{Fate: fate.Unknown, Reason: fate.ReasonTargetSilent}, 504},
		{&fate.Error{Fate: fate.Unknown, Reason: fate.ReasonClaimMismatch}, 422},
	}
	for _, test := range tests {
		test.err.RequestID = "r"
		test.err.RetryAfter = 1500 * time.Millisecond
		w := serve(&fakeEngine{err: test.err}, callerapi.Options{}, httptest.NewRequest("POST", "/v1/services/s/call", nil))
		var got errorBody
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		want := errorBody{Fate: test.err.Fate.String(), Reason: string(test.err.Reason), RetryAfterMillis: 1500, RequestID: "r"}
		if w.Code != test.status || got != want {
			t.Errorf("%s, %s: got %d, %+v; want %d", test.err.Fate, test.err.Reason, w.Code, got, test.status)
		}
		if h := w.Header(); h.Get("Guavarill-Fate") != want.Fate || h.Get("Retry-After") != "2" {
			t.Errorf("%s: got headers %v", test.err.Reason, h)
		}
	}
}

// An untyped error does not say whether the request was sent, so its fate is
// unknown.
func TestUntypedErrorIsUnknown(t *testing.T) {
	w := serve(&fakeEngine{err: io.ErrUnexpectedEOF}, callerapi.Options{}, httptest.NewRequest("POST", "/v1/services/s/call", nil))
	if w.Code != http.StatusBadGateway || w.Header().Get("Guavarill-Fate") != "unknown" {
		t.Errorf("got %d, %v", w.Code, w.Header())
	}
}

func TestRequestIsReadWhole(t *testing.T) {
	e := &fakeEngine{resp: &traffic.Response{Status: 200}}
	r := httptest.NewRequest("POST", "/v1/services/s/call/a%2Fb/c?q=1", strings.NewReader("body"))
	r.Header = http.Header{
		"Guavarill-Request-Id": {"r"},
		"Guavarill-Idempotent": {"true"},
		"Guavarill-Timeout":    {"500ms"},
		"Guavarill-Priority":   {"urgent"},
		"Guavarill-Fate":       {"forged"},
		"X-Own":                {"1"},
		"X-Hop":                {"1"},
		"Connection":           {"x-hop"},
		"Upgrade":              {"h2c"},
	}
	serve(e, callerapi.Options{}, r)
	want := &traffic.Request{
		Service: "s", ID: "r", Method: "POST", Path: "/a%2Fb/c", Query: "q=1",
		Header: http.Header{"X-Own": {"1"}}, Body: []byte("body"),
		Idempotent: true, Priority: model.PriorityUrgent, Timeout: 500 * time.Millisecond,
	}
	if diff := cmp.Diff(want, e.request); diff != "" {
		t.Error(diff)
	}
}

func TestDefaultsOfRequest(t *testing.T) {
	for method, idempotent := range map[string]bool{"GET": true, "HEAD": true, "POST": false, "PUT": false, "DELETE": false} {
		e := &fakeEngine{resp: &traffic.Response{Status: 200}}
		serve(e, callerapi.Options{}, httptest.NewRequest(method, "/v1/services/s/call", nil))
		if e.request.Idempotent != idempotent || e.request.Path != "/" || e.request.Priority != model.PriorityNormal {
			t.Errorf("%s: got %+v", method, e.request)
		}
	}
}

// An invalid request is rejected before anything is sent to a target.
func TestInvalidRequests(t *testing.T) {
	tests := []struct {
		name, value string
		status      int
	}{
		{"Guavarill-Idempotent", "maybe", 400},
		{"Guavarill-Timeout", "soon", 400},
		{"Guavarill-Timeout", "-1s", 400},
		{"Guavarill-Priority", "vip", 400},
		{"Guavarill-Request-Id", strings.Repeat("x", 200), 400},
		{"X-Fine", "but the body is too large", 413},
	}
	for _, test := range tests {
		e := &fakeEngine{}
		r := httptest.NewRequest("POST", "/v1/services/s/call", strings.NewReader("too large"))
		r.Header.Set(test.name, test.value)
		w := serve(e, callerapi.Options{MaxBodyBytes: 8}, r)
		if w.Code != test.status || w.Header().Get("Guavarill-Fate") != "not-run" || e.request != nil {
			t.Errorf("%s: %s: got %d, %v", test.name, test.value, w.Code, w.Header())
		}
	}
	w := serve(&fakeEngine{}, callerapi.Options{}, httptest.NewRequest("GET", "/elsewhere", nil))
	if w.Code != http.StatusNotFound || w.Header().Get("Guavarill-Fate") != "not-run" {
		t.Errorf("no route: got %d, %v", w.Code, w.Header())
	}
}

func TestReadiness(t *testing.T) {
	w := serve(&fakeEngine{}, callerapi.Options{}, httptest.NewRequest("GET", "/readyz", nil))
	if w.Code != http.StatusOK {
		t.Errorf("serving: got %d", w.Code)
	}
	e := &fakeEngine{serving: &traffic.NotServingError{Reason: traffic.NoConfiguration}}
	w = serve(e, callerapi.Options{}, httptest.NewRequest("GET", "/readyz", nil))
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), string(traffic.NoConfiguration)) {
		t.Errorf("not serving: got %d, %s", w.Code, w.Body)
	}
}

// entry is a complete entry that listens on a socket and has one target.
type entry struct {
	api      *callerapi.Server
	url      string
	instance *target.Target
	served   chan error
}

func newEntry(t *testing.T, o callerapi.Options) *entry {
	t.Helper()
	instance, err := target.Start(target.Options{})
	if err != nil {
		t.Fatal(err)
	}
	client := httptarget.New(httptarget.Options{})
	engine := traffic.New(traffic.Options{Target: client})
	engine.Configure([]traffic.Service{{Name: "s", Timeout: patience}})
	engine.SetTargets("s", []routing.Target{{Address: instance.Address(), Slots: 4, Connections: 4}})
	engine.SetServing(true, "")
	o.Engine = engine
	e := &entry{api: callerapi.New(o), instance: instance, served: make(chan error, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.url = "http://" + l.Addr().String()
	go func() { e.served <- e.api.Serve(l) }()
	t.Cleanup(func() {
		e.api.Close() //nolint:errcheck // the test is over
		client.Close()
		instance.Close()
	})
	return e
}

func (e *entry) post(t *testing.T, id, body string) (*http.Response, []byte) {
	t.Helper()
	r, err := http.NewRequest("POST", e.url+"/v1/services/s/call/orders", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Guavarill-Request-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, got
}

func TestAnswerPassesThroughWhole(t *testing.T) {
	e := newEntry(t, callerapi.Options{})
	body := strings.Repeat("x", 300_000)
	resp, got := e.post(t, "r", body)
	if resp.StatusCode != 200 || !bytes.Equal(got, target.Response("r", []byte(body))) {
		t.Errorf("got %d and %d bytes", resp.StatusCode, len(got))
	}
	if h := resp.Header; h.Get("Guavarill-Fate") != "answered" || h.Get("Guavarill-Request-Id") != "r" {
		t.Errorf("got headers %v", h)
	}
	e.instance.SetFault(target.Fault{Kind: target.ErrorResponse})
	resp, got = e.post(t, "f", "x")
	if resp.StatusCode != 500 || resp.Header.Get("Guavarill-Fate") != "answered" || len(got) == 0 {
		t.Errorf("the target's own error: got %d, %v", resp.StatusCode, resp.Header)
	}
}

// Guards against a caller taking part of a response for the whole when the target
// fails in the middle of the body.
func TestShortAnswerIsNoSuccess(t *testing.T) {
	e := newEntry(t, callerapi.Options{})
	for _, kind := range []target.Kind{target.ShortBody, target.ShortChunks, target.ResetMidBody, target.Unbounded} {
		e.instance.SetFault(target.Fault{Kind: kind})
		resp, got := e.post(t, "r", "x")
		if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Guavarill-Fate") != "unknown" {
			t.Errorf("%s: got %d, %q", kind, resp.StatusCode, got)
		}
	}
}

// Guards against a planned stop aborting requests: one is in flight when the stop
// begins, and another arrives before the load balancer has detected the stop.
func TestStopCutsNothingOff(t *testing.T) {
	e := newEntry(t, callerapi.Options{BalancerNotice: 200 * time.Millisecond})
	for range 10 {
		e.post(t, "warm", "x") // a new instance gets one request at a time
	}
	arrived, answer := make(chan struct{}), make(chan struct{})
	var once sync.Once
	e.instance.SetPlan(func(id string, _ *http.Request) target.Fault {
		if id == "before" {
			once.Do(func() { close(arrived) })
			<-answer
		}
		return target.Fault{}
	})
	var wg sync.WaitGroup
	wg.Go(func() {
		resp, got := e.post(t, "before", "x")
		if resp.StatusCode != 200 || !bytes.Equal(got, target.Response("before", []byte("x"))) {
			t.Errorf("in flight at the stop: got %d, %q", resp.StatusCode, got)
		}
	})
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- e.api.Stop(context.Background()) }()
	waitNotReady(t, e.url)
	resp, _ := e.post(t, "after", "x")
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("before the load balancer detected the stop: got %d, close %t", resp.StatusCode, resp.Close)
	}
	close(answer)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	wg.Wait()
	if err := <-e.served; err != nil {
		t.Error(err)
	}
}

func waitNotReady(t *testing.T, url string) {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close() //nolint:errcheck // only the status counts
		if resp.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
	t.Fatal("timed out waiting until readiness is withdrawn")
}

// Guards against callers that send slowly or not at all exhausting the entry: a
// connection is opened, and the head or the body of its request never ends.
func TestSlowCallersAreCutOff(t *testing.T) {
	e := newEntry(t, callerapi.Options{ReadHeaderTimeout: 50 * time.Millisecond, ReadTimeout: 100 * time.Millisecond})
	for _, start := range []string{
		"POST /v1/services/s/call HTTP/1.1\r\nHost: e\r\n",
		"POST /v1/services/s/call HTTP/1.1\r\nHost: e\r\nContent-Length: 10\r\n\r\nhalf",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, start)                    //nolint:errcheck // the read below shows it
		conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // as above
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Errorf("%q: the connection stays open", start)
		}
		conn.Close() //nolint:errcheck // the test is over
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Guards against long requests failing as if their callers had disconnected. The
// response takes longer than ReadTimeout, and the server's read deadline would
// end its detection of disconnected callers. The entry relies on net/http to
// lift that deadline.
func TestLongAnswerOutlivesReadTimeout(t *testing.T) {
	e := newEntry(t, callerapi.Options{ReadTimeout: 50 * time.Millisecond})
	e.instance.SetFault(target.Fault{Delay: 300 * time.Millisecond})
	resp, got := e.post(t, "r", "x")
	if resp.StatusCode != 200 {
		t.Errorf("got %d, %s", resp.StatusCode, got)
	}
}
