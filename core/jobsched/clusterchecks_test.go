package jobsched

import (
	"maps"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// taskTruth is what the workers did for one task.
type taskTruth struct {
	running map[model.WorkerID]int
	// done is whether an attempt has ever ended as done.
	done bool
	// settled is whether such an end was acknowledged before the worker's lease ran
	// out; failures counts the failed ends that were.
	settled  bool
	failures int
	// settledAt is when the first such end as done was acknowledged, failedAt when the
	// last failed one was.
	settledAt, failedAt time.Time
	// failed holds the numbers of the attempts that have failed.
	failed    map[int]struct{}
	lastStart time.Time
	// crashesWhilePresent counts the workers that crashed, for any reason, while
	// running the task.
	crashesWhilePresent int
	// crashed counts the workers that the task has crashed, startsAfterLimit its
	// starts after crashedBeforeCount such crashes.
	crashed, startsAfterLimit int
}

// checkFailed checks that a job stored as failed has a task with MaxAttempts
// failures, or a gang with that many, counting an attempt of a gang as failed if any
// member failed in it.
func (c *cluster) checkFailed(id job.ID) {
	record := c.accepted[id]
	if record == nil {
		return
	}
	if c.crashedTwice(id) || c.mayBeSetAside(id) {
		return
	}
	limit := c.config.Queues[record.Queue.Name].MaxAttempts
	gangs := make(map[string]map[int]struct{})
	for key, truth := range c.truth {
		if key.Job != id {
			continue
		}
		failed := truth.failed
		if record.Spec.Steps[key.Step].Gang {
			name := key.StepName()
			if gangs[name] == nil {
				gangs[name] = make(map[int]struct{})
			}
			maps.Copy(gangs[name], failed)
			failed = gangs[name]
		}
		if len(failed) >= limit {
			return
		}
	}
	c.t.Errorf("job %s is failed, but no task or gang has failed %d times, and no two workers crashed under one of its tasks", id, limit)
}

func (c *cluster) checkCompleted(id job.ID) {
	record := c.accepted[id]
	if record == nil {
		return
	}
	for occurrence := range record.Spec.Repetitions() {
		for number := range record.Spec.Steps {
			for index := range record.Spec.Steps[number].Count {
				key := job.TaskKey{Job: id, Occurrence: occurrence, Step: number, Index: index}
				if !c.task(key).done {
					c.t.Errorf("job %s is completed, but %s is not done", id, key)
				}
			}
		}
	}
}

func (c *cluster) task(key job.TaskKey) *taskTruth {
	t := c.truth[key]
	if t == nil {
		t = &taskTruth{running: make(map[model.WorkerID]int), failed: make(map[int]struct{})}
		c.truth[key] = t
	}
	return t
}

// checkRound checks that a placement round has left no task waiting that fits on a
// worker and may start, whatever the round skipped to save time. A round that has to
// leave the rest of its pass to the next must have used up its bounds.
func (c *cluster) checkRound() {
	m := c.machine
	for _, w := range m.workers.All() {
		c.checkSums(w)
	}
	if m.pass.IsOpen() {
		if !m.pass.IsExhausted() && m.starting < m.options.StartsInFlight {
			c.t.Errorf("%s: the pass is not ended, with budget left and %d starts in flight", c.now.Sub(testEpoch), m.starting)
		}
		return
	}
	for s := range m.pending.All() {
		if !s.ready() || m.startsHeldBack(s, m.now) {
			continue
		}
		if s.spec.Gang {
			c.checkGang(s)
			continue
		}
		for _, t := range s.tasks {
			if !t.idle() || m.needsRestartRecord(t) || m.waitsForTrial(t) || m.waitsForShare(t) {
				// A restart of a task that may be done waits for its stored record, a trial
				// also for other trials.
				continue
			}
			if w := m.bestWorker(t); w != nil {
				c.t.Errorf("%s: %s waits but fits on %s", c.now.Sub(testEpoch), t.key(), w.id)
			}
			break
		}
	}
}

// waitsForShare reports whether the round has held the task back because the share of its
// queue is used up. Unlike isHeldByShare it changes nothing.
func (m *Machine) waitsForShare(t *task) bool {
	return m.holdsNewTasks(t.step) && t.neverRan() && !m.isReserved(t)
}

// checkGang checks that a gang without any attempts does not fit, ignoring what the
// round remembers as unplaceable.
func (c *cluster) checkGang(s *step) {
	m := c.machine
	for _, t := range s.tasks {
		if len(t.attempts) > 0 || m.needsRestartRecord(t) || m.waitsForTrial(t) || m.waitsForShare(t) {
			return
		}
	}
	remembered := m.unplaceable
	defer func() { m.unplaceable = remembered }()
	m.unplaceable.reset()
	if _, fits := m.placeGang(s); fits {
		c.t.Errorf("%s: gang %s waits but fits", c.now.Sub(testEpoch), s.name())
	}
}

// checkSums checks the sums that a worker keeps over its attempts.
func (c *cluster) checkSums(w *worker) {
	var committed, reclaimable model.Resources
	var expected int64
	for _, a := range w.attempts.All() {
		committed = committed.Add(a.size)
		expected += a.expectedCPU()
		if a.isReclaimable() {
			reclaimable = reclaimable.Add(a.size)
		}
	}
	c.checkClassUses(w)
	if expected != w.expectedCPU {
		c.t.Errorf("%s: %s expects its best-effort attempts to use %dm, but they add up to %dm", c.now.Sub(testEpoch), w.id, w.expectedCPU, expected)
	}
	if committed != w.committed || reclaimable != w.reclaimable {
		c.t.Errorf("%s: %s has sums of %s committed and %s reclaimable, but its attempts have %s and %s",
			c.now.Sub(testEpoch), w.id, w.committed, w.reclaimable, committed, reclaimable)
	}
}

// checkClassUses checks the attempts and the room that a worker counts for each class.
func (c *cluster) checkClassUses(w *worker) {
	uses := make(map[*roomClass]classUse)
	for _, a := range w.attempts.All() {
		if a.class != nil {
			u := uses[a.class]
			uses[a.class] = classUse{class: a.class, attempts: u.attempts + 1, size: u.size.Add(a.size)}
		}
	}
	if len(uses) != len(w.classUses) {
		c.t.Errorf("%s: %s counts %d classes, its attempts have %d", c.now.Sub(testEpoch), w.id, len(w.classUses), len(uses))
	}
	for _, u := range w.classUses {
		if u != uses[u.class] {
			c.t.Errorf("%s: %s counts %v for a class, its attempts have %v", c.now.Sub(testEpoch), w.id, u, uses[u.class])
		}
	}
}
