package daemon

import (
	"time"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/plan"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/core/workersession"
)

// measure learns from one late measurement of a task.
func (s *shard) measure(w *worker, u workersession.Usage) {
	now := s.c.clock.Now()
	key := u.Attempt.Task
	t, known := s.ledger.Effective().Task(key)
	if !known || t.Attempt != u.Attempt.Attempt {
		return
	}
	w.measured[key] = u
	w.load = s.measuredLoad(w)
	declared := t.Size
	if accepted, current := s.c.workload(key); current {
		declared = accepted.Spec.Size
	}
	s.c.sizes.Observe(now, key, declared, interference.Usage{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB})
	s.growHold(w, t, declared)
	s.c.slowdowns.Observe(now, interference.Observation{
		Worker:     w.vm.ID,
		Victim:     key,
		Class:      t.Class,
		MeasuredAt: u.MeasuredAt,
		Slowdown:   float64(u.SlowdownPercent) / 100,
		Load:       w.load,
	})
}

// growHold commits more room for a running task that was seen to use more than
// it holds, as far as its worker has any. What is missing is a shortage, for
// the eviction policy to settle.
func (s *shard) growHold(w *worker, t ledger.Task, declared model.Resources) {
	if t.State != ledger.Running || !w.listed {
		return
	}
	want := s.c.sizes.RunningSize(t.Key, declared, t.Size)
	free := w.vm.Capacity.Sub(s.ledger.Effective().Committed(w.vm.ID))
	granted, missing := interference.SplitGrowth(t.Size, want, free)
	delete(w.shortages, t.Key)
	if missing != (model.Resources{}) {
		w.shortages[t.Key] = missing
	}
	if granted == t.Size {
		return
	}
	t.Size = granted
	accepted, _ := plan.Apply(s.ledger.Effective(), s.capacity, plan.Plan{
		Changes: []ledger.Change{{Put: &t}},
	})
	s.propose(accepted)
}

// measuredLoad is the share of a worker's processors that its tasks were last
// measured to use.
func (s *shard) measuredLoad(w *worker) float64 {
	if w.vm.Capacity.MilliCPU <= 0 {
		return 0
	}
	var used int64
	for _, m := range w.measured {
		used += m.MilliCPU
	}
	return min(1, float64(used)/float64(w.vm.Capacity.MilliCPU))
}

// act carries out one action of the eviction policy.
func (s *shard) act(now time.Time, w *worker, a eviction.Action) {
	s.c.metrics.actions.WithLabelValues(string(a.Kind)).Inc()
	switch a.Kind {
	case eviction.Throttle:
		s.throttle(now, w, a, timeline.TaskThrottled)
	case eviction.Unthrottle:
		s.throttle(now, w, a, timeline.TaskUnthrottled)
	case eviction.Evict:
		s.evict(a)
	}
}

func (s *shard) throttle(now time.Time, w *worker, a eviction.Action, kind timeline.Kind) {
	s.record(timeline.Event{Kind: kind, Subject: a.Task.String(), Detail: string(a.Reason)})
	w.throttles[a.Task] = throttle{percent: a.Percent, since: now}
	if a.Percent >= eviction.FullSpeed {
		delete(w.throttles, a.Task)
	}
	s.c.slowdowns.TaskThrottled(now, w.vm.ID, a.Task, float64(a.Percent)/eviction.FullSpeed)
	s.wish(w)
}

func (s *shard) evict(a eviction.Action) {
	t, known := s.ledger.Effective().Task(a.Task)
	if !known || t.State != ledger.Running {
		return
	}
	t.State = ledger.Stopping
	t.Resume = true
	t.Reason = string(a.Reason)
	s.propose([]ledger.Change{{Put: &t}})
}

// roomFresh is how long what another daemon told of a shard's room is
// believed.
const roomFresh = 10 * time.Second

// shardRoom returns the free room of each shard's emptiest worker, as far as
// it is known: of the shards owned here, and of those whose owners told lately.
func (c *control) shardRoom() map[model.ShardID]model.Resources {
	now := c.clock.Now()
	rooms := make(map[model.ShardID]model.Resources, len(c.shards))
	for id, told := range c.peerShards {
		if now.Sub(told.heard) < roomFresh {
			rooms[id] = told.room
		}
	}
	for id, s := range c.shards {
		if s.loaded {
			rooms[id] = s.largestRoom()
		}
	}
	return rooms
}

func (s *shard) largestRoom() model.Resources {
	var best model.Resources
	for _, id := range s.sortedWorkers() {
		w := s.workers[id]
		if !w.listed || w.leaving || w.unreachable || s.c.isCordoned(w) || w.vm.State == model.VMLeaving {
			continue
		}
		free := w.vm.Capacity.Sub(s.ledger.Effective().Committed(id))
		if free.MilliCPU > best.MilliCPU {
			best = free
		}
	}
	return best
}
