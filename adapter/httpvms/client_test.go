package httpvms_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/guavarill/guavarill/adapter/httpvms"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/vmlist"
)

var vm = model.VM{
	ID: "w1", Role: model.RoleWorker, State: model.VMLive, Zone: "z1", Rack: "r1",
	Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 60000}, Address: "10.0.0.1:7000",
}

func TestList(t *testing.T) {
	list := vmlist.New(port.SystemClock{}, 0)
	list.Set([]model.VM{vm})
	server, err := vmlist.Serve(list, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := httpvms.New(httpvms.Options{URL: server.URL()})
	got, err := client.List(context.Background())
	if err != nil || !cmp.Equal(got, []model.VM{vm}) {
		t.Fatal(got, err)
	}
	list.SetFaults(vmlist.Faults{Empty: true})
	if got, err = client.List(context.Background()); err != nil || len(got) != 0 {
		t.Fatal(got, err)
	}
}

// Guards against live VMs appearing to be gone, or one VM being mistaken for
// another. This happens if part of a bad response is used as the whole list: the
// response has an error status, is truncated, is not JSON, is too large or
// has invalid or duplicate entries.
func TestBadResponsesAreErrors(t *testing.T) {
	line := `{"id":"w1","role":"worker","state":"live","rack":"r1","address":"a:1"}`
	cases := []struct {
		name   string
		status int
		body   string
		cut    bool
		want   string
	}{
		{"status", 503, "[]", false, "*httpvms.StatusError"},
		{"cut short", 200, "[" + line, true, ""},
		{"not closed", 200, "[" + line, false, "*httpvms.DecodeError"},
		{"null", 200, "null", false, "*httpvms.DecodeError"},
		{"too large", 200, "[" + strings.Repeat(" ", 2000) + "]", false, "*httpvms.TooLargeError"},
		{"twice", 200, "[" + line + "," + line + "]", false, "*httpvms.InvalidVMError"},
		{"no rack", 200, `[{"id":"w1","role":"worker","state":"live","address":"a:1"}]`, false, "*httpvms.InvalidVMError"},
		{"bad state", 200, `[{"id":"w1","role":"entry","state":"gone","address":"a:1"}]`, false, "*httpvms.InvalidVMError"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.cut {
					w.Header().Set("Content-Length", "5000")
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := httpvms.New(httpvms.Options{URL: server.URL, MaxBytes: 1000})
			_, err := client.List(context.Background())
			var failed *port.VMListError
			if !errors.As(err, &failed) {
				t.Fatalf("got %v", err)
			}
			if got := fmt.Sprintf("%T", failed.Cause); c.want != "" && got != c.want {
				t.Fatalf("cause %s", got)
			}
		})
	}
}

// Guards against a read without a timeout, which blocks forever when the platform
// accepts the connection and sends nothing.
func TestSilentListTimesOut(t *testing.T) {
	list := vmlist.New(port.SystemClock{}, 0)
	list.SetFaults(vmlist.Faults{Silent: true})
	server := httptest.NewServer(list)
	defer server.Close()
	client := httpvms.New(httpvms.Options{URL: server.URL, Timeout: 100 * time.Millisecond})
	var failed *port.VMListError
	if _, err := client.List(context.Background()); !errors.As(err, &failed) {
		t.Fatal(err)
	}
}

// TestUnchangedListIsNotSent reads the list across changes, propagation delay,
// faults and a platform without ETags. It compares each result with the list that
// the platform serves, and checks which reads end in a 304.
func TestUnchangedListIsNotSent(t *testing.T) {
	clock := &clock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 10*time.Second)
	server := httptest.NewServer(list)
	defer server.Close()
	client := httpvms.New(httpvms.Options{URL: server.URL, Clock: clock, FullEvery: time.Hour})
	other := vm
	other.ID = "w2"
	pass := func(d time.Duration) { clock.now = clock.now.Add(d) }
	for _, step := range []struct {
		name      string
		do        func()
		want      []model.VM
		unchanged bool
	}{
		{"first", func() { list.Set([]model.VM{vm}); pass(time.Minute) }, []model.VM{vm}, false},
		{"again", func() {}, []model.VM{vm}, true},
		{"changed, not yet shown", func() { list.Update(other); pass(time.Second) }, []model.VM{vm}, true},
		{"shown", func() { pass(time.Minute) }, []model.VM{vm, other}, false},
		{"empty", func() { list.SetFaults(vmlist.Faults{Empty: true}) }, []model.VM{}, false},
		{"still empty", func() {}, []model.VM{}, true},
		{"down", func() { list.SetFaults(vmlist.Faults{Down: true}) }, nil, false},
		{"back", func() { list.SetFaults(vmlist.Faults{}) }, []model.VM{vm, other}, false},
		{"down again", func() { list.SetFaults(vmlist.Faults{Down: true}) }, nil, false},
		{"back as it was", func() { list.SetFaults(vmlist.Faults{}) }, []model.VM{vm, other}, true},
		{"no tags", func() { list.SetFaults(vmlist.Faults{NoETag: true}); list.Remove("w1"); pass(time.Minute) }, []model.VM{other}, false},
		{"no tags, again", func() {}, []model.VM{other}, false},
		{"tags again", func() { list.SetFaults(vmlist.Faults{}) }, []model.VM{other}, false},
		{"an hour later", func() { pass(time.Hour) }, []model.VM{other}, false},
	} {
		step.do()
		before := list.Unchanged()
		got, err := client.List(context.Background())
		if (err == nil) != (step.want != nil) || !cmp.Equal(got, step.want) {
			t.Fatalf("%s: %v, %v", step.name, got, err)
		}
		if unchanged := list.Unchanged() > before; unchanged != step.unchanged {
			t.Errorf("%s: platform reported unchanged %v", step.name, unchanged)
		}
		for i := range got {
			got[i] = model.VM{ID: "changed by the caller"}
		}
	}
}

// Guards against a VM that is gone staying in the list forever. This happens if
// the list changes, its ETag does not, and every request is conditional.
func TestStaleETagIsDetected(t *testing.T) {
	clock := &clock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 0)
	list.SetFaults(vmlist.Faults{ConstantETag: true})
	list.Set([]model.VM{vm})
	server := httptest.NewServer(list)
	defer server.Close()
	client := httpvms.New(httpvms.Options{URL: server.URL, Clock: clock, FullEvery: time.Minute})
	for i, want := range []int{1, 1, 0} {
		got, err := client.List(context.Background())
		if err != nil || len(got) != want {
			t.Fatalf("read %d: %v, %v", i, got, err)
		}
		list.Set(nil)
		clock.now = clock.now.Add(30 * time.Second)
	}
}

// Guards against live VMs appearing to be gone although the cached ETag is the
// current one. This happens if an ETag is cached without the list it belongs to:
// a response with a new ETag is truncated or invalid and the platform reports
// that ETag as unchanged afterwards, or a 304 has an ETag that was not requested.
func TestOnlyValidListsAreCached(t *testing.T) {
	line := `{"id":"w1","role":"worker","state":"live","rack":"r1","address":"a:1"}`
	zipped := func(text string) string {
		var out bytes.Buffer
		z := gzip.NewWriter(&out)
		_, _ = z.Write([]byte(text))
		_ = z.Close()
		return out.String()
	}
	responses := []struct {
		name, ifNoneMatch string
		status            int
		etag, body        string
		gzip              bool
		want              string
	}{
		{"304 unasked", "", 304, `"0"`, "", false, "*httpvms.StatusError"},
		{"whole", "", 200, `"1"`, zipped("[" + line + "]"), true, ""},
		{"cut short", `"1"`, 200, `"2"`, zipped("[" + line + "]")[:20], true, "*errors.withStack"},
		{"twice", `"1"`, 200, `"3"`, "[" + line + "," + line + "]", false, "*httpvms.InvalidVMError"},
		{"too large", `"1"`, 200, `"4"`, zipped("[" + strings.Repeat(" ", 1<<20) + "]"), true, "*httpvms.TooLargeError"},
		{"unchanged", `"1"`, 304, `W/"1"`, "", false, ""},
		{"unchanged, untagged", `"1"`, 304, "", "", false, ""},
		{"another's 304", `"1"`, 304, `"5"`, "", false, "*httpvms.TagError"},
		{"whole again", "", 200, `"6"`, "[" + line + "]", false, ""},
		{"then unchanged", `"6"`, 304, `"6"`, "", false, ""},
	}
	next := 0
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := responses[next]
		asked = r.Header.Get("If-None-Match")
		if a.etag != "" {
			w.Header().Set("ETag", a.etag)
		}
		if a.gzip {
			w.Header().Set("Content-Encoding", "gzip")
		}
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(a.body))
	}))
	defer server.Close()
	client := httpvms.New(httpvms.Options{URL: server.URL, MaxBytes: 100_000})
	for i, a := range responses {
		next = i
		got, err := client.List(context.Background())
		if asked != a.ifNoneMatch {
			t.Errorf("%s: asked about %q, want %q", a.name, asked, a.ifNoneMatch)
		}
		if a.want == "" {
			if err != nil || len(got) != 1 || got[0].ID != "w1" {
				t.Errorf("%s: %v, %v", a.name, got, err)
			}
			continue
		}
		var failed *port.VMListError
		if !errors.As(err, &failed) || fmt.Sprintf("%T", failed.Cause) != a.want {
			t.Errorf("%s: %v, %v", a.name, got, err)
		}
	}
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func TestUnknownRolesAreLeftOut(t *testing.T) {
	list := vmlist.New(port.SystemClock{}, 0)
	list.Set([]model.VM{{ID: "x", Role: "database"}, vm})
	server := httptest.NewServer(list)
	defer server.Close()
	got, err := httpvms.New(httpvms.Options{URL: server.URL}).List(context.Background())
	if err != nil || !cmp.Equal(got, []model.VM{vm}) {
		t.Fatal(got, err)
	}
}
