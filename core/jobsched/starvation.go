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
	// utilization is low. It leaves half of the three seconds in which a job has to
	// have something running for a refusal by the chosen worker.
	bestEffortMaxWait = 1500 * time.Millisecond
	// lowUtilizationLimit is the fraction of committed processors below which
	// utilization is low. Above it, workers without such serving tasks become free
	// over time anyway.
	lowUtilizationLimit = 0.6
	// maxStartWait is how long after it was due a job may have nothing running for want
	// of free processors. From then on it has something running again within three
	// seconds, so that each job runs 14 s after the last one was accepted.
	maxStartWait = 10 * time.Second
	// overcommittedShare is the share, in percent, at which an overcommitted attempt
	// runs: it goes on, and leaves most of the processors to those that were there
	// before.
	overcommittedShare = 25
)

// starving reports whether a best-effort step has waited too long although much
// capacity is free. Its tasks start where they disturb least and are throttled for the
// tasks beside them.
func (m *Machine) starving(s *step) bool {
	waited := !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= bestEffortMaxWait
	return (waited || m.hasWaitedBefore(s.occurrence)) && m.lowUtilization[m.queue(s.job()).Service]
}

// mayOvercommit reports whether the next task of a best-effort step may start on a
// worker without free processors for it: the step is starving, and nothing of its job
// runs although it was due maxStartWait ago.
func (m *Machine) mayOvercommit(s *step) bool {
	return s.spec.BestEffort && s.job().attempts == 0 && m.isOverdue(s.occurrence) && m.starving(s)
}

// hasWaitedBefore reports whether an overdue occurrence has waited under an earlier
// leader. It holds until this leader has started a task of the job. If each leader
// counted the wait from its own takeover, nothing would ever be starving while leaders
// change quickly.
func (m *Machine) hasWaitedBefore(o *occurrence) bool {
	j := o.job
	return j.recovered && !j.resumed && j.attempts == 0 && m.isOverdue(o)
}

// isOverdue reports whether the occurrence was due maxStartWait ago or more, or has been
// known to this leader for so long, whose clock may be behind that of the daemon which
// accepted the job.
func (m *Machine) isOverdue(o *occurrence) bool {
	return m.now.Sub(o.begunAt) >= maxStartWait || m.since(o.dueMs()) >= maxStartWait
}

// measureUtilization finds the services with low utilization, on the workers that may be
// given tasks.
func (m *Machine) measureUtilization() {
	committed, capacity := make(map[string]int64), make(map[string]int64)
	for _, w := range m.workers.All() {
		if w.isUsable(m.now) && !m.isCordoned(w) {
			committed[w.entry.Service] += w.committed.MilliCPU
			capacity[w.entry.Service] += w.entry.Capacity.MilliCPU
		}
	}
	m.lowUtilization = make(map[string]bool, len(capacity))
	for service := range capacity {
		m.lowUtilization[service] = float64(committed[service]) < lowUtilizationLimit*float64(capacity[service])
	}
}

// expectedCPU returns how much of its worker's processors the best-effort attempt is
// expected to use, in thousandths of a core.
func (a *attempt) expectedCPU() int64 {
	if a.overcommitted {
		return a.bestEffortCPU * overcommittedShare / fullSpeed
	}
	return a.bestEffortCPU
}

// endOvercommit gives an overcommitted attempt its full share if its worker has the
// processors for it by now.
func (a *attempt) endOvercommit() {
	w := a.worker
	if !a.overcommitted || a.bestEffortCPU-a.expectedCPU() > w.freeCPU() {
		return
	}
	w.expectedCPU -= a.expectedCPU()
	a.overcommitted = false
	w.expectedCPU += a.expectedCPU()
}
