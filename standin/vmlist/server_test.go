package vmlist_test

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/standin/vmlist"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func read(t *testing.T, l *vmlist.List) (int, int) {
	t.Helper()
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	var vms []model.VM
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &vms); err != nil {
			t.Fatal(err)
		}
	}
	return w.Code, len(vms)
}

func TestLagAndFaults(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	l := vmlist.New(c, 10*time.Second)
	steps := []struct {
		name string
		do   func()
		code int
		vms  int
	}{
		{"new VM not yet seen", func() { l.Update(model.VM{ID: "a"}) }, 200, 0},
		{"seen after the lag", func() { c.now = c.now.Add(10 * time.Second) }, 200, 1},
		{"second VM not yet seen", func() { l.Update(model.VM{ID: "b"}) }, 200, 1},
		{"frozen", func() { l.SetFaults(vmlist.Faults{Frozen: true}); c.now = c.now.Add(time.Minute) }, 200, 1},
		{"empty", func() { l.SetFaults(vmlist.Faults{Empty: true}) }, 200, 0},
		{"down", func() { l.SetFaults(vmlist.Faults{Down: true}) }, 503, 0},
		{"recovered", func() { l.SetFaults(vmlist.Faults{}) }, 200, 2},
		{"removed", func() { l.Remove("a"); c.now = c.now.Add(time.Minute) }, 200, 1},
	}
	for _, s := range steps {
		s.do()
		if code, vms := read(t, l); code != s.code || vms != s.vms {
			t.Fatalf("%s: status %d, %d VMs", s.name, code, vms)
		}
	}
}

func TestConditionalAndCompressed(t *testing.T) {
	l := vmlist.New(&clock{now: time.Unix(1000, 0)}, 0)
	l.Set([]model.VM{{ID: "a"}})
	ask := func(header, value string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(header, value)
		l.ServeHTTP(w, r)
		return w
	}
	etag := ask("Accept", "*/*").Header().Get("ETag")
	for _, value := range []string{etag, `"x", ` + etag, "*"} {
		w := ask("If-None-Match", value)
		if w.Code != http.StatusNotModified || w.Body.Len() != 0 || w.Header().Get("ETag") != etag {
			t.Errorf("%s: status %d, %d bytes", value, w.Code, w.Body.Len())
		}
	}
	if w := ask("If-None-Match", `"x"`); w.Code != http.StatusOK {
		t.Errorf("ETag of another list: status %d", w.Code)
	}
	w := ask("Accept-Encoding", "gzip")
	z, err := gzip.NewReader(w.Body)
	if err != nil || w.Header().Get("Content-Encoding") != "gzip" {
		t.Fatal(err)
	}
	var vms []model.VM
	if err := json.NewDecoder(z).Decode(&vms); err != nil || len(vms) != 1 {
		t.Error(vms, err)
	}
	l.Update(model.VM{ID: "b"})
	if w := ask("If-None-Match", etag); w.Code != http.StatusOK || w.Header().Get("ETag") == etag {
		t.Errorf("changed list: status %d", w.Code)
	}
	l.SetFaults(vmlist.Faults{Down: true})
	if w := ask("If-None-Match", "*"); w.Code != http.StatusServiceUnavailable || w.Header().Get("ETag") != "" {
		t.Errorf("down: status %d", w.Code)
	}
}
