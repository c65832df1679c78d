package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/plan"
	"github.com/guavarill/guavarill/core/scheduler"
)

// decide runs a scheduling cycle when something changed or time is up.
func (s *shard) decide(now time.Time) {
	due := s.dirty || now.Sub(s.decided) >= s.c.o.Timing.Decide
	if !due || !s.mayDecide(now) {
		return
	}
	s.dirty = false
	s.decided = now
	snapshot := s.snapshot(now)
	p := scheduler.Decide(snapshot, s.c.o.Scheduler)
	if p.Synced != 0 {
		s.synced = p.Synced
	}
	s.c.metrics.cycles.Inc()
	accepted, rejected := plan.Apply(s.ledger.Effective(), s.capacity, p)
	s.c.metrics.rejected.Add(float64(len(rejected)))
	if len(rejected) > 0 {
		s.dirty = true
	}
	s.propose(accepted)
}

// mayDecide reports whether a decision could be committed now. Decisions made
// on an old list of VMs, or without a configuration, would be undone by the
// next one. Without current cordons a task might start in a cordoned zone.
func (s *shard) mayDecide(now time.Time) bool {
	full, _ := s.c.mayAct(now, s)
	return full && s.loaded && s.c.cordonsCurrent(now) && s.c.vmsKnown && s.c.config.Current() != nil && !s.c.drain.begun
}

func (s *shard) capacity(id model.WorkerID) (model.Resources, bool) {
	w := s.workers[id]
	if w == nil || !w.listed {
		return model.Resources{}, false
	}
	return w.vm.Capacity, true
}

func (s *shard) snapshot(now time.Time) *scheduler.Snapshot {
	return &scheduler.Snapshot{
		Now:               now,
		Shard:             s.id,
		Shards:            s.c.topologyCount(),
		Config:            s.c.config.Current(),
		Synced:            s.synced,
		Ledger:            s.ledger.Effective(),
		Workers:           s.workerViews(now),
		LargestCapacities: s.c.largest,
		ShardRoom:         s.c.shardRoom(),
		CommitSize:        s.c.sizes.CommitSize,
		Predictor:         s.c.slowdowns,
		Costs:             eviction.DefaultCosts(),
		Placer:            s.placer,
		Random:            s.c.random.Uint64(),
	}
}

func (s *shard) workerViews(now time.Time) []scheduler.Worker {
	views := make([]scheduler.Worker, 0, len(s.workers))
	for _, id := range s.sortedWorkers() {
		w := s.workers[id]
		if !w.listed {
			continue
		}
		running := len(s.ledger.Effective().OnWorker(id))
		views = append(views, scheduler.Worker{
			VM:          w.vm,
			Leaving:     w.leaving,
			Unreachable: w.unreachable,
			Cordoned:    s.c.isCordoned(w),
			Quarantined: !s.judge.MayStart(now, id, running),
			Load:        w.load,
		})
	}
	return views
}

// tickPolicy throttles, evicts and unthrottles batch tasks that slow services.
func (s *shard) tickPolicy(now time.Time) {
	if !s.mayDecide(now) {
		return
	}
	for _, id := range s.sortedWorkers() {
		w := s.workers[id]
		if len(w.measured) == 0 {
			continue
		}
		for _, action := range s.evictor.Decide(now, s.evictionView(w)) {
			s.act(now, w, action)
		}
	}
}

func (s *shard) evictionView(w *worker) eviction.WorkerView {
	view := eviction.WorkerView{Worker: w.vm.ID, Load: w.load}
	for _, t := range s.ledger.Effective().OnWorker(w.vm.ID) {
		if missing, short := w.shortages[t.Key]; short {
			view.Shortages = append(view.Shortages, eviction.Shortage{
				Task: t.Key, Service: t.Service, Missing: missing,
			})
		}
		if t.Service {
			m, measured := w.measured[t.Key]
			if measured {
				view.Services = append(view.Services, eviction.Service{
					Key: t.Key, Class: t.Class,
					Slowdown:   float64(m.SlowdownPercent) / 100,
					MeasuredAt: m.MeasuredAt,
				})
			}
			continue
		}
		task := scheduler.EvictionTask(t, s.longRunning(t.Key), false)
		task.Percent = w.percent(t.Key)
		task.ThrottledAt = w.throttles[t.Key].since
		view.Batch = append(view.Batch, task)
	}
	return view
}

func (s *shard) longRunning(key model.TaskKey) bool {
	w, known := s.c.workload(key)
	return known && w.Spec.LongRunning
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
