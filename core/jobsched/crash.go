package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// A task can crash each worker that starts it, and a worker that crashes takes all
// along that runs there. So the ends of attempts with their worker are counted for
// each task and stored with its job, and a task that has crashed too many workers
// is given up. One notices the want of it by workers that end one after the other,
// each shortly after a start of the same task.
//
// Most of the tasks that are there when a worker crashes have nothing to do with
// it. What tells them apart is that a crash for other reasons comes at any moment
// of a run, often to several workers at once, and seldom to the same task again.

const (
	// maxCrashes is how many workers may crash under a task. The platform's
	// contract bears two more starts after the third.
	maxCrashes = 5
	// maxUnexplainedCrashes is the same where a crash may not have been counted, or the
	// task alone explains all of them.
	maxUnexplainedCrashes = 4
	// maxSameTimeCrashes is the same for crashes that came at the same time of a run.
	maxSameTimeCrashes = 3
	// minCertainCrashes is how many attempts of a task must have run for certain when their
	// workers crashed, unless there are crashesMost.
	minCertainCrashes = 2
	// stableRunTime is how long an attempt must have run for its end not to be put down
	// to its start.
	stableRunTime = 4 * time.Second
	// reportDelay is how much longer an attempt may have run than it was seen to: the
	// time between two reports, and a little for their way.
	reportDelay = renewWait + 100*time.Millisecond
	// minComparableRunTime is the least time at which crashes count as alike by their times:
	// most tasks are shorter, and two of their crashes are always near each other.
	minComparableRunTime = time.Second
	// massCrashWindow is how near in time crashes of several workers count as one event,
	// sameMomentWorkers how many others make it one.
	massCrashWindow  = time.Second
	massCrashWorkers = 3
	// crashRetention is how long the crash of a worker is remembered for that: workers
	// come back, by which their crash is known, within some seconds.
	crashRetention = 15 * time.Second
)

// observedRunTime returns for how long the attempt was seen to run, by the last answer of
// its worker; 0 for one that the worker has not listed yet.
func (a *attempt) observedRunTime() time.Duration {
	if a.startedAt.IsZero() {
		return 0
	}
	return max(a.worker.lastReportAt.Sub(a.startedAt), 0).Round(time.Millisecond)
}

// observedRunTimeMs returns seenFor in milliseconds, or that it is not known when the
// attempt began.
func (a *attempt) observedRunTimeMs() int64 {
	seen := a.observedRunTime()
	if a.inherited || a.adopted && seen < stableRunTime {
		return job.ObservedRunUnknown
	}
	return seen.Milliseconds()
}

// noteCrash notes that a worker has ended without having announced it, and which
// of its attempts was started last.
func (m *Machine) noteCrash(w *worker, reason string) {
	text := fmt.Sprintf("%s; last heard %s ago; %d attempts were there", reason, m.now.Sub(w.lastReportAt).Round(time.Millisecond), w.attempts.Len())
	if a := w.latestAttempt(); a != nil {
		text += fmt.Sprintf(", the latest %s, seen to run for %s", a.key.task, a.observedRunTime())
	}
	m.emit(Note{Decision: joblog.MessageWorkerCrashed, Worker: w.id, Reason: text})
}

// latestAttempt returns the attempt that was started last, or nil. One whose start was
// not answered counts as later than all others.
func (w *worker) latestAttempt() *attempt {
	var latest *attempt
	for _, a := range w.attempts.All() {
		switch {
		case latest == nil:
			latest = a
		case latest.startedAt.IsZero():
		case a.startedAt.IsZero() || a.startedAt.After(latest.startedAt):
			latest = a
		}
	}
	return latest
}

// loseAttemptsInCrash declares all attempts on w as lost, because w has ended; but for
// those whose start is not answered yet: the answer tells whether they were there.
func (m *Machine) loseAttemptsInCrash(w *worker, reason string) {
	if w.attempts.Len() > 0 && !w.ended {
		m.noteCrash(w, reason)
		m.recordWorkerCrash(w)
	}
	for _, a := range w.attempts.All() {
		if a.phase == phaseStarting {
			continue
		}
		m.countAttemptCrash(a, w)
		m.loseAttempt(a, reason)
	}
}

// hasSuccessorOnVM reports whether another incarnation of the worker's VM is on the
// platform's list and the worker is not.
func (m *Machine) hasSuccessorOnVM(w *worker) bool {
	if w.listed || w.entry.Machine == "" {
		return false
	}
	for _, other := range m.workers.All() {
		if other != w && other.listed && other.entry.Machine == w.entry.Machine {
			return true
		}
	}
	return false
}

// countAttemptCrash counts the end of an attempt with a worker against its task. A worker
// that had announced its end has left, unless a task on trial was there, which may
// have ended it sooner.
func (m *Machine) countAttemptCrash(a *attempt, on *worker) {
	leaves := on.entry.Draining
	if a.task == nil || a.task.done || leaves && a.task.trial.number == 0 {
		return
	}
	m.countCrash(a.task, job.Crash{
		Attempt: a.key.attempt, ObservedRunMs: a.observedRunTimeMs(), Correlated: m.isMassCrash(a.step(), on),
		Uncertain: a.startedAt.IsZero() && !a.inherited || leaves,
	})
}

// workerCrash is the crash of a worker, as it is remembered for a while.
type workerCrash struct {
	worker *worker
	// steps holds those of which attempts were there.
	steps map[*step]struct{}
}

// recordWorkerCrash remembers the crash of a worker with what runs there.
func (m *Machine) recordWorkerCrash(w *worker) {
	steps := make(map[*step]struct{})
	for _, a := range w.attempts.All() {
		steps[a.step()] = struct{}{}
	}
	m.recentCrashes = append(m.recentCrashes, workerCrash{worker: w, steps: steps})
}

// isMassCrash reports whether several other workers were last heard of at the
// same time as w, and have ended or do not answer, though no attempt of the step
// was there: the step is not what they have in common.
func (m *Machine) isMassCrash(s *step, w *worker) bool {
	if w.lastReportAt.IsZero() {
		return false
	}
	m.recentCrashes = slices.DeleteFunc(m.recentCrashes, func(c workerCrash) bool {
		return m.now.Sub(c.worker.lastReportAt) > crashRetention
	})
	together := func(other *worker) bool {
		return other != w && other.lastReportAt.Sub(w.lastReportAt).Abs() <= massCrashWindow
	}
	others := 0
	for _, c := range m.recentCrashes {
		if _, there := c.steps[s]; together(c.worker) && !there {
			others++
		}
	}
	for _, other := range m.workers.All() {
		silent := !other.ended && !other.unreachableSince.IsZero() && other.attempts.Len() > 0
		if silent && together(other) && !other.mayRunStep(s) {
			others++
		}
	}
	return others >= massCrashWorkers
}

// mayRunStep reports whether an attempt of the step may run on the worker.
func (w *worker) mayRunStep(s *step) bool {
	for _, a := range w.attempts.All() {
		if a.step() == s {
			return true
		}
	}
	return false
}

// countCrash takes in that a worker has crashed under a task, each attempt once,
// and gives the job up when that was one too many.
func (m *Machine) countCrash(t *task, c job.Crash) {
	j := t.step.job()
	if j.state.Final() || len(t.crashes) > 0 && t.crashes[len(t.crashes)-1].Attempt >= c.Attempt {
		return
	}
	t.crashes = addCrash(t.crashes, c)
	t.trial = trial{}
	m.markDirty(j)
	m.emit(Note{
		Decision: joblog.MessageCrashCounted, Job: j.id, Task: t.key().String(), Attempt: c.Attempt, Routine: true,
		Reason: "its worker has ended with it; since it last ran for long: " + describeCrashes(t.crashes),
	})
	if tooManyCrashes(t.crashes) {
		m.conclude(j, job.Failed, fmt.Sprintf("task %s crashes its workers: %s", t.key(), describeCrashes(t.crashes)), 0)
	}
}

// addCrash adds a crash to those before it, which it outdates if an attempt ran for
// long in between, unless the two came at the same time of a run.
func addCrash(crashes []job.Crash, c job.Crash) []job.Crash {
	if len(crashes) == 0 {
		return []job.Crash{c}
	}
	last := crashes[len(crashes)-1]
	long := max(last.ObservedRunMs, c.ObservedRunMs) >= stableRunTime.Milliseconds()
	if long && !atSameRunTime(last, c) {
		return []job.Crash{c}
	}
	return append(slices.Clone(crashes), c)
}

// tooManyCrashes reports whether a task that these workers crashed under is to be
// given up.
func tooManyCrashes(crashes []job.Crash) bool {
	n := len(crashes)
	sure := 0
	for _, c := range crashes {
		if !c.Uncertain {
			sure++
		}
	}
	switch {
	case n >= maxCrashes:
		return true
	case sure < minCertainCrashes:
		return false
	case n >= maxUnexplainedCrashes:
		return mayMissCrash(crashes) || !slices.ContainsFunc(crashes, hasOtherCause)
	case n >= maxSameTimeCrashes:
		return allAtSameRunTime(crashes[n-maxSameTimeCrashes:])
	}
	return false
}

// mayMissCrash reports whether a crash under the task may not have been counted: only a
// first attempt has none before it, and a crash of which a later leader heard may
// have followed on others.
func mayMissCrash(crashes []job.Crash) bool {
	unknown := func(c job.Crash) bool { return c.ObservedRunMs == job.ObservedRunUnknown }
	return crashes[0].Attempt > 1 || slices.ContainsFunc(crashes, unknown)
}

// hasOtherCause reports whether something else than the task may have been the cause.
func hasOtherCause(c job.Crash) bool { return c.Correlated }

// isSuspicious reports whether the start of the task may have been the cause.
func isSuspicious(c job.Crash) bool {
	return !hasOtherCause(c) && c.ObservedRunMs < stableRunTime.Milliseconds()
}

// allAtSameRunTime reports whether all crashes came at the same time of a run, with nothing
// else to explain them.
func allAtSameRunTime(crashes []job.Crash) bool {
	for _, c := range crashes {
		for _, other := range crashes {
			if hasOtherCause(c) || !atSameRunTime(c, other) {
				return false
			}
		}
	}
	return true
}

// atSameRunTime reports whether two crashes came at the same time of a run, as far as
// reports tell: before any of them, or late enough and near each other.
func atSameRunTime(a, b job.Crash) bool {
	if a.ObservedRunMs == 0 && b.ObservedRunMs == 0 {
		return true
	}
	near := max(a.ObservedRunMs, b.ObservedRunMs)-min(a.ObservedRunMs, b.ObservedRunMs) <= reportDelay.Milliseconds()
	return near && min(a.ObservedRunMs, b.ObservedRunMs) >= minComparableRunTime.Milliseconds()
}

// describeCrashes lists crashes with their attempts and times.
func describeCrashes(crashes []job.Crash) string {
	text := ""
	for i, c := range crashes {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("attempt %d ", c.Attempt)
		switch c.ObservedRunMs {
		case job.ObservedRunUnknown:
			text += "at a time not known"
		default:
			text += "seen for " + (time.Duration(c.ObservedRunMs) * time.Millisecond).String()
		}
		if c.Uncertain {
			text += ", perhaps not there"
		}
		if c.Correlated {
			text += " as other workers ended too"
		}
	}
	return text
}
