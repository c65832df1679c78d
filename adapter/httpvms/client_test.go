package httpvms_test

import (
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

// Symptom: live VMs look gone, or a VM is taken for another one.
// Events: the list is down, silent, cut short, not JSON, too large, or
// contradicts itself.
// Cause: a part of a bad answer was taken for the whole list.
func TestBadAnswersAreErrors(t *testing.T) {
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

// Symptom: the reader of the list waits for ever.
// Events: the list accepts the connection and says nothing.
// Cause: a read without a timeout.
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
