package daemon

import (
	"cmp"
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/scheduler"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/core/workersession"
)

var observationKinds = map[workersession.State]scheduler.ObservationKind{
	workersession.StateRunning:   scheduler.ObservedRunning,
	workersession.StateSucceeded: scheduler.ObservedSucceeded,
	workersession.StateFailed:    scheduler.ObservedFailed,
	workersession.StateStopped:   scheduler.ObservedStopped,
	workersession.StateRefused:   scheduler.ObservedRefused,
}

func observation(w *worker, o workersession.Observed) scheduler.Observation {
	kind := observationKinds[o.State]
	if o.State == workersession.StateRefused && o.Outcome == workerv1.Outcome_OUTCOME_FAILED {
		kind = scheduler.ObservedFailed
	}
	return scheduler.Observation{
		Attempt:    o.Attempt,
		Worker:     w.vm.ID,
		Kind:       kind,
		Address:    o.Address,
		Checkpoint: o.Checkpoint,
		Detail:     o.Detail,
	}
}

func (s *shard) observeOver(w *worker, o workersession.Over) {
	s.record(timeline.Event{
		Kind:    timeline.AttemptOver,
		Subject: o.Attempt.Task.String(),
		Attempt: o.Attempt.Attempt,
		Detail:  string(o.Reason),
	})
	s.observe(w, scheduler.Observation{
		Attempt: o.Attempt,
		Worker:  w.vm.ID,
		Kind:    scheduler.ObservedLost,
		Detail:  string(o.Reason),
	})
}

func (s *shard) observe(w *worker, o scheduler.Observation) {
	changes := s.observer().Observe(s.c.clock.Now(), o)
	if len(changes) == 0 {
		return
	}
	s.learnPresence(w, o)
	s.propose(changes)
}

func (s *shard) observer() *scheduler.Observer {
	return &scheduler.Observer{
		Ledger:      s.ledger.Effective(),
		Evaluator:   s.judge,
		MaxAttempts: s.c.maxAttempts,
	}
}

// learnPresence keeps the record of who shares which worker, by which late
// measurements are attributed.
func (s *shard) learnPresence(w *worker, o scheduler.Observation) {
	now := s.c.clock.Now()
	slowdowns := s.c.slowdowns
	key := o.Attempt.Task
	if o.Kind == scheduler.ObservedRunning {
		if t, known := s.ledger.Effective().Task(key); known {
			slowdowns.TaskStarted(now, w.vm.ID, key, t.Class)
			w.healthyAt[o.Attempt] = now.Add(healthyAfter)
		}
		return
	}
	delete(w.healthyAt, o.Attempt)
	slowdowns.TaskStopped(now, w.vm.ID, key)
	s.c.sizes.TaskEnded(key)
	delete(w.throttles, key)
	delete(w.measured, key)
	delete(w.shortages, key)
}

// workload returns the accepted workload of a task's generation.
func (c *control) workload(key model.TaskKey) (config.AcceptedWorkload, bool) {
	current := c.config.Current()
	if current == nil {
		return config.AcceptedWorkload{}, false
	}
	w, known := current.Workloads[key.Workload]
	return w, known && w.Generation == key.Generation
}

func (c *control) maxAttempts(name string) int {
	current := c.config.Current()
	if current == nil {
		return 0
	}
	if w, known := current.Workloads[name]; known {
		return w.Spec.MaxAttempts
	}
	return 0
}

func needsSync(current *config.Accepted, change ledger.Change) bool {
	return scheduler.NeedsSync(current, change)
}

var taskKinds = map[ledger.State]timeline.Kind{
	ledger.Pending:   timeline.TaskCreated,
	ledger.Assigned:  timeline.TaskAssigned,
	ledger.Running:   timeline.TaskRunning,
	ledger.Stopping:  timeline.TaskStopping,
	ledger.Succeeded: timeline.TaskSucceeded,
	ledger.Failed:    timeline.TaskFailed,
	ledger.Cancelled: timeline.TaskCancelled,
	ledger.Moved:     timeline.TaskMoved,
}

// recordChange writes a committed change to the time line.
func (s *shard) recordChange(change ledger.Change) {
	switch {
	case change.Put != nil:
		s.recordTask(change.Put)
	case change.Handoff != nil:
		s.record(timeline.Event{Kind: timeline.TaskMoved, Subject: change.Handoff.Task.Key.String()})
	case change.Receive != nil:
		s.record(timeline.Event{Kind: timeline.TaskReceived, Subject: change.Receive.Task.Key.String()})
	case change.Quarantine != nil:
		kind := timeline.WorkerQuarantined
		if change.Quarantine.Lifted() {
			kind = timeline.WorkerReleased
		}
		s.record(timeline.Event{Kind: kind, Subject: string(change.Quarantine.Worker)})
	}
}

func (s *shard) recordTask(t *ledger.Task) {
	kind := taskKinds[t.State]
	if t.State == ledger.Pending {
		kind = pendingKind(t)
	}
	detail := string(t.Worker)
	if t.Reason != "" {
		detail = t.Reason
	}
	s.record(timeline.Event{Kind: kind, Subject: t.Key.String(), Attempt: t.Attempt, Detail: detail})
}

// pendingKind tells a task that came back from one that only waits for another
// reason than before.
func pendingKind(t *ledger.Task) timeline.Kind {
	switch {
	case t.Reason == scheduler.ReasonPreempted:
		return timeline.TaskEvicted
	case t.Failures == 0 && t.Reason != "":
		return timeline.TaskUnplaceable
	case t.Attempt == 0:
		return timeline.TaskCreated
	case t.Failures == 0 && t.Evictions > 0:
		return timeline.TaskEvicted
	}
	return timeline.TaskRetried
}

// healthyAfter is how long an attempt must have run to count as evidence that
// its task works and that its worker does. Services and long-running tasks
// never succeed; without this their failures would be all that is known of
// them.
const healthyAfter = time.Minute

func (s *shard) observeHealthy(now time.Time, w *worker) {
	observer := s.observer()
	for _, attempt := range w.healthyBy(now) {
		delete(w.healthyAt, attempt)
		s.propose(observer.ObserveHealthy(now, attempt))
	}
}

// healthyBy returns the attempts whose time has come, in order of task.
func (w *worker) healthyBy(now time.Time) []model.AttemptKey {
	var due []model.AttemptKey
	for attempt, at := range w.healthyAt {
		if !now.Before(at) {
			due = append(due, attempt)
		}
	}
	slices.SortFunc(due, func(a, b model.AttemptKey) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return due
}
