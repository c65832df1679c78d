package jobsched

import "time"

// health tracks the failures of a worker, to detect one that fails whatever it
// starts. A sound job that is placed there repeatedly would use up its attempts and
// fail through the worker's fault; this shows as unrelated tasks that fail there
// one after the other. So after a few consecutive failures the worker is
// quarantined: it gets no tasks for a while, and then, on probation, one at a time
// until one succeeds.
type health struct {
	failures         int
	failedAt         time.Time
	quarantinedUntil time.Time
}

const (
	// quarantineAfter is the number of consecutive failures, of different tasks,
	// after which a worker is quarantined. A few percent of all attempts fail by
	// themselves, so that two in a row are rare on a healthy worker.
	quarantineAfter = 2
	// firstQuarantine is the length of the first quarantine; it doubles up to
	// maxQuarantine. Faulty workers in the users' reports recover after 4 to 8 s.
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 8 * time.Second
	// probationRunTime is how long an attempt must have run since the last failure
	// to count as a success. Long-running tasks never end, so without it a worker
	// that has only those would stay on probation forever. Whatever a faulty worker
	// starts fails within its run time, mostly less than a second.
	probationRunTime = 2500 * time.Millisecond
	// failureRetention is how long a failure counts, from the end of the
	// quarantine. Long-running tasks fail by themselves occasionally. On a worker
	// that runs little else no task completes in between, and two such failures,
	// minutes apart, would quarantine it.
	failureRetention = 4 * time.Second
)

func (h *health) recordSuccess() { *h = health{} }

func (h *health) recordFailure(now time.Time) {
	h.forget(now)
	h.failures++
	h.failedAt = now
	if h.failures < quarantineAfter {
		return
	}
	pause := firstQuarantine << min(h.failures-quarantineAfter, 4)
	h.quarantinedUntil = now.Add(min(pause, maxQuarantine))
}

func (h *health) isAvailable(now time.Time) bool { return !now.Before(h.quarantinedUntil) }

// recordSurvival records that an attempt has been running since startedAt.
func (h *health) recordSurvival(startedAt, now time.Time) {
	if h.failures > 0 && startedAt.After(h.failedAt) && now.Sub(startedAt) > probationRunTime {
		h.recordSuccess()
	}
}

// forget drops failures older than failureRetention.
func (h *health) forget(now time.Time) {
	last := h.failedAt
	if h.quarantinedUntil.After(last) {
		last = h.quarantinedUntil
	}
	if now.Sub(last) > failureRetention {
		*h = health{}
	}
}

// WorkerHealth is what a leader hands over about a worker on probation.
type WorkerHealth struct {
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// FailedAgo is the time since the last failure. ClosedFor is how much longer
	// the worker gets no tasks, 0 if it does. Both count from the moment of
	// writing.
	FailedAgo time.Duration `json:"failedAgo"`
	ClosedFor time.Duration `json:"closedFor,omitempty"`
}

// handoverRecord returns the health to hand over to the next leader, or nil if the
// worker is not on probation.
func (h *health) handoverRecord(now time.Time) *WorkerHealth {
	if !h.isOnProbation(now) {
		return nil
	}
	return &WorkerHealth{
		Failures: h.failures, FailedAgo: now.Sub(h.failedAt), ClosedFor: max(h.quarantinedUntil.Sub(now), 0),
	}
}

// recoveredHealth returns the health that an earlier leader handed over at the
// given time.
func recoveredHealth(w *WorkerHealth, at time.Time) health {
	if w == nil {
		return health{}
	}
	return health{failures: w.Failures, failedAt: at.Add(-w.FailedAgo), quarantinedUntil: at.Add(w.ClosedFor)}
}

// isOnProbation reports whether the worker gets one task at a time.
func (h *health) isOnProbation(now time.Time) bool {
	h.forget(now)
	return h.failures >= quarantineAfter
}
