package daemon

import (
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

// applyOp is an operator's change on its way through the store.
type applyOp struct {
	id    uint64
	op    *config.ApplyOp
	reply chan<- config.ApplyResult
}

// applyRequested is an operator's apply or cancel.
type applyRequested struct {
	request config.ApplyRequest
	reply   chan<- config.ApplyResult
}

func (ev applyRequested) apply(c *control) {
	now := c.clock.Now()
	request := ev.request
	request.Shards = c.topologyCount()
	request.Known = c.config.Revision()
	c.nextID++
	a := &applyOp{
		id:    c.nextID,
		reply: ev.reply,
		op: config.NewApplyOp(request, config.ApplyOptions{
			Key:           c.o.manifestKey(),
			HeadKey:       c.o.manifestHeadKey(),
			Deadline:      now.Add(c.o.Timing.ApplyDeadline),
			RetryDelay:    applyRetryMin,
			MaxRetryDelay: applyRetryMax,
		}),
	}
	c.applies[a.id] = a
	c.stepApply(a, config.ApplyBegin{})
}

// The delay between the calls of an operator's change after failures.
const (
	applyRetryMin = 100 * time.Millisecond
	applyRetryMax = time.Second
)

type applyEvent struct {
	id uint64
	ev config.ApplyEvent
}

func (ev applyEvent) apply(c *control) {
	if a := c.applies[ev.id]; a != nil {
		c.stepApply(a, ev.ev)
	}
}

func (c *control) tickApplies(time.Time) {
	for _, id := range sortedKeys(c.applies) {
		c.stepApply(c.applies[id], config.ApplyTick{})
	}
}

func (c *control) stepApply(a *applyOp, ev config.ApplyEvent) {
	for _, cmd := range a.op.Step(c.clock.Now(), ev) {
		switch cmd := cmd.(type) {
		case config.ReadConfig:
			c.get(storebudget.ClassRead, cmd.Key, func(kv port.KeyValue, err error) event {
				return applyEvent{a.id, config.ApplyReadDone{KV: kv, Err: err}}
			})
		case config.CommitConfig:
			c.txn(storebudget.ClassCommit, cmd.Conditions, cmd.Ops, func(r port.TxnResult, err error) event {
				return applyEvent{a.id, config.ApplyCommitDone{Result: r, Err: err}}
			})
		case config.ApplyFinished:
			c.applyFinished(a, cmd.Result)
		}
	}
}

func (c *control) applyFinished(a *applyOp, result config.ApplyResult) {
	delete(c.applies, a.id)
	switch r := result.(type) {
	case config.ApplyAccepted:
		c.record(timeline.Event{Kind: timeline.ConfigAccepted, Revision: r.Revision})
		c.installStored(r.Config)
	case config.ApplyConflict:
		c.record(timeline.Event{Kind: timeline.ConfigConflict, Revision: r.Current})
	case config.ApplyRefused:
		c.record(timeline.Event{Kind: timeline.ConfigRefused})
	case config.ApplyUnknown:
		c.record(timeline.Event{Kind: timeline.ConfigOutcomeUnknown, Revision: r.Revision})
	}
	a.reply <- result
}

// inspection asks the control loop for a picture of itself.
type inspection struct {
	look func(*control)
	done chan<- struct{}
}

func (ev inspection) apply(c *control) {
	ev.look(c)
	close(ev.done)
}

// Status is a daemon's own picture of itself and of its cluster.
type Status struct {
	Daemon        model.DaemonID `json:"daemon"`
	Zone          model.Zone     `json:"availabilityZone"`
	Cluster       string         `json:"cluster"`
	Serving       bool           `json:"serving"`
	Reason        string         `json:"reason,omitempty"`
	Draining      bool           `json:"draining"`
	Revision      model.Revision `json:"revision"`
	StoreSilent   bool           `json:"storeSilent"`
	Shards        uint32         `json:"shards"`
	Owned         []ShardStatus  `json:"owned"`
	Members       []MemberStatus `json:"members"`
	WorkersListed int            `json:"workersListed"`
	// Cordons are the cordoned availability zones, by the store revision that
	// cordoned each. It is nil while this daemon owns no shard, or has not read
	// them yet.
	Cordons cordon.Zones `json:"cordons,omitempty"`
}

// MemberStatus is one daemon as another sees it.
type MemberStatus struct {
	ID       model.DaemonID `json:"id"`
	State    string         `json:"state"`
	Zone     model.Zone     `json:"availabilityZone"`
	Address  string         `json:"address"`
	Revision model.Revision `json:"revision"`
}

// ShardStatus is a shard as its owner sees it.
type ShardStatus struct {
	Shard model.ShardID `json:"shard"`
	Epoch model.Epoch   `json:"epoch"`
	// Loaded is false while the ledger is still being read: its tasks are then
	// not known, which is not the same as none.
	Loaded   bool           `json:"loaded"`
	Sequence uint64         `json:"sequence"`
	Tasks    map[string]int `json:"tasks"`
	Workers  []WorkerStatus `json:"workers"`
}

// WorkerStatus is a worker as its shard's owner sees it.
type WorkerStatus struct {
	ID          model.WorkerID  `json:"id"`
	Capacity    model.Resources `json:"capacity"`
	Committed   model.Resources `json:"committed"`
	Tasks       int             `json:"tasks"`
	Leaving     bool            `json:"leaving,omitempty"`
	Unreachable bool            `json:"unreachable,omitempty"`
	Cordoned    bool            `json:"cordoned,omitempty"`
	Quarantine  string          `json:"quarantine,omitempty"`
}

// TaskStatus is one task as its shard's ledger has it.
type TaskStatus struct {
	Task      string         `json:"task"`
	Workload  string         `json:"workload"`
	Team      string         `json:"team"`
	Service   bool           `json:"service"`
	State     string         `json:"state"`
	Attempt   model.Attempt  `json:"attempt"`
	Worker    model.WorkerID `json:"worker,omitempty"`
	Evictions uint32         `json:"evictions"`
	Failures  uint32         `json:"failures"`
	Reason    string         `json:"reason,omitempty"`
	Shard     model.ShardID  `json:"shard"`
}

func (c *control) status() Status {
	notServing := c.engine.Serving()
	st := Status{
		Daemon:        c.o.Identity.ID,
		Zone:          c.o.Identity.Zone,
		Cluster:       c.o.Identity.Cluster,
		Serving:       notServing == nil,
		Draining:      c.drain.begun,
		Revision:      c.config.Revision(),
		StoreSilent:   c.storeSilent,
		Shards:        c.topologyCount(),
		WorkersListed: len(c.vms),
	}
	if _, known := c.cordons.Age(c.clock.Now()); known {
		st.Cordons = c.cordons.Zones()
	}
	if notServing != nil {
		st.Reason = notServing.Error()
	}
	for _, id := range c.sortedShards() {
		st.Owned = append(st.Owned, c.shards[id].status(c.clock.Now()))
	}
	for _, m := range c.view.Members {
		st.Members = append(st.Members, MemberStatus{
			ID: m.ID, State: m.State.String(), Zone: m.Zone, Address: m.Address, Revision: m.ConfigRevision,
		})
	}
	return st
}

func (s *shard) status(now time.Time) ShardStatus {
	contents := s.ledger.Contents()
	st := ShardStatus{
		Shard:    s.id,
		Epoch:    s.epoch,
		Loaded:   s.loaded,
		Sequence: contents.Sequence(),
		Tasks:    make(map[string]int),
	}
	for t := range contents.Tasks() {
		st.Tasks[t.State.String()]++
	}
	for _, id := range s.sortedWorkers() {
		w := s.workers[id]
		ws := WorkerStatus{
			ID:          id,
			Capacity:    w.vm.Capacity,
			Committed:   contents.Committed(id),
			Tasks:       len(contents.OnWorker(id)),
			Leaving:     w.leaving || w.vm.State == model.VMLeaving,
			Unreachable: w.unreachable,
			Cordoned:    s.c.isCordoned(w),
		}
		if state := s.judge.State(now, id); state != 0 {
			ws.Quarantine = state.String()
		}
		st.Workers = append(st.Workers, ws)
	}
	return st
}

func (c *control) tasks() []TaskStatus {
	var list []TaskStatus
	for _, id := range c.sortedShards() {
		for t := range c.shards[id].ledger.Contents().Tasks() {
			list = append(list, TaskStatus{
				Task:      t.Key.String(),
				Workload:  t.Key.Workload,
				Team:      t.Team,
				Service:   t.Service,
				State:     t.State.String(),
				Attempt:   t.Attempt,
				Worker:    t.Worker,
				Evictions: t.Evictions,
				Failures:  t.Failures,
				Reason:    t.Reason,
				Shard:     id,
			})
		}
	}
	return list
}
