package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// CopyCounts counts copies of slow tasks since the leader took over.
type CopyCounts struct {
	// Started counts the copies that were started, Won those that ended as done before
	// the first attempt, and Lost those that did not: the first attempt ended as done
	// before, or the copy failed, was refused or was lost.
	Started, Won, Lost int
	// Running is how many copies may be running now.
	Running int
	// LostCoreSeconds is the work of the attempts that were of no use, copies or first
	// attempts.
	LostCoreSeconds float64
}

// Copies returns the counts of copies.
func (m *Machine) Copies() CopyCounts {
	c := m.speculation.counts
	c.Running = m.speculation.copies.Len()
	return c
}

// decideCopy records which of a task's two attempts was done first. It is called before
// the task is marked as done.
func (m *Machine) decideCopy(t *task, done *attempt) {
	if t.done || !m.allowsCopies(t.step) {
		return
	}
	for _, other := range t.attempts {
		other.beaten = true
	}
	if done.copy {
		m.noteCopyWon(t, done)
		m.speculation.counts.Won++
		t.step.job().tally.copiesWon++
	}
}

// noteCopyWon notes that a copy was done before the first attempt, and what that gained.
func (m *Machine) noteCopyWon(t *task, copied *attempt) {
	reason := "the first attempt had ended undone before"
	for _, first := range t.attempts {
		gained := m.copyProgress(first).Remaining(m.usualRun(t.step))
		reason = fmt.Sprintf("before attempt %d on %s, which is at %d%%; about %s gained",
			first.key.attempt, first.worker.id, first.percent, gained.Round(time.Millisecond))
	}
	m.noteAttempt(joblog.MessageCopyWon, copied, reason)
}

// endCopy stops tracking an attempt that has ended, and counts it as of no use if it was a
// copy that did not end as done, or was beaten by the other attempt of its task.
func (m *Machine) endCopy(a *attempt, cause EndCause) {
	m.speculation.attempts.Delete(a)
	m.speculation.copies.Delete(a)
	useless := a.beaten || a.copy && cause != EndDone
	if !useless || a.inherited {
		return
	}
	worked := time.Duration(0)
	if !a.startedAt.IsZero() {
		worked = m.now.Sub(a.startedAt)
	}
	spent := a.step().spec.Size.MilliCPU * worked.Milliseconds()
	m.speculation.counts.LostCoreSeconds += coreSeconds(float64(spent))
	if cause == EndDone {
		a.step().job().tally.lostCPUMs += spent
	}
	if a.copy {
		m.speculation.counts.Lost++
		m.noteAttempt(joblog.MessageCopyLost, a, fmt.Sprintf("%s after %s", describeEnd(a, cause), worked.Round(time.Millisecond)))
	}
}

// describeEnd says why a copy was of no use.
func describeEnd(a *attempt, cause EndCause) string {
	switch {
	case a.beaten:
		return "the first attempt was done before; the copy ended"
	case cause == endLost:
		return "refused or lost"
	}
	return string(cause)
}

// mayStayBeside reports whether an attempt that a worker reports may run on beside the
// one other of its task that is known.
func (m *Machine) mayStayBeside(t *task) bool {
	return len(t.attempts) == 1 && m.allowsCopies(t.step) && len(t.crashes) == 0
}

// adoptCopy records that the later of a task's two attempts is a copy, which an earlier
// leader started.
func (m *Machine) adoptCopy(t *task) {
	later := t.attempts[0]
	for _, a := range t.attempts {
		if a.key.attempt > later.key.attempt {
			later = a
		}
	}
	m.markCopy(later)
}
