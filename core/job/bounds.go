package job

import "slices"

// The values beyond which a time or a setting makes no difference. Sums and products of
// values within them have room in 64 bits, also in nanoseconds.
const (
	maxEstimateMs = 30 * 24 * 60 * 60 * 1000
	// MaxAllowanceMs bounds how long a job may take, in milliseconds.
	MaxAllowanceMs   = 10 * 365 * 24 * 60 * 60 * 1000
	maxStretch       = 1e6
	maxQueueAttempts = 1 << 20
	// maxTimeMs is the end of the year 9999, as Unix time in milliseconds.
	maxTimeMs = 253_402_300_799_999
)

// Bound replaces each estimate and bound that is out of range by the nearest value in range,
// so that sums and products of them are correct. They describe the job and do not rule it
// out: a task with a wrong estimate can be carried out. A step that names an earlier one
// several times names it once.
func (s *Spec) Bound() {
	for i := range s.Steps {
		step := &s.Steps[i]
		step.EstimateMs = min(max(step.EstimateMs, 0), maxEstimateMs)
		step.LatencyTargetMs = min(max(step.LatencyTargetMs, 0), maxEstimateMs)
		step.MaxPerWorker = min(step.MaxPerWorker, MaxTasks)
		step.MaxUnavailable = min(step.MaxUnavailable, MaxTasks)
		step.After = distinct(step.After)
	}
}

// Bound does for the settings of a queue what Spec.Bound does for a declaration.
func (q *Queue) Bound() {
	q.MaxAttempts = min(max(q.MaxAttempts, 1), maxQueueAttempts)
	q.Stretch = min(max(q.Stretch, 0), maxStretch)
	q.LatencyTargetMs = min(max(q.LatencyTargetMs, 0), maxEstimateMs)
}

// bound does the same for a record.
func (a *Accepted) bound() {
	a.Spec.Bound()
	a.Queue.Bound()
	a.AcceptedAtMs = min(max(a.AcceptedAtMs, 0), maxTimeMs)
	a.CanceledAtMs = min(max(a.CanceledAtMs, 0), maxTimeMs)
}

// distinct returns the numbers in order, each once, in a slice that keeps no memory for the
// others.
func distinct(numbers []int) []int {
	slices.Sort(numbers)
	once := slices.Compact(numbers)
	if len(once) < len(numbers) {
		return slices.Clone(once)
	}
	return numbers
}
