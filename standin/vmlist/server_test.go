package vmlist_test

import (
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
		{"well again", func() { l.SetFaults(vmlist.Faults{}) }, 200, 2},
		{"removed", func() { l.Remove("a"); c.now = c.now.Add(time.Minute) }, 200, 1},
	}
	for _, s := range steps {
		s.do()
		if code, vms := read(t, l); code != s.code || vms != s.vms {
			t.Fatalf("%s: status %d, %d VMs", s.name, code, vms)
		}
	}
}
