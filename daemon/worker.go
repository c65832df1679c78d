package daemon

import (
	"context"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/core/workersession"
)

// worker is what a shard's owner keeps of one worker.
type worker struct {
	vm          model.VM
	listed      bool
	leaving     bool
	unreachable bool
	session     *workersession.Session
	// throttles are the percentages below eviction.FullSpeed.
	throttles map[model.TaskKey]throttle
	// measured holds the latest measurement of each running task.
	measured map[model.TaskKey]workersession.Usage
	// shortages is room that running tasks need and the worker does not have.
	shortages map[model.TaskKey]model.Resources
	// healthyAt is when a running attempt will count as evidence for its
	// worker and its task.
	healthyAt map[model.AttemptKey]time.Time
	load      float64
	// drainDue is when the next stopping service may be told to stop.
	drainDue time.Time
}

type throttle struct {
	percent uint32
	since   time.Time
}

func (s *shard) newWorker(vm model.VM) *worker {
	return &worker{
		vm:        vm,
		session:   workersession.New(vm.ID, s.id, s.epoch, s.acquiredAt, false, s.c.o.Session),
		throttles: make(map[model.TaskKey]throttle),
		measured:  make(map[model.TaskKey]workersession.Usage),
		shortages: make(map[model.TaskKey]model.Resources),
		healthyAt: make(map[model.AttemptKey]time.Time),
	}
}

// refreshWorkers follows the platform's list: a session for each listed worker
// of the shard, and for each unlisted one on which tasks still hold room.
func (s *shard) refreshWorkers() {
	if !s.loaded {
		return
	}
	for _, w := range s.workers {
		w.listed = false
	}
	for _, vm := range s.c.shardVMs[s.id] {
		s.listWorker(vm)
	}
	for _, id := range s.ledger.Contents().Workers() {
		if s.workers[id] == nil {
			s.addWorker(model.VM{ID: id, Role: model.RoleWorker})
		}
	}
	for _, id := range s.sortedWorkers() {
		s.unlistWorker(id)
	}
	s.judge.SetFleetSize(len(s.workers))
}

func (s *shard) listWorker(vm model.VM) {
	w := s.workers[vm.ID]
	if w == nil {
		w = s.addWorker(vm)
	}
	if w.vm.State != vm.State {
		s.dirty = true
	}
	w.vm = vm
	w.listed = true
}

func (s *shard) addWorker(vm model.VM) *worker {
	w := s.newWorker(vm)
	s.workers[vm.ID] = w
	s.dirty = true
	s.wish(w)
	return w
}

func (s *shard) unlistWorker(id model.WorkerID) {
	w := s.workers[id]
	if w.listed || !w.session.Idle() {
		return
	}
	s.record(timeline.Event{Kind: timeline.WorkerGone, Subject: string(id)})
	delete(s.workers, id)
	s.evictor.Forget(id)
	s.c.slowdowns.DropWorker(id)
	s.dirty = true
}

func (s *shard) sortedWorkers() []model.WorkerID { return sortedKeys(s.workers) }

func (s *shard) tickWorkers(now time.Time) {
	s.judgePredecessors()
	for _, id := range s.sortedWorkers() {
		w := s.workers[id]
		if !w.drainDue.IsZero() && !now.Before(w.drainDue) {
			s.wish(w)
		}
		s.stepSession(w, workersession.Tick{})
		s.observeHealthy(now, w)
	}
}

// stepSession steps a worker's session with the permission of this moment.
func (s *shard) stepSession(w *worker, ev workersession.Event) {
	now := s.c.clock.Now()
	full, renewOnly := s.c.mayAct(now, s)
	s.doSession(w, w.session.Step(now, workersession.Permission{
		Full: full, RenewOnly: renewOnly, PredecessorsOver: s.predecessorsOver,
	}))
	s.doSession(w, w.session.Step(now, ev))
}

// sessionEvent passes the answer of a call to the worker's session.
type sessionEvent struct {
	s  *shard
	w  *worker
	ev workersession.Answered
}

// apply drops answers to a session that is not the worker's any more. Taken to
// the end, such an answer would name the attempts of the worker's new session
// as unknown, and have them stopped.
func (ev sessionEvent) apply(c *control) {
	if ev.s.lost || ev.s.workers[ev.w.vm.ID] != ev.w {
		return
	}
	ev.ev.ReceivedAt = c.clock.Now()
	ev.s.stepSession(ev.w, ev.ev)
}

func (s *shard) doSession(w *worker, cmds []workersession.Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case workersession.Send:
			s.send(w, cmd)
		case workersession.Observed:
			s.observe(w, observation(w, cmd))
		case workersession.Over:
			s.observeOver(w, cmd)
		case workersession.Usage:
			s.measure(w, cmd)
		case workersession.Fenced:
			s.record(timeline.Event{Kind: timeline.WorkerFenced, Subject: string(w.vm.ID), Epoch: cmd.Epoch})
			s.c.stepOwner(ownership.LedgerStoodDown{Shard: s.id})
		case workersession.Unreachable:
			s.setUnreachable(w, true, timeline.WorkerUnreachable)
		case workersession.Reachable:
			s.setUnreachable(w, false, timeline.WorkerReachable)
		case workersession.Leaving:
			s.workerLeaving(w)
		}
	}
}

func (s *shard) send(w *worker, cmd workersession.Send) {
	sent := s.c.clock.Now()
	address := w.vm.Address
	s.c.metrics.workerCalls.Inc()
	s.c.exec.start(func() event {
		ctx, cancel := context.WithTimeout(s.c.ctx, cmd.Timeout)
		defer cancel()
		resp, err := s.c.o.Ports.Workers.Apply(ctx, address, cmd.Req)
		return sessionEvent{s, w, workersession.Answered{ID: cmd.ID, Resp: resp, Err: err, SentAt: sent}}
	})
}

func (s *shard) setUnreachable(w *worker, unreachable bool, kind timeline.Kind) {
	w.unreachable = unreachable
	s.dirty = true
	s.record(timeline.Event{Kind: kind, Subject: string(w.vm.ID)})
	s.c.log.WithField("worker", w.vm.ID).WithField("unreachable", unreachable).Warn("worker changed state")
}

// workerLeaving keeps new work away at once; the tasks there are moved by the
// next scheduling cycle.
func (s *shard) workerLeaving(w *worker) {
	w.leaving = true
	s.dirty = true
	s.record(timeline.Event{Kind: timeline.WorkerLeaving, Subject: string(w.vm.ID)})
	s.c.targetsLeaving(s, w.vm.ID)
}

// wishAll tells every session what the committed ledger wants of its worker.
func (s *shard) wishAll() {
	if s.ledger.Phase() == ledger.Idle {
		return
	}
	s.refreshWorkers()
	for _, id := range s.sortedWorkers() {
		s.wish(s.workers[id])
	}
}

func (s *shard) wish(w *worker) {
	now := s.c.clock.Now()
	w.drainDue = time.Time{}
	desired := workersession.Desired{}
	for _, t := range s.ledger.Contents().OnWorker(w.vm.ID) {
		desired.Tasks = append(desired.Tasks, s.desired(now, w, t))
	}
	s.stepSession(w, desired)
}

func (s *shard) desired(now time.Time, w *worker, t ledger.Task) workersession.DesiredTask {
	d := workersession.DesiredTask{
		Attempt:  model.AttemptKey{Task: t.Key, Attempt: t.Attempt},
		Kind:     workersession.Keep,
		Throttle: w.throttles[t.Key].percent,
	}
	switch t.State {
	case ledger.Assigned:
		if s.c.isCordoned(w) || !s.c.cordonsCurrent(now) {
			return d
		}
		d.Kind = workersession.Start
		d.Start = s.startRequest(t)
	case ledger.Stopping:
		if t.NotBefore.After(now) {
			w.dueAt(t.NotBefore)
			return d
		}
		d.Kind = workersession.Stop
		d.Checkpoint = t.Resume
	}
	return d
}

func (w *worker) dueAt(at time.Time) {
	if w.drainDue.IsZero() || at.Before(w.drainDue) {
		w.drainDue = at
	}
}

func (s *shard) startRequest(t ledger.Task) *workerv1.Start {
	start := &workerv1.Start{
		Workload:     t.Key.Workload,
		Class:        t.Class,
		Service:      t.Service,
		MilliCpu:     t.Size.MilliCPU,
		MemoryMb:     t.Size.MemoryMB,
		Accelerators: t.Size.Accelerators,
		Checkpoint:   t.Checkpoint,
	}
	if w, known := s.c.workload(t.Key); known {
		start.Args = w.Spec.Args
		start.RunMillis = time.Duration(w.Spec.RunTime).Milliseconds()
	}
	return start
}

// percent returns what part of its processors a task may use.
func (w *worker) percent(key model.TaskKey) uint32 {
	if th, throttled := w.throttles[key]; throttled {
		return th.percent
	}
	return eviction.FullSpeed
}
