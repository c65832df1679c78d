package model

// Priority orders tasks and requests. Those with a higher priority are served
// first and are shed or preempted last.
type Priority int32

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

// NumPriorities is the number of priorities.
const NumPriorities = int(PriorityUrgent) + 1

var priorityNames = [NumPriorities]string{"low", "normal", "high", "urgent"}

// String returns the priority's name in manifests and requests, or "invalid".
func (p Priority) String() string {
	if p < 0 || int(p) >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with a name. The second result is false if
// there is none.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Kind is the kind of a workload: a service or a batch job.
type Kind string

// The kinds of workload.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
)
