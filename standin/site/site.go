package site

import (
	"fmt"
	"sync"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/standin/vmlist"
	"github.com/guavarill/guavarill/standin/worker"
)

// Spec describes the workers of a deployment, and the delays of the stand-ins.
type Spec struct {
	Zones       []model.Zone
	Workers     int
	RackSize    int
	Capacity    model.Resources
	ServiceTime time.Duration
	// ListLag is the delay until readers of the list of VMs see a change.
	ListLag time.Duration
	// UsageLag is the age of the resource usage that the agents report.
	UsageLag time.Duration
	// Speedup is the factor by which the run times of tasks are divided; 0 means 1.
	Speedup int
}

// Agency and Pindan are the two deployments for which the examples have manifests.
var (
	Agency = Spec{
		Zones:    []model.Zone{"mvd-a", "mvd-b", "mvd-c"},
		Workers:  50,
		RackSize: 8,
		Capacity: model.Resources{MilliCPU: 16_000, MemoryMB: 60 << 10},
	}
	Pindan = Spec{
		Zones:    []model.Zone{"swa-a", "swa-b", "swa-c", "swa-d"},
		Workers:  50,
		RackSize: 6,
		Capacity: model.Resources{MilliCPU: 32_000, MemoryMB: 125 << 10},
	}
)

// Default values of a Spec.
const (
	defaultServiceTime = 5 * time.Millisecond
	defaultListLag     = time.Second
	defaultUsageLag    = 5 * time.Second
)

func (s Spec) withDefaults() Spec {
	if s.ServiceTime == 0 {
		s.ServiceTime = defaultServiceTime
	}
	if s.ListLag == 0 {
		s.ListLag = defaultListLag
	}
	if s.UsageLag == 0 {
		s.UsageLag = defaultUsageLag
	}
	return s
}

// Site is a running stand-in platform.
type Site struct {
	spec  Spec
	clock port.Clock

	Store *store.Server
	VMs   *vmlist.List
	// Agents holds the agents by worker ID.
	Agents map[model.WorkerID]*worker.Agent

	storeAddress string
	list         *vmlist.Server
	servers      []*worker.Server

	mu      sync.Mutex
	targets []*target.Target
}

// StartError reports that a stand-in did not start.
type StartError struct {
	Part  string
	Cause error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("stand-in %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Start starts all stand-ins on free ports of loopback. If one fails to start, Start
// closes the others and returns a *StartError.
func Start(spec Spec) (*Site, error) {
	s := &Site{
		spec:   spec.withDefaults(),
		clock:  port.SystemClock{},
		Agents: make(map[model.WorkerID]*worker.Agent),
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	s.Store = store.New(store.Options{})
	address, err := s.Store.Start()
	if err != nil {
		return &StartError{Part: "store", Cause: err}
	}
	s.storeAddress = address
	s.VMs = vmlist.New(s.clock, s.spec.ListLag)
	s.list, err = vmlist.Serve(s.VMs, "127.0.0.1:0")
	if err != nil {
		return &StartError{Part: "list of VMs", Cause: err}
	}
	var vms []model.VM
	for i := range s.spec.Workers {
		vm, err := s.startWorker(i)
		if err != nil {
			return err
		}
		vms = append(vms, vm)
	}
	s.VMs.Set(vms)
	return nil
}

func (s *Site) startWorker(i int) (model.VM, error) {
	rack := i / s.spec.RackSize
	vm := model.VM{
		ID:       model.WorkerID(fmt.Sprintf("worker-%02d", i)),
		Role:     model.RoleWorker,
		State:    model.VMLive,
		Zone:     s.spec.Zones[rack%len(s.spec.Zones)],
		Rack:     model.Rack(fmt.Sprintf("rack-%02d", rack)),
		Capacity: s.spec.Capacity,
	}
	agent := worker.New(worker.Options{
		ID:           vm.ID,
		Capacity:     vm.Capacity,
		Clock:        s.clock,
		UsageLag:     s.spec.UsageLag,
		StartService: s.startTarget,
		Behave:       s.taskBehaviour,
	})
	server, err := worker.Serve(agent, "127.0.0.1:0")
	if err != nil {
		return vm, &StartError{Part: string(vm.ID), Cause: err}
	}
	vm.Address = server.Address()
	s.Agents[vm.ID] = agent
	s.servers = append(s.servers, server)
	return vm, nil
}

func (s *Site) taskBehaviour(start *workerv1.Start) worker.Behaviour {
	b := worker.DefaultBehaviour(start)
	if s.spec.Speedup > 1 {
		b.Run /= time.Duration(s.spec.Speedup)
	}
	return b
}

// startTarget starts an instance of a service and returns its address and a
// function that closes it. The address of an instance that cannot listen is empty,
// so that it receives no requests.
func (s *Site) startTarget(start *workerv1.Start) (string, func()) {
	t, err := target.Start(target.Options{Name: start.GetTask(), Work: s.spec.ServiceTime})
	if err != nil {
		return "", func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
	return t.Address(), t.Close
}

// StoreAddress returns the host:port of the key-value store.
func (s *Site) StoreAddress() string { return s.storeAddress }

// VMListURL returns the URL of the list of VMs.
func (s *Site) VMListURL() string { return s.list.URL() }

// AddEntry adds a daemon's VM to the list of VMs with the role of an entry.
func (s *Site) AddEntry(id string, zone model.Zone, peerAddress string) {
	s.VMs.Update(model.VM{
		ID: model.WorkerID(id), Role: model.RoleEntry, State: model.VMLive, Zone: zone, Address: peerAddress,
	})
}

// Targets returns all targets that were started, including closed ones.
func (s *Site) Targets() []*target.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*target.Target(nil), s.targets...)
}

// Audit returns the violations of guarantees that the agents recorded.
func (s *Site) Audit() []worker.Violation {
	agents := make([]*worker.Agent, 0, len(s.Agents))
	for _, a := range s.Agents {
		agents = append(agents, a)
	}
	return worker.Audit(agents...)
}

// Close closes all stand-ins that were started.
func (s *Site) Close() {
	for _, server := range s.servers {
		server.Close()
	}
	for _, t := range s.Targets() {
		t.Close()
	}
	if s.list != nil {
		s.list.Close()
	}
	if s.Store != nil {
		s.Store.Close()
	}
}
