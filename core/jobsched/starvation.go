package jobsched

import (
	"slices"
	"time"
)

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
	// usableUtilizationLimit is the fraction of committed processors of the usable
	// workers below which utilization is low. Above it, workers without such serving
	// tasks become free over time anyway.
	usableUtilizationLimit = 0.6
	// listedUtilizationLimit is the same of all listed workers: below half, a job must
	// not be without a running task for three seconds.
	listedUtilizationLimit = 0.5
	// maxStartWait is how long after it was due a job may have nothing running for want
	// of free processors: less than the 14 s after the last one was accepted in which all
	// have to run.
	maxStartWait = 10 * time.Second
	// overcommittedShare is the share, in percent, at which an overcommitted attempt
	// runs: it goes on, and leaves most of the processors to those that were there
	// before.
	overcommittedShare = 25
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

// idleCheck is the result of the last check whether anything of a job runs.
type idleCheck struct {
	at time.Time
	// attempts is the number of the job's attempts then.
	attempts int
	idle     bool
}

// isIdle reports whether no attempt of the job runs or is about to run, as far as
// known. An attempt on a worker that has been silent for some time is taken for one that
// does not run; its own task waits until that is certain, the others need not.
func (m *Machine) isIdle(j *jobState) bool {
	if j.attempts == 0 {
		return true
	}
	if c := &j.idleCheck; !c.at.Equal(m.now) || c.attempts != j.attempts {
		*c = idleCheck{at: m.now, attempts: j.attempts, idle: !m.hasWorkingAttempt(j)}
	}
	return j.idleCheck.idle
}

// hasWorkingAttempt reports whether an attempt of the job runs or is about to run.
func (m *Machine) hasWorkingAttempt(j *jobState) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if slices.ContainsFunc(t.attempts, m.isWorking) {
					return true
				}
			}
		}
	}
	return false
}

// isWorking reports whether the attempt runs or is about to run, as far as known.
func (m *Machine) isWorking(a *attempt) bool {
	w := a.worker
	silent := !w.unreachableSince.IsZero() && m.now.Sub(w.unreachableSince) >= rosterUnreachableAfter
	return !silent && !w.ended && a.phase != phaseDoubtful
}

// measureUtilization finds the services with low utilization: that of all listed
// workers, or of those alone that may be given tasks now.
func (m *Machine) measureUtilization() {
	listed, usable := make(utilization), make(utilization)
	for _, w := range m.workers.All() {
		if !w.listed || w.ended {
			continue
		}
		listed.add(w)
		if w.isUsable(m.now) && !m.isCordoned(w) {
			usable.add(w)
		}
	}
	m.lowUtilization = make(map[string]bool, len(listed))
	for service := range listed {
		m.lowUtilization[service] = listed.isBelow(service, listedUtilizationLimit) || usable.isBelow(service, usableUtilizationLimit)
	}
}

// utilization sums what is committed on workers, and their capacity, by service.
type utilization map[string]utilizationSums

// utilizationSums are sums over the workers of a service, in thousandths of a core.
type utilizationSums struct{ committed, capacity int64 }

func (u utilization) add(w *worker) {
	sums := u[w.entry.Service]
	sums.committed += w.committed.MilliCPU
	sums.capacity += w.entry.Capacity.MilliCPU
	u[w.entry.Service] = sums
}

// isBelow reports whether less than a fraction of the service's processors is committed.
// It returns false for a service without workers.
func (u utilization) isBelow(service string, limit float64) bool {
	sums := u[service]
	return float64(sums.committed) < limit*float64(sums.capacity)
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
