package jobsched

import "time"

// Best-effort work gets the processors that other tasks leave, and only its memory is
// committed. Two limits keep it from a worker all the same: it does not start beside
// serving tasks that it disturbs, and what it asks for has to fit into the processors
// that are expected to be free, so that what runs ends soon. Neither bounds how long a
// task waits: serving tasks that it disturbs may be on all workers, and each processor
// that becomes free goes to the first small task that fits. So both limits give way to
// a step that has waited too long while much of the capacity is not committed.

const (
	// bestEffortMaxWait is how long a best-effort step keeps to these limits while
	// utilization is low: half of the three seconds in which a job has to have something
	// running.
	bestEffortMaxWait = 1500 * time.Millisecond
	// maxStartWait is how long after it was due a job may have nothing running for want
	// of free processors: less than the 14 s after the last one was accepted in which all
	// have to run.
	maxStartWait = 10 * time.Second
)

// starving reports whether a best-effort step has waited too long although much
// capacity is free. Its tasks start where they disturb least and are throttled for the
// tasks beside them. A step of long-running tasks is starving whatever the utilization:
// these have to run at all times.
func (m *Machine) starving(s *step) bool {
	if !s.spec.LongRunning && !m.lowUtilization[m.queue(s.job()).Service] {
		return false
	}
	waited := !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= bestEffortMaxWait
	return waited || m.hasWaitedBefore(s.job())
}

// mayOvercommit reports whether tasks of a best-effort step may start on workers without
// free processors for them: the step is starving, and it consists of long-running tasks,
// or its job is overdue and nothing of it runs. In the latter case the first start ends
// the permission.
func (m *Machine) mayOvercommit(s *step) bool {
	if !s.spec.BestEffort {
		return false
	}
	return (s.spec.LongRunning || m.isOverdueAndIdle(s.job())) && m.starving(s)
}

// hasWaitedBefore reports whether an overdue job of which nothing runs has waited under
// an earlier leader: this one has not seen anything of it run. If each leader counted
// the wait from its own takeover, nothing would ever be starving while leaders change
// quickly.
func (m *Machine) hasWaitedBefore(j *jobState) bool {
	return j.recovered && !j.seenRunning && m.isOverdueAndIdle(j)
}

// isOverdueAndIdle reports whether nothing of the job runs although it was due
// maxStartWait ago or more, or has been known to this leader for so long, whose clock may
// be behind that of the daemon which accepted the job.
func (m *Machine) isOverdueAndIdle(j *jobState) bool {
	overdue := m.now.Sub(j.takenInAt) >= maxStartWait || m.since(j.firstDueMs()) >= maxStartWait
	return overdue && m.isIdle(j)
}

// firstDueMs returns when the job's first occurrence was due, as Unix time in
// milliseconds.
func (j *jobState) firstDueMs() int64 {
	if schedule := j.record.Spec.Schedule; schedule != nil {
		return max(schedule.Due(0).UnixMilli(), j.record.AcceptedAtMs)
	}
	return j.record.AcceptedAtMs
}
