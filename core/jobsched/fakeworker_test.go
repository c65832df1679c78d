package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

func (w *fakeWorker) clockMs() int64 { return w.c.clock(w.entry.ID) }

// work lets the worker's attempts advance.
func (w *fakeWorker) work(d time.Duration) {
	if w.dead {
		return
	}
	for _, a := range w.sorted() {
		switch {
		case !a.stopping.IsZero() && !w.c.now.Before(a.stopping):
			w.end(a, EndStopped)
		case w.c.now.After(w.lease):
			w.end(a, EndExpired)
		case w.freeze || !a.stopping.IsZero():
		default:
			a.worked += d * time.Duration(a.share) / 100
			if a.worked >= a.need && !a.step.LongRunning {
				w.end(a, EndDone)
			}
		}
	}
}

func (w *fakeWorker) sorted() []*fakeAttempt {
	list := make([]*fakeAttempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *fakeAttempt) int {
		return compareTasks(a.key.task, b.key.task, a.key.attempt-b.key.attempt)
	})
	return list
}

func (w *fakeWorker) end(a *fakeAttempt, cause EndCause) {
	if cause == EndDone && w.failAll {
		cause = EndFailed
	}
	delete(w.attempts, a.key)
	truth := w.c.task(a.key.task)
	delete(truth.running, w.entry.ID)
	switch cause {
	case EndDone:
		truth.done = true
	case EndFailed:
		truth.failures++
	}
	w.barred[a.key.task] = max(w.barred[a.key.task], a.key.attempt)
	w.number++
	w.ended = append(w.ended, EndedAttempt{Number: w.number, Key: a.key.task, Attempt: a.key.attempt, Cause: cause})
}

// crash ends the worker with all that runs on it.
func (w *fakeWorker) crash() {
	w.dead = true
	for _, a := range w.attempts {
		delete(w.c.task(a.key.task).running, w.entry.ID)
	}
	w.attempts = nil
}

func (w *fakeWorker) extend(untilMs int64) {
	until := w.c.now.Add(time.Duration(untilMs-w.clockMs()) * time.Millisecond)
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *fakeWorker) start(s Start) Verdict {
	key := attemptKey{task: s.Key, attempt: s.Attempt}
	if w.attempts[key] != nil {
		return VerdictDone
	}
	if s.UntilMs <= w.clockMs() {
		return VerdictExpired
	}
	w.extend(s.UntilMs)
	if w.barred[s.Key] >= s.Attempt {
		return VerdictSuperseded
	}
	step := w.c.stepOf(s.Key)
	used := step.Committed()
	for _, a := range w.attempts {
		used = used.Add(a.step.Committed())
	}
	if !used.Fits(w.entry.Capacity) {
		w.c.t.Errorf("%s: %s does not fit on %s", w.c.now.Sub(testEpoch), s.Key, w.entry.ID)
		return VerdictNoRoom
	}
	w.check(s, step)
	w.attempts[key] = &fakeAttempt{
		key: key, step: step, need: time.Duration(step.EstimateMs) * time.Millisecond, share: 100,
	}
	w.c.task(s.Key).running[w.entry.ID] = s.Attempt
	return VerdictDone
}

// check holds a start against what must never happen.
func (w *fakeWorker) check(s Start, step *job.Step) {
	c := w.c
	truth := c.task(s.Key)
	at := c.now.Sub(testEpoch)
	if len(truth.running) > 0 {
		c.t.Errorf("%s: %s attempt %d starts on %s while it runs on %v", at, s.Key, s.Attempt, w.entry.ID, truth.running)
	}
	if truth.done {
		c.t.Errorf("%s: %s starts on %s after it is done", at, s.Key, w.entry.ID)
	}
	if limit := c.config.Queues["batch"].MaxAttempts; truth.failures >= limit && !step.LongRunning {
		c.t.Errorf("%s: %s starts after %d failures", at, s.Key, truth.failures)
	}
	for _, earlier := range step.After {
		for index := range c.specOf(s.Key.Job).Steps[earlier].Count {
			if !c.task(job.TaskKey{Job: s.Key.Job, Step: earlier, Index: index}).done {
				c.t.Errorf("%s: %s starts before step %d is done", at, s.Key, earlier)
			}
		}
	}
}

func (w *fakeWorker) stop(s Stop) Verdict {
	w.barred[s.Key] = max(w.barred[s.Key], s.Attempt)
	if a := w.attempts[attemptKey{task: s.Key, attempt: s.Attempt}]; a != nil && a.stopping.IsZero() {
		a.stopping = w.c.now.Add(w.c.options.StopTime / 2)
	}
	return VerdictDone
}

func (w *fakeWorker) pace(t Throttle) Verdict {
	if a := w.attempts[attemptKey{task: t.Key, attempt: t.Attempt}]; a != nil {
		a.share = t.Percent
	}
	return VerdictDone
}

func (w *fakeWorker) hold(r Renew) Report {
	if r.UntilMs > 0 {
		w.extend(r.UntilMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e EndedAttempt) bool { return e.Number <= r.AckedEnds })
	report := Report{ClockMs: w.clockMs(), Ended: slices.Clone(w.ended)}
	for _, a := range w.sorted() {
		percent := 100
		if a.need > 0 && !a.step.LongRunning {
			percent = int(100 * a.worked / a.need)
		}
		reading := a.step.Size.MilliCPU * int64(a.share) / 100
		if a.step.LatencyTargetMs > 0 {
			reading = a.step.LatencyTargetMs / 3
		}
		report.Running = append(report.Running, RunningAttempt{
			Key: a.key.task, Attempt: a.key.attempt, Percent: min(percent, 100), Reading: reading,
		})
	}
	return report
}

func (c *cluster) specOf(id job.ID) *job.Spec { return c.specs()[id] }

// specs remembers every job that was ever submitted.
func (c *cluster) specs() map[job.ID]*job.Spec {
	if c.allSpecs == nil {
		c.allSpecs = make(map[job.ID]*job.Spec)
	}
	for id, a := range c.accepted {
		c.allSpecs[id] = &a.Spec
	}
	return c.allSpecs
}

func (c *cluster) stepOf(key job.TaskKey) *job.Step { return &c.specOf(key.Job).Steps[key.Step] }

// makeStep makes a step of count tasks.
func makeStep(count int, cpu int64, estimate time.Duration, after ...int) job.Step {
	return job.Step{
		Count: count, Size: model.Resources{MilliCPU: cpu, MemoryMB: 2 * cpu},
		EstimateMs: estimate.Milliseconds(), After: after,
	}
}
