package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// A worker that has been unreachable for longer than its lease runs nothing any
// more. But an attempt there may have completed before, and its end counts once it
// is acknowledged. The exception is if the lease ended any attempt after it: then
// the worker's earlier results are void. If the task is started again in the
// meantime, it is done twice; this shows as two attempts of a task that both end as
// done. So attempts are declared lost late if nothing shows that the end of the
// lease will end one of them, and the end of a lost attempt is not acknowledged
// once its task has been started again.

const (
	// listedLossGrace is how long beyond its lease the attempts on a listed,
	// unreachable worker are kept: the worker still writes its entry, so it is
	// running but partitioned from the daemons, which rarely lasts longer.
	listedLossGrace = 10 * time.Second
	// unlistedLossGrace is the same for a worker that is no longer listed: if it is
	// running, its entry is back within 2 s of an outage of the store.
	unlistedLossGrace = 2 * time.Second
	// maxUnackedEnds is how many unacknowledged ends a worker may have before it
	// gets no more tasks. It reports 500 at a time, and ends beyond them would not
	// be reported.
	maxUnackedEnds = 400
)

// loseUnreachable declares attempts on an unreachable worker lost after its lease
// has ended. It declares all of them lost if no result from there can count any
// more or lossGrace has passed, else only orphans and long-running ones, which
// never complete.
func (m *Machine) loseUnreachable(w *worker) {
	if w.attempts.Len() > 0 && !w.ended {
		m.recordLostWorker(w)
	}
	all := w.endsWithLease() || !m.now.Before(w.leaseBound.Add(w.lossGrace()))
	for _, a := range w.attempts.All() {
		if !all && !a.longRunning && a.task != nil {
			continue
		}
		if a.mayHaveCrashed() || m.hasSuccessorOnVM(w) {
			m.countAttemptCrash(a, w)
		}
		m.loseAttempt(a, "its lease ran out without an answer; "+a.describeStart(m.now))
	}
}

// describeStart tells when this leader sent the attempt's start, and whether the worker has
// confirmed it.
func (a *attempt) describeStart(now time.Time) string {
	switch {
	case a.sentAt.IsZero():
		return "an earlier leader started it"
	case a.startedAt.IsZero():
		return fmt.Sprintf("its start was sent %s ago and not answered", now.Sub(a.sentAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("its start was sent %s ago and answered after %s", now.Sub(a.sentAt).Round(time.Millisecond),
		a.startedAt.Sub(a.sentAt).Round(time.Millisecond))
}

// lossGrace returns how long beyond its lease the attempts on an unreachable worker
// are kept.
func (w *worker) lossGrace() time.Duration {
	if w.listed {
		return listedLossGrace
	}
	return unlistedLossGrace
}

// endsWithLease reports whether an attempt is certainly running on the worker that
// the end of its lease will end.
func (w *worker) endsWithLease() bool {
	for _, a := range w.attempts.All() {
		if a.longRunning && a.phase == phaseRunning {
			return true
		}
	}
	return false
}

// releaseWithheldEnds allows withheld ends to be acknowledged after the worker's
// lease has ended an attempt: the worker's earlier results no longer count.
func (w *worker) releaseWithheldEnds() {
	for i := range w.unackedEnds {
		w.unackedEnds[i].withheld = false
	}
}

// sentRestart returns the number of a later attempt of an end's task that may have been
// started after the ended one had been declared lost, or 0 if there is none. A restart
// that was only requested does not count: the end makes it needless. Nor does a later
// attempt of a task that may have copies: its first end as done counts.
func (m *Machine) sentRestart(e *EndedAttempt) int {
	number := m.restarts.sent[e.Key.Job][e.Key]
	if t := m.task(e.Key); t != nil {
		if m.allowsCopies(t.step) {
			return 0
		}
		for _, a := range t.attempts {
			number = max(number, a.key.attempt)
		}
	}
	if number <= e.Attempt {
		return 0
	}
	return number
}

// withholdEnd withholds the acknowledgement of the end that was just processed, and
// thereby of those after it, because the given attempt may have been started since.
func (m *Machine) withholdEnd(w *worker, e *EndedAttempt, restart int) {
	w.unackedEnds[len(w.unackedEnds)-1].withheld = true
	m.emit(Note{
		Decision: joblog.MessageEndNotAcknowledged, Job: e.Key.Job, Task: e.Key.String(), Attempt: e.Attempt, Worker: w.id,
		Reason: fmt.Sprintf("the attempt was declared lost and its task may have been started again as attempt %d; the end is not acknowledged", restart),
	})
}
