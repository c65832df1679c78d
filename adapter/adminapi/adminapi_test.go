package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
)

const document = `{"cluster":"c","teams":[{"name":"t"}],"workloads":[{"name":"w","team":"t","kind":"batch",` +
	`"class":"x","priority":"low","tasks":1,"size":{"milliCPU":100,"memoryMB":100}}]}`

// fakeDaemon returns the results that a test sets and counts calls of Apply.
type fakeDaemon struct {
	result  config.ApplyResult
	current *config.Accepted
	err     error
	changes int
	// cordons lists the changes of cordons, lifted zones with a minus sign.
	cordons []string
}

func (d *fakeDaemon) Apply(context.Context, config.ApplyRequest) (config.ApplyResult, error) {
	d.changes++
	return d.result, d.err
}
func (d *fakeDaemon) Status(context.Context) (daemon.Status, error) { return daemon.Status{}, d.err }
func (d *fakeDaemon) Tasks(context.Context) ([]daemon.TaskStatus, error) {
	return nil, d.err
}
func (d *fakeDaemon) Config(context.Context) (*config.Accepted, error) { return d.current, d.err }
func (d *fakeDaemon) Timeline() []timeline.Event                       { return nil }

func (d *fakeDaemon) SetCordon(_ context.Context, zone model.Zone, lift bool) error {
	sign := ""
	if lift {
		sign = "-"
	}
	d.cordons = append(d.cordons, sign+string(zone))
	return d.err
}

type fixture struct {
	daemon   *fakeDaemon
	notReady error
	drains   int
	server   *httptest.Server
	client   *Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{daemon: &fakeDaemon{}}
	s := New(Options{
		Daemon:   f.daemon,
		Gatherer: prometheus.NewRegistry(),
		Ready:    func() error { return f.notReady },
		Drain:    func() { f.drains++ },
	})
	f.server = httptest.NewServer(s.server.Handler)
	t.Cleanup(f.server.Close)
	f.client = NewClient(f.server.URL, http.DefaultTransport)
	return f
}

func (f *fixture) send(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(response)
}

func TestStatusOfEachOutcome(t *testing.T) {
	down := &port.StoreError{Call: "txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
	for _, c := range []struct {
		result  config.ApplyResult
		err     error
		status  int
		outcome Outcome
	}{
		{config.ApplyAccepted{Revision: 2}, nil, http.StatusOK, Accepted},
		{config.ApplyNoChange{Revision: 2}, nil, http.StatusOK, NoChange},
		{config.ApplyConflict{Current: 3}, nil, http.StatusConflict, Conflict},
		{config.ApplyRefused{Cause: &manifest.InvalidError{}}, nil, http.StatusUnprocessableEntity, Refused},
		{config.ApplyRefused{Cause: &config.NoShardsError{}}, nil, http.StatusServiceUnavailable, NotMade},
		{config.ApplyNotMade{Cause: down}, nil, http.StatusServiceUnavailable, NotMade},
		{config.ApplyUnknown{Revision: 2, Cause: down}, nil, http.StatusBadGateway, Unknown},
		{nil, &daemon.StoppedError{Reason: daemon.StopCanceled}, http.StatusBadGateway, Unknown},
	} {
		t.Run(fmt.Sprintf("%T %s", c.result, c.outcome), func(t *testing.T) {
			f := newFixture(t)
			f.daemon.result, f.daemon.err = c.result, c.err
			if status, response := f.send(t, http.MethodPost, "/v1/manifest", document); status != c.status {
				t.Errorf("status %d, want %d: %s", status, c.status, response)
			}
			result, err := f.client.Cancel(context.Background(), CancelRequest{Workloads: []string{"w"}})
			if err != nil || result.Outcome != c.outcome {
				t.Errorf("client returned outcome %q, error %v", result.Outcome, err)
			}
		})
	}
}

// Guards against a partially applied invalid request, and against a dry run that
// changes something. Both happen if unknown parameters, unknown fields or invalid
// parts of a manifest are ignored.
func TestBadRequestsReachNoDaemon(t *testing.T) {
	duplicate := strings.Replace(document, `{"name":"w"`, `{"name":"w","team":"t","kind":"batch","class":"x",`+
		`"priority":"low","tasks":1,"size":{"milliCPU":1,"memoryMB":1}},{"name":"w"`, 1)
	large := strings.Replace(document, `"size"`, `"args":[`+
		strings.TrimSuffix(strings.Repeat(`"`+strings.Repeat("a", 60<<10)+`",`, 20), ",")+`],"size"`, 1)
	for _, c := range []struct {
		name   string
		path   string
		body   string
		status int
		says   string
	}{
		{"unknown parameter", "/v1/manifest?dryrun=true", document, 400, string(ReasonUnknownParameter)},
		{"bad dryRun", "/v1/manifest?dryRun=yes", document, 400, string(ReasonBadValue)},
		{"bad base", "/v1/manifest?base=-1", document, 400, string(ReasonBadValue)},
		{"unknown field", "/v1/manifest", strings.Replace(document, "tasks", "replicas", 1), 422, "workloads[0].replicas"},
		{"duplicate workload", "/v1/manifest", duplicate, 422, string(manifest.ReasonDuplicate)},
		{"impossible size", "/v1/manifest", strings.Replace(document, `"milliCPU":100`, `"milliCPU":99999999`, 1), 422, "size.milliCPU"},
		{"negative time", "/v1/manifest", strings.Replace(document, `"tasks"`, `"runTime":"-5m","tasks"`, 1), 422, string(manifest.ReasonNegative)},
		{"large manifest", "/v1/manifest", large, 422, string(manifest.ReasonTooLarge)},
		{"larger body", "/v1/manifest", strings.Repeat(" ", maxManifestBytes+1), 422, string(manifest.ReasonTooLarge)},
		{"not a manifest", "/v1/manifest", "][", 422, string(manifest.ReasonSyntax)},
		{"cancel of nothing", "/v1/cancel", `{"workloads":[]}`, 400, string(ReasonNoWorkloads)},
		{"cancel with unknown field", "/v1/cancel", `{"workloads":["w"],"force":true}`, 400, "force"},
		{"cancel of two objects", "/v1/cancel", `{"workloads":["w"]} {}`, 400, string(ReasonBadJSON)},
		{"unknown call", "/v1/restart", "", 404, string(NoSuchCall)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			status, response := f.send(t, http.MethodPost, c.path, c.body)
			if status != c.status || !strings.Contains(response, c.says) {
				t.Errorf("status %d: %.300s", status, response)
			}
			if f.daemon.changes != 0 {
				t.Errorf("%d changes reached the daemon", f.daemon.changes)
			}
		})
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	f := newFixture(t)
	m, err := manifest.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	f.daemon.current, _, err = config.Accept(nil, m, 4, "writer")
	if err != nil {
		t.Fatal(err)
	}
	stale := model.Revision(7)
	for _, c := range []struct {
		document string
		base     *model.Revision
		outcome  Outcome
		revision model.Revision
	}{
		{document, nil, NoChange, 1},
		{strings.Replace(document, `"tasks":1`, `"tasks":2`, 1), nil, WouldMake, 2},
		{document, &stale, Conflict, 1},
		{strings.Replace(document, `"cluster":"c"`, `"cluster":"d"`, 1), nil, Refused, 0},
	} {
		result, err := f.client.Apply(context.Background(), []byte(c.document), c.base, true)
		if err != nil || result.Outcome != c.outcome || result.Revision != c.revision {
			t.Errorf("want %s at %d: %+v, %v", c.outcome, c.revision, result, err)
		}
	}
	if f.daemon.changes != 0 {
		t.Errorf("%d changes reached the daemon", f.daemon.changes)
	}
}

func TestProbesDrainAndEmptyLists(t *testing.T) {
	f := newFixture(t)
	f.notReady = &daemon.StoppedError{Reason: daemon.StopEnded}
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{http.MethodGet, "/livez", 200, "live\n"},
		{http.MethodGet, "/readyz", 503, string(daemon.StopEnded) + "\n"},
		{http.MethodGet, "/v1/manifest", 404, `{"kind":"no manifest","detail":""}` + "\n"},
		{http.MethodGet, "/v1/tasks", 200, "[]\n"},
		{http.MethodGet, "/v1/timeline", 200, "[]\n"},
		{http.MethodGet, "/v1/drain", 405, `{"kind":"no such call","detail":"Method Not Allowed"}` + "\n"},
		{http.MethodPost, "/v1/drain", 202, ""},
	} {
		if status, body := f.send(t, c.method, c.path, ""); status != c.status || body != c.body {
			t.Errorf("%s %s: %d %q", c.method, c.path, status, body)
		}
	}
	if f.drains != 1 {
		t.Errorf("%d drains", f.drains)
	}
}

// Guards against reporting that a change was not made although it was. This happens
// if every call without a response from the daemon counts as not sent: the
// connection breaks after the request was sent, or a proxy responds in place of the
// daemon.
func TestOutcomeOfFailedCalls(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	between := httptest.NewServer(http.NotFoundHandler())
	defer between.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	refused := newFixture(t).server.URL + "/v1/manifest?x=y&"
	for name, c := range map[string]struct {
		address string
		outcome port.Outcome
	}{
		"broken":              {broken.URL, port.OutcomeUnknown},
		"answered by another": {between.URL, port.OutcomeUnknown},
		"not listening":       {closed.Addr().String(), port.OutcomeNotDone},
		"refused":             {refused, port.OutcomeNotDone},
	} {
		_, err := NewClient(c.address, http.DefaultTransport).Apply(context.Background(), []byte(document), nil, false)
		var failed *CallError
		if !errors.As(err, &failed) || failed.Outcome != c.outcome {
			t.Errorf("%s: %v", name, err)
		}
	}
}
