package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

func (w *fakeWorker) clockMs() int64 {
	return (w.c.now.Sub(testEpoch) + w.clockAhead).Milliseconds() + 1000
}

// advance lets the worker's attempts progress by d.
func (w *fakeWorker) advance(d time.Duration) {
	if w.dead {
		return
	}
	if w.c.now.After(w.lease) && len(w.attempts) > 0 {
		// A lease that ends while nothing runs does not void earlier ends.
		for i := range w.ended {
			w.ended[i].void = true
		}
	}
	for _, a := range w.sortedAttempts() {
		if w.dead {
			return
		}
		switch {
		case w.c.isCrashDue(a):
			w.c.crashWorker(w, a)
		case !a.stopping.IsZero() && !w.c.now.Before(a.stopping):
			w.end(a, EndStopped)
		case w.c.now.After(w.lease):
			w.end(a, EndExpired)
		case w.freeze || !a.stopping.IsZero():
		case a.step.Gang && len(w.c.members(a)) < a.step.Count:
			if a.waited += d; a.waited >= gangWait {
				w.end(a, EndIncomplete)
			}
		default:
			a.worked += time.Duration(float64(d*time.Duration(a.share)/100) / cmp.Or(w.slowness, 1))
			if a.worked >= a.need && !a.step.LongRunning {
				w.end(a, EndDone)
			}
		}
	}
}

func (w *fakeWorker) sortedAttempts() []*fakeAttempt {
	list := make([]*fakeAttempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *fakeAttempt) int {
		return a.key.compare(b.key)
	})
	return list
}

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// member is an attempt of a gang member and its worker.
type member struct {
	worker  *fakeWorker
	attempt *fakeAttempt
}

// members returns the running attempts of the gang of a that have its attempt number.
func (c *cluster) members(a *fakeAttempt) []member {
	var found []member
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if len(w.attempts) == 0 {
			continue
		}
		key := a.key
		for key.task.Index = range a.step.Count {
			if other := w.attempts[key]; other != nil && other.stopping.IsZero() {
				found = append(found, member{w, other})
			}
		}
	}
	return found
}

// end ends an attempt and, for a gang, the other members: as done if the cause is
// EndDone, otherwise as broken.
func (w *fakeWorker) end(a *fakeAttempt, cause EndCause) {
	if cause == EndDone && w.failAll {
		cause = EndFailed
	}
	if !a.step.Gang {
		w.endOne(a, cause)
		return
	}
	others := w.c.members(a)
	w.endOne(a, cause)
	for _, m := range others {
		switch {
		case m.attempt == a || m.worker.dead:
		case cause == EndDone:
			m.worker.endOne(m.attempt, EndDone)
		case cause != EndIncomplete:
			m.worker.endOne(m.attempt, EndBroken)
		}
	}
}

func (w *fakeWorker) endOne(a *fakeAttempt, cause EndCause) {
	delete(w.attempts, a.key)
	truth := w.c.task(a.key.task)
	delete(truth.running, w.entry.ID)
	truth.done = truth.done || cause == EndDone
	if cause == EndFailed {
		truth.failed[a.key.attempt] = struct{}{}
	}
	w.barred[a.key.task] = max(w.barred[a.key.task], a.key.attempt)
	w.number++
	end := EndedAttempt{Number: w.number, Key: a.key.task, Attempt: a.key.attempt, Cause: cause}
	w.ended = append(w.ended, fakeEnd{EndedAttempt: end, at: w.c.now})
}

// restartTime is the default time after a crash until the next incarnation starts.
const restartTime = 1500 * time.Millisecond

// restart crashes the worker and later starts another incarnation at its address.
func (c *cluster) restart(w *fakeWorker) {
	w.crash()
	c.after(entryLife, func() { w.listed = false })
	c.after(cmp.Or(c.restartTime, restartTime), func() {
		if c.keepIDs {
			c.restartUnderSameID(w)
			return
		}
		c.startSuccessor(w)
	})
}

// startSuccessor starts another incarnation at the address of a crashed worker, under
// another id.
func (c *cluster) startSuccessor(w *fakeWorker) {
	next := c.addWorker(firstRestart + c.restarts)
	c.restarts++
	next.entry.Address, next.entry.Machine, next.entry.Capacity = w.entry.Address, w.entry.Machine, w.entry.Capacity
	next.entry.Labels, next.entry.Zone, next.entry.Rack = w.entry.Labels, w.entry.Zone, w.entry.Rack
	w.successor = next
}

const (
	// entryDelay is how long a restarted worker takes to replace the entry of the
	// previous incarnation.
	entryDelay = 300 * time.Millisecond
	// otherClock is how far its clock may differ from that of the previous
	// incarnation.
	otherClock = 20 * time.Minute
)

// restartUnderSameID starts another incarnation of a crashed worker under its id. It
// knows nothing of the previous one: its clock and the numbers of its ends start
// anew.
func (c *cluster) restartUnderSameID(w *fakeWorker) {
	next := &fakeWorker{
		c: c, entry: w.entry, listed: true, attempts: make(map[attemptKey]*fakeAttempt), barred: make(map[job.TaskKey]int),
		clockAhead: otherClock - w.clockAhead, failAll: w.failAll, partitioned: w.partitioned,
	}
	next.entry.StartedMs = c.wall.UnixMilli()
	if w.listed {
		next.listedEntry = &w.entry
	} else {
		next.listed = false
	}
	c.after(entryDelay, func() { next.listed, next.listedEntry = true, nil })
	c.restarts++
	c.workers[w.entry.ID] = next
}

// firstRestart is the number of the first incarnation started after a crash, above
// all numbers that tests use.
const firstRestart = 5000

// entryLife is how long the entry of a worker stays listed after its last write.
const entryLife = 1200 * time.Millisecond

// unreachable reports whether no worker responds at the worker's address.
func (w *fakeWorker) unreachable() bool {
	if w.successor != nil {
		return w.successor.unreachable()
	}
	return w.dead || w.partitioned
}

// crash ends the worker and everything that runs on it.
func (w *fakeWorker) crash() {
	w.dead = true
	for _, a := range w.attempts {
		truth := w.c.task(a.key.task)
		delete(truth.running, w.entry.ID)
		truth.crashesWhilePresent++
	}
	w.attempts = nil
}

// maxLease is the longest lease that a worker accepts.
const maxLease = 6 * time.Second

func (w *fakeWorker) extend(untilMs int64) {
	until := w.c.now.Add(min(time.Duration(untilMs-w.clockMs())*time.Millisecond, maxLease))
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *fakeWorker) start(s Start) Verdict {
	if w.c.refuseStart != nil && w.c.refuseStart(s) {
		return VerdictUnhealthy
	}
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
	if !w.hasCapacityFor(used) {
		w.c.t.Errorf("%s: %s does not fit on %s", w.c.now.Sub(testEpoch), s.Key, w.entry.ID)
		return VerdictNoRoom
	}
	w.checkStart(s, step)
	w.attempts[key] = &fakeAttempt{
		key: key, step: step, begun: w.c.now, need: w.c.copies.slowed(w, w.c.runTimeOf(step, s.Key.Job)), worked: w.c.savedWork(s.Checkpoint), share: 100,
	}
	w.c.task(s.Key).running[w.entry.ID] = s.Attempt
	return VerdictDone
}

// checkStart checks a start against the invariants: the task runs nowhere else, its
// completion was not acknowledged, it has not failed too often, and the steps it
// depends on are done.
func (w *fakeWorker) checkStart(s Start, step *job.Step) {
	c := w.c
	truth := c.task(s.Key)
	at := c.now.Sub(testEpoch)
	copies := c.allowsCopies(step)
	if copies {
		c.checkCopyStart(s, w, truth)
	}
	if len(truth.running) > 0 && !copies {
		c.t.Errorf("%s: %s attempt %d is started on %s while the task runs on %v", at, s.Key, s.Attempt, w.entry.ID, truth.running)
	}
	c.checkCanceled(s, w)
	if truth.settled && !copies {
		c.t.Errorf("%s: %s is started on %s after it is done", at, s.Key, w.entry.ID)
	}
	c.checkCordon(s, w)
	truth.lastStart = c.now
	c.checkCrashes(s.Key, truth)
	if limit := c.config.Queues["batch"].MaxAttempts; truth.failures >= limit && !step.LongRunning && !copies {
		c.t.Errorf("%s: %s is started after %d failures", at, s.Key, truth.failures)
	}
	for _, earlier := range step.After {
		for index := range c.specOf(s.Key.Job).Steps[earlier].Count {
			if !c.task(job.TaskKey{Job: s.Key.Job, Occurrence: s.Key.Occurrence, Step: earlier, Index: index}).done {
				c.t.Errorf("%s: %s is started before step %d is done", at, s.Key, earlier)
			}
		}
	}
}

// acknowledge records that an end was acknowledged.
func (w *fakeWorker) acknowledge(e fakeEnd) {
	if e.void {
		return
	}
	truth := w.c.task(e.Key)
	switch e.Cause {
	case EndFailed:
		truth.failures++
		truth.failedAt = w.c.now
	case EndDone:
		if !truth.settled {
			truth.settledAt = w.c.now
		}
		truth.settled = true
		if truth.lastStart.After(e.at) && !w.c.allowsCopies(w.c.stepOf(e.Key)) {
			w.c.t.Errorf("%s was started again after it was done on %s", e.Key, w.entry.ID)
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

func (w *fakeWorker) throttle(t Throttle) Verdict {
	if a := w.attempts[attemptKey{task: t.Key, attempt: t.Attempt}]; a != nil {
		a.share = t.Percent
	}
	return VerdictDone
}

func (w *fakeWorker) renew(r Renew) Report {
	if r.UntilMs > 0 {
		w.extend(r.UntilMs)
	}
	acked := r.AckedEnds
	if r.Worker.StartedMs != w.entry.StartedMs {
		// Acknowledgements are sent on a connection on which this incarnation has
		// responded.
		acked = 0
	}
	for len(w.ended) > 0 && w.ended[0].Number <= acked {
		w.acknowledge(w.ended[0])
		w.ended = w.ended[1:]
	}
	report := Report{ClockMs: w.clockMs(), StartedMs: w.entry.StartedMs}
	for _, e := range w.ended {
		report.Ended = append(report.Ended, e.EndedAttempt)
	}
	for _, a := range w.sortedAttempts() {
		percent := 100
		if a.need > 0 && !a.step.LongRunning {
			percent = int(100 * a.worked / a.need)
		}
		reading := a.step.Size.MilliCPU * int64(a.share) / 100
		if a.step.LatencyTargetMs > 0 {
			reading = int64(float64(a.step.LatencyTargetMs*w.c.tail/100) * cmp.Or(w.slowness, 1) * cmp.Or(w.tails[a.step.Image], 1) * w.disturbed())
		}
		report.Running = append(report.Running, RunningAttempt{
			Key: a.key.task, Attempt: a.key.attempt, Percent: min(percent, 100), Reading: reading, Checkpoint: w.c.checkpointOf(a),
		})
	}
	return report
}

// disturbed returns how many times as long as alone the worker's serving tasks take for
// a request.
func (w *fakeWorker) disturbed() float64 {
	slowdown := 1.0
	for _, a := range w.attempts {
		if a.step.BestEffort {
			slowdown += w.c.disturbance * float64(a.share) / 100
		}
	}
	return slowdown
}

func (c *cluster) specOf(id job.ID) *job.Spec { return c.specs()[id] }

// specs returns the specs of all jobs that were ever submitted.
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

// makeStep returns a step of count tasks.
func makeStep(count int, cpu int64, estimate time.Duration, after ...int) job.Step {
	return job.Step{
		Count: count, Size: model.Resources{MilliCPU: cpu, MemoryMB: 2 * cpu},
		EstimateMs: estimate.Milliseconds(), After: after,
	}
}
