package eviction_test

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
)

func (s *sim) placeFixed(t *simTask) {
	r := s.request(t)
	d, err := s.placer.Place(s.snapshot, r)
	if err != nil {
		panic(err)
	}
	s.begin(t, r, d.Worker)
}

func (s *sim) newTask(w *workload, service, long bool) *simTask {
	s.index++
	vary := func(x float64) float64 { return x * math.Exp(0.15*s.rnd.NormFloat64()) }
	t := &simTask{
		key: model.TaskKey{Workload: w.name, Generation: 1, Index: s.index}, workload: w,
		service: service, long: long, percent: eviction.FullSpeed, slowdown: 1,
	}
	t.used.MilliCPU = int64(vary(w.cpu) * float64(w.declared.MilliCPU))
	t.used.MemoryMB = int64(vary(w.memory) * float64(w.declared.MemoryMB))
	t.total = vary(w.run) * w.class.run.Seconds()
	if service || long {
		t.total = math.Inf(1)
	}
	return t
}

func (s *sim) request(t *simTask) *placement.Request {
	size := t.workload.declared
	if s.policy.learn {
		size = s.sizes.CommitSize(t.workload.name, size)
	}
	r := &placement.Request{
		Key: t.key, Workload: t.workload.name, Class: t.workload.class.name, Service: t.service,
		Size: size, LastWorker: t.last, Evictions: t.evictions,
	}
	if t.service {
		r.Spread, r.Instances = placement.SpreadZone, s.site.workers
	}
	return r
}

func (s *sim) begin(t *simTask, r *placement.Request, id model.WorkerID) {
	if !s.snapshot.Assume(r, id) {
		panic("placed without room")
	}
	w := s.byID[id]
	t.worker, t.held, t.full, t.percent, t.done = w, r.Size, r.Size, eviction.FullSpeed, t.saved
	t.savedAt, t.throttledAt = s.now, s.now
	w.tasks = append(w.tasks, t)
	s.model.TaskStarted(s.now, id, t.key, r.Class)
	if s.policy.start != nil && !t.service {
		if percent := s.policy.start(s, t); percent < t.percent {
			s.throttle(t, percent)
		}
	}
	s.out.starts++
}

// end removes a task from its worker.
func (s *sim) end(t *simTask) {
	w := t.worker
	for i := range w.tasks {
		if w.tasks[i] == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			break
		}
	}
	s.snapshot.Release(t.key, w.id)
	s.model.TaskStopped(s.now, w.id, t.key)
	t.worker, t.last = nil, w.id
}

const (
	restartCost     = 20 * time.Second
	checkpointEvery = 5 * time.Minute
)

// evict stops a task. One time in ten its checkpoint fails, and the work since
// the previous checkpoint is lost.
func (s *sim) evict(t *simTask) {
	if s.rnd.Float64() >= 0.1 {
		t.saved = t.done
	}
	s.out.lostSeconds += t.done - t.saved
	s.requeue(t)
	t.evictions++
	if s.now.Sub(s.start) >= warmUp {
		s.out.evictions++
		if t.long {
			s.out.watcherEvictions++
		}
	}
}

func (s *sim) requeue(t *simTask) {
	s.end(t)
	t.notBefore = s.now.Add(restartCost)
	s.queue = append(s.queue, t)
}

func (s *sim) throttle(t *simTask, percent uint32) {
	if s.policy.shrink && !s.resize(t, eviction.ThrottledSize(t.full, percent)) {
		return
	}
	t.percent, t.throttledAt = percent, s.now
	s.model.TaskThrottled(s.now, t.worker.id, t.key, float64(percent)/eviction.FullSpeed)
	s.out.throttles++
}

func (s *sim) resize(t *simTask, size model.Resources) bool {
	if !s.snapshot.Resize(t.key, t.worker.id, size) {
		return false
	}
	t.held = size
	return true
}

const (
	burstEvery  = 8 * time.Minute
	burstLength = 40 * time.Second
)

// submit adds batch tasks to the queue at a constant rate. The tasks of classes
// with bursts are all submitted in the first part of each burst period.
func (s *sim) submit() {
	inBurst := s.now.Sub(s.start)%burstEvery < burstLength
	for _, w := range s.workloads {
		rate := s.site.starts * w.class.share / workloadsPerClass
		if w.class.burst {
			rate *= float64(burstEvery) / float64(burstLength)
			if !inBurst {
				rate = 0
			}
		}
		for ; rate > 0; rate-- {
			if s.rnd.Float64() < rate {
				s.queue = append(s.queue, s.newTask(w, false, false))
			}
		}
	}
}

func (s *sim) placeQueue() {
	waiting := s.queue[:0]
	for _, t := range s.queue {
		if s.now.Before(t.notBefore) {
			waiting = append(waiting, t)
			continue
		}
		r := s.request(t)
		id, ok := s.policy.place(s, r)
		if !ok {
			waiting = append(waiting, t)
			continue
		}
		s.begin(t, r, id)
	}
	s.queue = waiting
}
