package jobsched

import "github.com/guavarill/guavarill/core/job"

// attemptGap is added to the attempt numbers of tasks at a takeover. It is more
// than the number of attempts that an earlier leader can have made of a task
// between two commits.
const attemptGap = 16

// recoverJob adds a job in the state that an earlier leader recorded. progress is
// nil if no progress was recorded.
func (m *Machine) recoverJob(id job.ID, record *job.Accepted, progress *job.Progress) {
	j := m.addJob(id, record)
	j.recovered = true
	m.applyLimits(j)
	if j.state.Final() {
		return
	}
	if progress != nil {
		j.state = progress.State
		j.begun = progress.State == job.Running
		m.recoverOccurrences(j, progress)
	}
	j.recoveredEnd = m.recoveredEnd(j)
	if record.Canceled {
		m.cancel(j, record)
		return
	}
	if record.Spec.Schedule == nil && j.next == 0 {
		// An earlier leader may have begun it without recording that.
		m.beginOccurrence(j, attemptGap)
	}
	m.concludeIfDone(j)
}

func (m *Machine) recoverOccurrences(j *jobState, progress *job.Progress) {
	begun, open := progress.Open()
	j.done = begun - len(open)
	j.storedDone = j.done
	for _, number := range open {
		j.next = number
		o := m.beginOccurrence(j, 0)
		o.restore(progress.Occurrences[number], attemptGap)
		m.finishOccurrence(o)
	}
	j.next = begun
}

// claimOrphans assigns orphaned attempts to the tasks of an occurrence that has
// just begun. An earlier leader, which learned of the job first, started them, and
// this leader is stopping them. Their tasks must not start again before they have
// ended.
func (m *Machine) claimOrphans(o *occurrence) {
	for _, w := range m.workers.All() {
		for _, a := range w.attempts.All() {
			key := a.key.task
			if a.task != nil || key.Job != o.job.id || key.Occurrence != o.number {
				continue
			}
			t := o.task(key)
			if t == nil {
				continue
			}
			a.task = t
			t.attempts = append(t.attempts, a)
			t.last = max(t.last, a.key.attempt)
			o.job.attempts++
			m.countVictim(a, 1)
			m.orphans--
		}
	}
}
