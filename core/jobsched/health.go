package jobsched

import "time"

// health blames a worker that fails what it starts. A good job that is placed
// there over and over would use up its attempts and be given up for the
// worker's fault; one notices that unrelated tasks fail there one after the
// other. So after a few failures in a row the worker gets no tasks for a while,
// and then a single one at a time until one is done.
type health struct {
	failures         int
	failedAt         time.Time
	quarantinedUntil time.Time
}

const (
	// quarantineAfter is how many failures in a row of different tasks close a
	// worker: tasks fail by themselves in a few of a hundred attempts, so that
	// two in a row are rare on a sound worker.
	quarantineAfter = 2
	// firstQuarantine is the first closure; it doubles up to closedMost. Grey
	// workers of the users' reports recover after 4 to 8 s.
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 8 * time.Second
	// probationRunTime is how long an attempt must have run since the last failure to
	// count as a success. Long-running tasks never end, and without it a worker
	// that has only such would stay closed for good; what a failing worker
	// starts fails within its run time, mostly less than a second.
	probationRunTime = 2500 * time.Millisecond
	// failureRetention is how long a failure counts, from the worker's being open.
	// Long-running tasks fail by themselves now and then; on a worker that has
	// little else nothing is done in between, and two such failures, minutes
	// apart, would close it.
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

// recordSurvival takes in that an attempt runs since startedAt.
func (h *health) recordSurvival(startedAt, now time.Time) {
	if h.failures > 0 && startedAt.After(h.failedAt) && now.Sub(startedAt) > probationRunTime {
		h.recordSuccess()
	}
}

// forget forgets failures of long ago.
func (h *health) forget(now time.Time) {
	last := h.failedAt
	if h.quarantinedUntil.After(last) {
		last = h.quarantinedUntil
	}
	if now.Sub(last) > failureRetention {
		*h = health{}
	}
}

// WorkerHealth is what a leader hands over of a worker that fails what it starts.
type WorkerHealth struct {
	// Failures is how many there were in a row.
	Failures int `json:"failures"`
	// FailedAgo is the time since the last of them, ClosedFor how long the worker gets no
	// tasks yet, 0 if it does. Both are from the moment of writing on.
	FailedAgo time.Duration `json:"failedAgo"`
	ClosedFor time.Duration `json:"closedFor,omitempty"`
}

// handoverRecord returns what the next leader should know, nil for nothing.
func (h *health) handoverRecord(now time.Time) *WorkerHealth {
	if !h.isOnProbation(now) {
		return nil
	}
	return &WorkerHealth{
		Failures: h.failures, FailedAgo: now.Sub(h.failedAt), ClosedFor: max(h.quarantinedUntil.Sub(now), 0),
	}
}

// recoveredHealth returns what an earlier leader handed over at a time.
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
