package cli

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/daemon"
)

const document = `
cluster: c
teams: [{name: t}]
workloads:
  - {name: web, team: t, kind: service, class: web, priority: urgent, tasks: 2,
     size: {milliCPU: 500, memoryMB: 256}, slots: 8, connections: 60, timeout: 2s}
  - {name: night, team: t, kind: batch, class: night, priority: low, tasks: 4,
     size: {milliCPU: 1000, memoryMB: 512}, runTime: 5m}
`

// fakeDaemon is the back end of a real operators' interface. It returns the
// configured results and records the requests.
type fakeDaemon struct {
	result   config.ApplyResult
	current  *config.Accepted
	statuses []daemon.Status
	tasks    []daemon.TaskStatus
	events   []timeline.Event
	err      error
	requests []config.ApplyRequest
	drains   int
}

func (d *fakeDaemon) Apply(_ context.Context, r config.ApplyRequest) (config.ApplyResult, error) {
	d.requests = append(d.requests, r)
	return d.result, d.err
}

// Status returns the statuses in turn, and the last one on every further call.
func (d *fakeDaemon) Status(context.Context) (daemon.Status, error) {
	st := d.statuses[0]
	if len(d.statuses) > 1 {
		d.statuses = d.statuses[1:]
	}
	return st, d.err
}
func (d *fakeDaemon) Tasks(context.Context) ([]daemon.TaskStatus, error) { return d.tasks, d.err }
func (d *fakeDaemon) Config(context.Context) (*config.Accepted, error)   { return d.current, d.err }
func (d *fakeDaemon) Timeline() []timeline.Event                         { return d.events }
func (d *fakeDaemon) SetCordon(context.Context, model.Zone, bool) error  { return d.err }

// serve starts an operators' interface in front of d and returns its address.
func serve(t *testing.T, d *fakeDaemon) string {
	t.Helper()
	l := listen(t)
	s := adminapi.New(adminapi.Options{
		Daemon: d, Gatherer: prometheus.NewRegistry(),
		Ready: func() error { return nil }, Drain: func() { d.drains++ },
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close(context.Background())
		<-done
	})
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// nobody returns the address of a closed listener, which refuses connections.
func nobody(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// breaking returns the address of a server that closes every connection after it
// has received part of the request.
func breaking(t *testing.T) string {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// Reading a byte ensures that the client has sent the request.
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

func accepted(t *testing.T, text string) *config.Accepted {
	t.Helper()
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	a, _, err := config.Accept(nil, m, 2, "writer")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "manifest.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

type run struct {
	code        ExitCode
	out, errOut string
}

// guavarill runs the command with the given daemon addresses. In its output the
// addresses, which differ between runs, are replaced by DAEMON-0, DAEMON-1 and
// so on.
func guavarill(addresses []string, args ...string) run {
	var all []string
	for _, address := range addresses {
		all = append(all, "--daemon="+address)
	}
	var out, errOut strings.Builder
	code := Main(append(all, args...), &out, &errOut)
	hide := func(text string) string {
		for i, address := range addresses {
			text = strings.ReplaceAll(text, address, "DAEMON-"+string(rune('0'+i)))
		}
		return text
	}
	return run{code: code, out: hide(out.String()), errOut: hide(errOut.String())}
}
