package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
	"github.com/guavarill/guavarill/traffic"
)

// callTimeout is how late a call to something that does not answer fails.
const callTimeout = 2 * time.Second

// nodeStore is the store as one daemon reaches it.
type nodeStore struct {
	*store.Local
	n *node
	// watching is the context of the watch opened last.
	watching context.Context
	// dropBefore and loseAnswer, when set and true, leave a transaction without
	// an answer, before its effect and after it.
	dropBefore, loseAnswer func(ops []port.Op) bool
	// late, when set and true, leaves a transaction without an answer and adds it to
	// held, by which it is carried out late.
	late func(ops []port.Op) bool
	held []func() (port.TxnResult, error)
	// commits counts the transactions that took effect, refused those whose
	// conditions did not hold.
	commits, refused int
	// lists counts the lists by each prefix.
	lists map[string]int
}

func (s *nodeStore) unreachable(call string) error {
	if !s.n.c.isCut(s.n.id, "store") {
		return nil
	}
	s.n.c.answerAfter = callTimeout
	return &port.StoreError{Call: call, Kind: port.StoreTimeout, Outcome: port.OutcomeNotDone}
}

func (s *nodeStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	if err := s.unreachable("Get"); err != nil {
		return port.KeyValue{}, err
	}
	return s.Local.Get(ctx, key)
}

func (s *nodeStore) List(ctx context.Context, prefix string) ([]port.KeyValue, int64, error) {
	if err := s.unreachable("List"); err != nil {
		return nil, 0, err
	}
	s.lists[prefix]++
	return s.Local.List(ctx, prefix)
}

func (s *nodeStore) Txn(ctx context.Context, conditions []port.Condition, ops []port.Op) (port.TxnResult, error) {
	if err := s.unreachable("Txn"); err != nil {
		return port.TxnResult{}, err
	}
	if s.dropBefore != nil && s.dropBefore(ops) {
		return port.TxnResult{}, s.noAnswer()
	}
	if s.late != nil && s.late(ops) {
		s.held = append(s.held, func() (port.TxnResult, error) { return s.Local.Txn(context.Background(), conditions, ops) })
		return port.TxnResult{}, s.noAnswer()
	}
	result, err := s.Local.Txn(ctx, conditions, ops)
	switch {
	case err == nil && result.Succeeded:
		s.commits++
	case err == nil:
		s.refused++
	}
	if s.loseAnswer != nil && s.loseAnswer(ops) {
		return port.TxnResult{}, s.noAnswer()
	}
	return result, err
}

func (s *nodeStore) noAnswer() error {
	s.n.c.answerAfter = callTimeout
	return &port.StoreError{Call: "Txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown}
}

func (s *nodeStore) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	if err := s.unreachable("GrantLease"); err != nil {
		return 0, err
	}
	return s.Local.GrantLease(ctx, ttl)
}

func (s *nodeStore) KeepAlive(ctx context.Context, id port.LeaseID) (time.Duration, error) {
	if err := s.unreachable("KeepAlive"); err != nil {
		return 0, err
	}
	return s.Local.KeepAlive(ctx, id)
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, after int64) (<-chan port.WatchEvent, error) {
	if err := s.unreachable("Watch"); err != nil {
		return nil, err
	}
	s.watching = ctx
	return s.Local.Watch(ctx, prefix, after)
}

// nodeWorkers is the way from one daemon to the workers' agents.
type nodeWorkers struct {
	n *node
	// before and after, when set, see each request before it is sent and after
	// it was carried out. One that returns false has it lost there.
	before, after func(req *workerv1.ApplyRequest) bool
}

func (w *nodeWorkers) Apply(_ context.Context, address string, req *workerv1.ApplyRequest) (*workerv1.ApplyResponse, error) {
	c := w.n.c
	agent := c.agents[address]
	if agent == nil {
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeNotDone}
	}
	if c.silent[agent.ID()] || c.isCut(w.n.id, string(agent.ID())) {
		c.answerAfter = callTimeout
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeUnknown}
	}
	if w.before != nil && !w.before(req) {
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeUnknown}
	}
	resp := agent.Apply(proto.CloneOf(req))
	if w.after != nil && !w.after(req) {
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeUnknown}
	}
	agent.Delivered(resp)
	return resp, nil
}

// nodePeers is the way from one daemon to the others.
type nodePeers struct{ n *node }

func (p *nodePeers) reach(address string) (*node, error) {
	id, _, _ := strings.Cut(address, ":")
	peer := p.n.c.node(id)
	if peer == nil {
		return nil, &port.PeerError{Peer: id, Kind: port.PeerUnreachable}
	}
	if peer.paused || p.n.c.isCut(p.n.id, id) {
		p.n.c.answerAfter = 750 * time.Millisecond
		return nil, &port.PeerError{Peer: id, Kind: port.PeerUnreachable}
	}
	return peer, nil
}

func (p *nodePeers) Exchange(_ context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	peer, err := p.reach(address)
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(peer.exchange(proto.CloneOf(req))), nil
}

func (p *nodePeers) Claim(_ context.Context, address string, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	id, _, _ := strings.Cut(address, ":")
	peer := p.n.c.node(id)
	if peer == nil || peer.paused || p.n.c.isCut(p.n.id, id) {
		return nil, &port.PeerError{Peer: id, Kind: port.PeerUnreachable}
	}
	return peer.homes.answer(req), nil
}

// vmTable is the platform's list.
type vmTable struct {
	vms   []model.VM
	empty bool
}

func (l *vmTable) set(vm model.VM) {
	l.remove(string(vm.ID))
	l.vms = append(l.vms, vm)
}

func (l *vmTable) remove(id string) {
	l.vms = slices.DeleteFunc(l.vms, func(vm model.VM) bool { return string(vm.ID) == id })
}

func (l *vmTable) leaving(id string) {
	for i := range l.vms {
		if string(l.vms[i].ID) == id {
			l.vms[i].State = model.VMLeaving
		}
	}
}

type nodeVMs struct{ n *node }

func (l *nodeVMs) List(context.Context) ([]model.VM, error) {
	if l.n.c.vms.empty {
		return nil, nil
	}
	return slices.Clone(l.n.c.vms.vms), nil
}

// targets are the service instances. They count what they ran.
type targets struct {
	mu     sync.Mutex
	next   int
	live   map[string]string
	runs   map[string]int
	counts map[string]int
	// hold, when set, keeps requests in flight until it is closed.
	hold    chan struct{}
	entered chan string
}

func newTargets() *targets {
	return &targets{
		live: make(map[string]string), runs: make(map[string]int), counts: make(map[string]int),
		entered: make(chan string, 16),
	}
}

// start starts an instance; it implements worker.Options.StartService.
func (s *targets) start(start *workerv1.Start) (string, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	address := fmt.Sprintf("t%d", s.next)
	s.live[address] = start.GetTask()
	return address, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.live, address)
	}
}

// Do implements traffic.Target.
func (s *targets) Do(_ context.Context, address string, call *traffic.Call) (*traffic.Response, error) {
	s.mu.Lock()
	_, live := s.live[address]
	hold := s.hold
	if live {
		s.runs[call.ID]++
		s.counts[address]++
	}
	s.mu.Unlock()
	if !live {
		return nil, &traffic.ExchangeError{Address: address, Stage: fate.Connecting, Sent: fate.SentNothing, Reason: fate.ReasonConnectRefused}
	}
	if hold != nil {
		s.entered <- address
		<-hold
	}
	return &traffic.Response{Status: http.StatusOK, Body: []byte(call.ID), Address: address}, nil
}

// Limit implements traffic.Target.
func (s *targets) Limit(string, int) {}

func (s *targets) count(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[address]
}

func (s *targets) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *targets) isLive(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, live := s.live[address]
	return live
}
