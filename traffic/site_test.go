package traffic_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

const (
	patience = 20 * time.Second
	orders   = "orders"
)

// site is an engine and the stand-in instances of one service.
type site struct {
	engine    *traffic.Engine
	instances []*target.Target
	slots     int
}

func newSite(t *testing.T, instances, slots int, o traffic.Options, s traffic.Service) *site {
	t.Helper()
	client := httptarget.New(httptarget.Options{})
	t.Cleanup(client.Close)
	o.Target = client
	st := &site{engine: traffic.New(o), slots: slots}
	s.Name = orders
	if s.Timeout == 0 {
		s.Timeout = patience
	}
	st.engine.Configure([]traffic.Service{s})
	for range instances {
		instance, err := target.Start(target.Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(instance.Close)
		st.instances = append(st.instances, instance)
	}
	st.listTargets()
	st.engine.SetServing(true, "")
	return st
}

func (s *site) listTargets() {
	list := make([]routing.Target, len(s.instances))
	for i, instance := range s.instances {
		list[i] = routing.Target{Address: instance.Address(), Slots: s.slots, Connections: s.slots + 1}
	}
	s.engine.SetTargets(orders, list)
}

func (s *site) setFault(f target.Fault) {
	for _, instance := range s.instances {
		instance.SetFault(f)
	}
}

func (s *site) runs(id string) int {
	n := 0
	for _, instance := range s.instances {
		n += instance.Runs(id)
	}
	return n
}

// checkSlots fails the test unless every slot was released exactly once.
func (s *site) checkSlots(t *testing.T) {
	t.Helper()
	for _, state := range s.engine.TargetStates(orders) {
		if state.InFlight != 0 {
			t.Errorf("%s: %d slots are still taken", state.Address, state.InFlight)
		}
	}
}

func newRequest(id string) *traffic.Request {
	return &traffic.Request{
		Service: orders, ID: id, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("x"),
	}
}

func fateError(t *testing.T, err error) *fate.Error {
	t.Helper()
	var f *fate.Error
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a fate.Error", err)
	}
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(patience)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
