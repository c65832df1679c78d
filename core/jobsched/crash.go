package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/crashes"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// A task may crash every worker that starts it, and a crashing worker takes down
// everything that runs there. So the ends of attempts together with their worker
// are counted for each task and stored with its job, and the job of a task that has
// crashed too many workers fails, unless the task is long-running. Without this,
// workers end one after the other, each shortly after a start of the same task.

const (
	// crashPause is how long after its last run a long-running task waits for its next
	// trial once it has crashes.Most crashes without another possible cause. It is never
	// given up, and would otherwise crash one worker after the other.
	crashPause = maxLongRunningGap - trialStartTime - crashPauseMargin
	// crashPauseMargin is for a leader that is busy when the pause ends.
	crashPauseMargin = time.Second
	// maxLongRunningGap is the time after its last run in which a long-running task is to
	// run again where there is room.
	maxLongRunningGap = 6 * time.Second
	// stableRunTime is the run time after which the end of an attempt is not
	// attributed to its start.
	stableRunTime = crashes.StableRunTime
	// reportDelay is by how much the run time of an attempt may exceed the observed
	// one: the time between two reports, plus their transfer.
	reportDelay = crashes.ReportDelay
)

// observedRunTime returns how long the attempt was observed running, by this leader
// and earlier ones, up to the last report of its worker; 0 if the worker has not
// listed it yet.
func (a *attempt) observedRunTime() time.Duration {
	if a.startedAt.IsZero() {
		return 0
	}
	return (a.seenBefore + max(a.worker.lastReportAt.Sub(a.startedAt), 0)).Round(time.Millisecond)
}

// observedRunTimeMs returns in milliseconds how long the attempt was observed running,
// by this leader and earlier ones, or a constant if the start time of the attempt is
// unknown.
func (a *attempt) observedRunTimeMs() int64 {
	seen, fromStart := a.observedRunTime(), !a.adopted || a.seenFromStart
	if a.inherited {
		earlier := a.worker.inheritedRunTimes[a.key]
		seen, fromStart = earlier.seen, earlier.fromStart
	}
	if !fromStart && (a.inherited || seen < stableRunTime) {
		return job.ObservedRunUnknown
	}
	return seen.Milliseconds()
}

// noteCrash notes that a worker has ended without announcing it, and which of its
// attempts was started last.
func (m *Machine) noteCrash(w *worker, reason string) {
	text := fmt.Sprintf("%s; %s; %d attempts were there", reason, m.describeLastReport(w), w.attempts.Len())
	if a := w.latestAttempt(); a != nil {
		text += fmt.Sprintf(", the latest %s, seen to run for %s", a.key.task, a.observedRunTime())
	}
	m.emit(Note{Decision: joblog.MessageWorkerCrashed, Worker: w.id, Reason: text})
}

// describeLastReport tells when the worker was last heard.
func (m *Machine) describeLastReport(w *worker) string {
	if w.lastReportAt.IsZero() {
		return "never heard by this leader"
	}
	text := "last heard " + m.now.Sub(w.lastReportAt).Round(time.Millisecond).String() + " ago"
	if !w.answered {
		text += ", by an earlier leader"
	}
	return text
}

// latestAttempt returns the attempt that was started last, or nil. An attempt with
// an unanswered start counts as later than all others.
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

// loseAttemptsInCrash declares the attempts on w lost because w has ended. Attempts
// whose start is unanswered are kept: the answer will show whether they were there.
func (m *Machine) loseAttemptsInCrash(w *worker, reason string) {
	if w.attempts.Len() > 0 && !w.ended {
		m.noteCrash(w, reason)
		m.recordLostWorker(w)
	}
	for _, a := range w.attempts.All() {
		if a.phase == phaseStarting {
			continue
		}
		m.countAttemptCrash(a, w)
		m.loseAttempt(a, reason)
	}
}

// hasSuccessorOnVM reports whether another incarnation on the worker's VM is in the
// platform's list and the worker itself is not.
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

// countAttemptCrash counts the end of an attempt with its worker against its task.
// A worker that had announced its end has left rather than crashed, unless a task
// on trial was there, which may have ended it early.
func (m *Machine) countAttemptCrash(a *attempt, on *worker) {
	leaves := on.entry.Draining
	if a.task == nil || a.task.done || leaves && a.task.trial.number == 0 {
		return
	}
	m.countCrash(a.task, job.Crash{
		Attempt: a.key.attempt, ObservedRunMs: a.observedRunTimeMs(), Correlated: m.isMassCrash(a.step(), on),
		Uncertain: a.startedAt.IsZero() && !a.inherited || leaves || a.mayHaveStartedElsewhere(on),
		Shared:    a.isIsolatedTrial() && m.hadSharedTrial(on),
	}, m.lastHeard(on))
}

// lastHeard returns when a worker was last heard. One that this leader has never heard, or
// does not know, was heard before it took over.
func (m *Machine) lastHeard(w *worker) time.Time {
	if w == nil || w.lastReportAt.IsZero() {
		return m.recoveredAt
	}
	return w.lastReportAt
}

// mayHaveStartedElsewhere reports whether another incarnation than the one that has
// ended may have answered the attempt's start: none of its reports lists the attempt,
// and others of the same id are known.
func (a *attempt) mayHaveStartedElsewhere(ended *worker) bool {
	return !a.listed && !a.inherited && len(ended.siblings.all) > 1
}

// countCrash counts a worker crash against a task, once for each attempt, and fails
// the job if there are too many. lastHeard is when the crashed worker was last heard.
func (m *Machine) countCrash(t *task, c job.Crash, lastHeard time.Time) {
	j := t.step.job()
	if j.state.Final() || m.isCrashCounted(t, c) {
		return
	}
	if t.needsIsolation() && (crashes.IsSuspicious(c) || c.Shared) {
		m.passedTrials = 0
	}
	c.CountsAnew = len(t.crashes) == 0 && t.allEndsKnown()
	t.crashes = t.crashes.Add(c)
	t.trial = trial{}
	m.markDirty(j)
	m.emit(Note{
		Decision: joblog.MessageCrashCounted, Job: j.id, Task: t.key().String(), Attempt: c.Attempt, Routine: true,
		Reason: "its worker ended with it; crashes since its last long run: " + t.crashes.String(),
	})
	if t.step.spec.LongRunning {
		m.pauseTrials(t, lastHeard)
	}
	m.giveUpAfterCrashes(t)
}

// allEndsKnown reports whether this leader has seen how each attempt of the task ended, so
// that no worker has crashed under the task unseen.
func (t *task) allEndsKnown() bool { return !t.step.job().recovered && !t.endMissing }

// giveUpAfterCrashes fails the job of a task under which too many workers have crashed. A
// long-running task has to be started again however its attempts end.
func (m *Machine) giveUpAfterCrashes(t *task) {
	j := t.step.job()
	if t.step.spec.LongRunning || t.done || j.state.Final() || !t.crashes.TooMany() {
		return
	}
	m.conclude(j, job.Failed, fmt.Sprintf("task %s crashes its workers: %s", t.key(), t.crashes), 0)
}

// pauseTrials delays the next trial of a long-running task that has crashed too many
// workers. It counts from when the last of them was heard, since its crash may be noticed
// seconds later. Only the last crashes.Most crashes are kept.
func (m *Machine) pauseTrials(t *task, lastHeard time.Time) {
	t.crashes = t.crashes.Latest()
	if t.crashes.Suspicious() >= crashes.Most {
		t.trialsPausedUntil = lastHeard.Add(crashPause)
	}
}

// withdrawCrash takes back the crash that was counted for an attempt, if there is one,
// because its worker has reported since how it ended.
func (m *Machine) withdrawCrash(t *task, attempt int) {
	left := t.crashes.Withdraw(attempt)
	if len(left) == len(t.crashes) {
		return
	}
	t.crashes = left
	if t.crashes.Suspicious() < crashes.Most {
		t.trialsPausedUntil = time.Time{}
	}
	m.markDirty(t.step.job())
	m.emit(Note{
		Decision: joblog.MessageCrashWithdrawn, Job: t.step.job().id, Task: t.key().String(), Attempt: attempt, Routine: true,
		Reason: "its worker answers again; crashes since its last long run: " + t.crashes.String(),
	})
}

// isCrashCounted reports whether the crash has been counted, or one of a later attempt,
// unless that ran beside this one.
func (m *Machine) isCrashCounted(t *task, c job.Crash) bool {
	if m.allowsCopies(t.step) {
		return slices.ContainsFunc(t.crashes, func(known job.Crash) bool { return known.Attempt == c.Attempt })
	}
	return len(t.crashes) > 0 && t.crashes[len(t.crashes)-1].Attempt >= c.Attempt
}
