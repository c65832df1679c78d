package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/joborder"
)

// finishTask marks a task as done and stops its other attempts.
func (m *Machine) finishTask(t *task) {
	for _, a := range slices.Clone(t.attempts) {
		m.requestStop(a, stopSuperseded, "another attempt is done")
	}
	m.markDone(t)
}

// markDone marks a task as done, and with it whatever that completes: its step,
// occurrence and job.
func (m *Machine) markDone(t *task) {
	o := t.step.occurrence
	for _, s := range o.taskDone(t) {
		s.times.readyAt = m.now
		m.pending.Set(s, struct{}{})
	}
	if t.step.left == 0 {
		o.job.tally.noteStepDone(t.step, m.now)
	}
	m.markDirty(o.job)
	m.changed = true
	m.finishOccurrence(o)
	m.concludeIfDone(o.job)
}

// countFailure counts a failed attempt against a task, or against all members of
// its gang. Each attempt is counted once. The job fails when a task has used up its
// attempts.
func (m *Machine) countFailure(t *task, attempt int) {
	s := t.step
	if s.spec.LongRunning || slices.Contains(t.failed, attempt) {
		return
	}
	failed := []*task{t}
	if s.spec.Gang {
		failed = s.tasks
	}
	for _, member := range failed {
		member.failed = append(member.failed, attempt)
	}
	m.markDirty(s.job())
	if limit := m.queue(s.job()).MaxAttempts; len(t.failed) >= limit {
		reason := fmt.Sprintf("task %s failed %d times of %d", t.key(), len(t.failed), limit)
		m.conclude(s.job(), job.Failed, reason, 0)
	}
}

// finishOccurrence removes an occurrence if all its steps are done.
func (m *Machine) finishOccurrence(o *occurrence) {
	if o.left > 0 || o.job.occurrences[o.number] != o {
		return
	}
	delete(o.job.occurrences, o.number)
	m.countMemory(o.job)
	o.job.done++
	m.observeRunTime(o)
	m.countOutcome(o, m.lateness(o) != joborder.TooLate)
	m.markDirty(o.job)
}

func (m *Machine) concludeIfDone(j *jobState) {
	if !j.state.Final() && j.done == j.total() {
		m.conclude(j, job.Completed, "all tasks are done", 0)
	}
}

// cancel concludes a job that its caller canceled.
func (m *Machine) cancel(j *jobState, record *job.Accepted) {
	if record.CanceledAtMs == 0 {
		m.conclude(j, job.Canceled, "the caller canceled it", 0)
		return
	}
	lag := m.since(record.CanceledAtMs)
	m.conclude(j, job.Canceled, fmt.Sprintf("the caller canceled it %s ago", lag), lag)
}

// conclude moves a job to a final state and stops its attempts. lag is the lag of
// the emitted note.
func (m *Machine) conclude(j *jobState, state job.State, reason string, lag time.Duration) {
	j.state = state
	if !m.wall.IsZero() {
		j.overAtMs = m.wall.UnixMilli()
	}
	m.emit(Note{Decision: joblog.JobFinalMessage(state), Job: j.id, Lag: lag, Reason: fmt.Sprintf("%s; accepted %s ago%s",
		reason, m.age(j), m.describeTally(j))})
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			m.pending.Delete(s)
			for _, t := range s.tasks {
				for _, a := range slices.Clone(t.attempts) {
					m.requestStop(a, stopUnneeded, "job "+string(state))
				}
			}
		}
	}
	m.markDirty(j)
	m.retainFinal(j.id)
	m.dropIfFinal(j)
}

// dropIfFinal removes a job that is final, stored and without attempts.
func (m *Machine) dropIfFinal(j *jobState) {
	unstored := m.dirty.Has(j.id) || m.commit.inFlight && slices.Contains(m.commit.jobs, j.id)
	if j.state.Final() && j.attempts == 0 && !unstored {
		m.jobs.Delete(j.id)
		m.memory.used -= j.memoryBytes
	}
}
