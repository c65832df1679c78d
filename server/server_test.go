package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/settings"
	"github.com/guavarill/guavarill/standin/site"
	"github.com/guavarill/guavarill/traffic"
)

const testManifest = `
cluster: c
teams: [{name: t}]
workloads:
  - {name: web, team: t, kind: service, class: web, priority: urgent, tasks: 2,
     size: {milliCPU: 500, memoryMB: 256}, slots: 8, connections: 60, timeout: 2s}
`

// waitTimeout is the timeout of each wait; a test that reaches it fails.
const waitTimeout = 40 * time.Second

type process struct {
	*Server
	client *adminapi.Client
	done   chan error
}

func daemonSettings(platform *site.Site) settings.Daemon {
	return settings.Daemon{
		Cluster: "c", ID: "entry-1", Zone: "a",
		ListenCallers: "127.0.0.1:0", ListenAdmin: "127.0.0.1:0", ListenPeers: "127.0.0.1:0",
		Store: platform.StoreAddress(), VMList: platform.VMListURL(), StoreTimeout: time.Second,
		StoreReads: 1000, StoreWrites: 300,
		LeaseTTL: 3 * time.Second, TaskLease: 6 * time.Second, OutageGrace: 3 * time.Second,
		BalancerNotice: time.Second, DrainTimeout: 30 * time.Second,
		RacksPerShard: 2, MaxBodyBytes: 1 << 20, TimelineEvents: 1000,
	}
}

func start(t *testing.T) *process {
	t.Helper()
	platform, err := site.Start(site.Spec{
		Zones: []model.Zone{"a"}, Workers: 2, RackSize: 2, ListLag: time.Millisecond,
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4096},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	srv, err := New(daemonSettings(platform), log)
	if err != nil {
		t.Fatal(err)
	}
	platform.AddEntry("entry-1", "a", srv.PeersAddress())
	p := &process{
		Server: srv,
		client: adminapi.NewClient(srv.AdminAddress(), http.DefaultTransport),
		done:   make(chan error, 1),
	}
	go func() { p.done <- srv.Run(context.Background()) }()
	t.Cleanup(srv.Kill)
	return p
}

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get sends a GET request and returns the status code and the body. The status is 0
// if there is no response.
func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func (p *process) running(t *testing.T) int {
	t.Helper()
	tasks, err := p.client.Tasks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, task := range tasks {
		if task.State == ledger.Running.String() {
			n++
		}
	}
	return n
}

func TestLifeOfAProcess(t *testing.T) {
	p := start(t)
	if status, _ := get(t, p.AdminAddress(), "/livez"); status != http.StatusOK {
		t.Fatalf("/livez returned status %d", status)
	}
	if status, why := get(t, p.AdminAddress(), "/readyz"); status != http.StatusServiceUnavailable {
		t.Fatalf("/readyz without a configuration returned status %d: %s", status, why)
	}
	eventually(t, "manifest accepted", func() bool {
		result, err := p.client.Apply(context.Background(), []byte(testManifest), nil, false)
		return err == nil && result.Outcome == adminapi.Accepted
	})
	eventually(t, "ready", func() bool {
		admin, _ := get(t, p.AdminAddress(), "/readyz")
		callers, _ := get(t, p.CallersAddress(), "/readyz")
		return admin == http.StatusOK && callers == http.StatusOK
	})
	eventually(t, "tasks running", func() bool { return p.running(t) == 2 })
	eventually(t, "request answered", func() bool {
		status, _ := get(t, p.CallersAddress(), "/v1/services/web/call/orders")
		return status == http.StatusOK
	})
	t.Run("metrics are documented", func(t *testing.T) { checkMetricsPage(t, p.AdminAddress()) })
	if err := p.client.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "readiness withdrawn on both ports", func() bool {
		admin, _ := get(t, p.AdminAddress(), "/readyz")
		callers, _ := get(t, p.CallersAddress(), "/readyz")
		return admin == http.StatusServiceUnavailable && callers == http.StatusServiceUnavailable
	})
	select {
	case err := <-p.done:
		if err != nil {
			t.Errorf("planned stop: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("planned stop did not finish in time")
	}
	if status, _ := get(t, p.AdminAddress(), "/livez"); status != 0 {
		t.Errorf("/livez after the stop returned status %d", status)
	}
}

var metricName = regexp.MustCompile("guavarill_[a-z_]+")

// checkMetricsPage compares the operators' page with the metrics that the process
// serves: every served metric must be documented, and every documented metric
// without labels must be served. A metric with labels is served only after its first
// observation, so its absence is not an error.
func checkMetricsPage(t *testing.T, address string) {
	t.Helper()
	page, err := os.ReadFile("../docs/operations/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := metricName.FindAllString(string(page), -1)
	_, served := get(t, address, "/metrics")
	for line := range strings.Lines(served) {
		name, isHelp := strings.CutPrefix(line, "# HELP ")
		name, _, _ = strings.Cut(name, " ")
		if isHelp && strings.HasPrefix(name, "guavarill_") && !slices.Contains(documented, name) {
			t.Errorf("%s is served but not documented", name)
		}
	}
	for _, row := range strings.Split(string(page), "\n| `")[1:] {
		name, rest, _ := strings.Cut(row, "`")
		labels, _, _ := strings.Cut(strings.TrimPrefix(rest, " | "), " |")
		if labels == "" && !strings.Contains(served, "# HELP "+name+" ") {
			t.Errorf("%s is documented but not served", name)
		}
	}
}

// Guards against a planned stop that cuts off requests but reports success: the
// handover or a request exceeds the drain timeout, and the stop treats the timeout as
// completion.
func TestStopThatTakesTooLongIsAnError(t *testing.T) {
	p := start(t)
	p.settings.DrainTimeout = time.Millisecond
	if err := p.client.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	var failed *StopError
	if err := <-p.done; !errors.As(err, &failed) {
		t.Errorf("Run returned %v, want a *StopError", err)
	}
}

func TestBadSettingsStartNothing(t *testing.T) {
	_, err := New(settings.Daemon{Cluster: "c", ID: "entry-1"}, logrus.New())
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) || invalid.Flag != "zone" {
		t.Errorf("New returned %v, want an *InvalidError for --zone", err)
	}
}

func TestReadyFailsBeforeTheFirstConfiguration(t *testing.T) {
	p := start(t)
	var refused *traffic.NotServingError
	if err := p.ready(); !errors.As(err, &refused) {
		t.Errorf("ready returned %v, want a *NotServingError", err)
	}
}

// Guards against a task that runs in two places after a takeover during a store
// outage. This happens if the default in settings differs from the default in package
// daemon, which tests and library users get, for a value that must be equal on all
// daemons.
func TestSharedTimesHaveOneDefault(t *testing.T) {
	s, err := settings.Parse(nil)
	if err != nil {
		t.Fatal(err)
	}
	o := daemon.DefaultOptions(daemon.Identity{}, daemon.Ports{})
	if s.OutageGrace != o.Session.OutageGrace || s.OutageGrace != o.Ownership.OutageGrace {
		t.Errorf("outage grace is %s in settings, %s in Session, %s in Ownership", s.OutageGrace, o.Session.OutageGrace, o.Ownership.OutageGrace)
	}
	if s.TaskLease != workersession.DefaultLease || s.RacksPerShard != o.RacksShard {
		t.Errorf("settings have task lease %s and %d racks per shard; the daemon has other defaults", s.TaskLease, s.RacksPerShard)
	}
}
