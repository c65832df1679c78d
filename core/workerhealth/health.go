// Package workerhealth detects workers that fail whatever they start.
//
// The failures of a worker are counted as they are reported; the package starts nothing
// and reads no clock.
package workerhealth

import "time"

// Health tracks the failures of a worker, to detect one that fails whatever it
// starts. A sound job that is placed there repeatedly would use up its attempts and
// fail through the worker's fault; this shows as unrelated tasks that fail there
// one after the other. So after a few consecutive failures the worker is
// quarantined: it gets no tasks for a while, and then, on probation, one at a time
// until one succeeds.
type Health struct {
	failures         int
	failedAt         time.Time
	quarantinedUntil time.Time
}

const (
	// QuarantineAfter is the number of consecutive failures, of different tasks,
	// after which a worker is quarantined. A few percent of all attempts fail by
	// themselves, so that two in a row are rare on a healthy worker.
	QuarantineAfter = 2
	// firstQuarantine is the length of the first quarantine; it doubles up to
	// maxQuarantine. Faulty workers recover after 4 to 8 s.
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 8 * time.Second
	// probationRunTime is how long an attempt must have run since the last failure
	// to count as a success. Long-running tasks never end, so without it a worker
	// that has only those would stay on probation forever. Whatever a faulty worker
	// starts fails within its run time, mostly less than a second.
	probationRunTime = 2500 * time.Millisecond
	// FailureRetention is how long a failure counts, from the end of the
	// quarantine. Long-running tasks fail by themselves occasionally. On a worker
	// that runs little else no task completes in between, and two such failures,
	// minutes apart, would quarantine it.
	FailureRetention = 4 * time.Second
)

// RecordSuccess records that a task has completed on the worker.
func (h *Health) RecordSuccess() { *h = Health{} }

// RecordFailure records a failure that counts against the worker.
func (h *Health) RecordFailure(now time.Time) {
	h.forget(now)
	h.failures++
	h.failedAt = now
	if h.failures < QuarantineAfter {
		return
	}
	pause := firstQuarantine << min(h.failures-QuarantineAfter, 4)
	h.quarantinedUntil = now.Add(min(pause, maxQuarantine))
}

// IsAvailable reports whether the worker is not quarantined.
func (h *Health) IsAvailable(now time.Time) bool { return !now.Before(h.quarantinedUntil) }

// RecordSurvival records that an attempt has been running since startedAt.
func (h *Health) RecordSurvival(startedAt, now time.Time) {
	if h.failures > 0 && startedAt.After(h.failedAt) && now.Sub(startedAt) > probationRunTime {
		h.RecordSuccess()
	}
}

// forget drops failures older than FailureRetention.
func (h *Health) forget(now time.Time) {
	last := h.failedAt
	if h.quarantinedUntil.After(last) {
		last = h.quarantinedUntil
	}
	if now.Sub(last) > FailureRetention {
		*h = Health{}
	}
}

// Record is what a leader hands over about a worker on probation.
type Record struct {
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// FailedAgo is the time since the last failure. ClosedFor is how much longer
	// the worker gets no tasks, 0 if it does. Both count from the moment of
	// writing.
	FailedAgo time.Duration `json:"failedAgo"`
	ClosedFor time.Duration `json:"closedFor,omitempty"`
}

// Record returns the health to hand over to the next leader, or nil if the
// worker is not on probation.
func (h *Health) Record(now time.Time) *Record {
	if !h.IsOnProbation(now) {
		return nil
	}
	return &Record{
		Failures: h.failures, FailedAgo: now.Sub(h.failedAt), ClosedFor: max(h.quarantinedUntil.Sub(now), 0),
	}
}

// Recover returns the health that an earlier leader handed over at the
// given time.
func Recover(r *Record, at time.Time) Health {
	if r == nil {
		return Health{}
	}
	return Health{failures: r.Failures, failedAt: at.Add(-r.FailedAgo), quarantinedUntil: at.Add(r.ClosedFor)}
}

// IsOnProbation reports whether the worker gets one task at a time.
func (h *Health) IsOnProbation(now time.Time) bool {
	h.forget(now)
	return h.failures >= QuarantineAfter
}

// Failures returns the number of consecutive failures.
func (h *Health) Failures() int { return h.failures }

// FailedAt returns the time of the last failure; zero without any.
func (h *Health) FailedAt() time.Time { return h.failedAt }
