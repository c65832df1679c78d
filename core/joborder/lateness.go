package joborder

// LateFactor is how many times its allowance a job may take before its result is of no
// use to the caller.
const LateFactor = 3

// Lateness classifies an occurrence by whether it can meet its objective.
type Lateness int

// The values of Lateness, in order of urgency.
const (
	InTime Lateness = iota
	Late
	TooLate
)

// LatenessOf returns the Lateness of an occurrence that was due, and is expected to end,
// at the given times, and may take the given time after it was due, all in milliseconds.
// One that is deferred gives way to those that can meet their objective.
func LatenessOf(dueMs, endMs, allowanceMs int64, deferred bool) Lateness {
	switch {
	case endMs < dueMs+allowanceMs && !deferred:
		return InTime
	case endMs < dueMs+LateFactor*allowanceMs:
		return Late
	}
	return TooLate
}
