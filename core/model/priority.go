package model

// Priority orders work and requests; a higher one goes first and is shed or
// preempted last.
type Priority int32

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

// NumPriorities is how many priorities there are.
const NumPriorities = int(PriorityUrgent) + 1

var priorityNames = [NumPriorities]string{"low", "normal", "high", "urgent"}

// String returns the priority's name as manifests and requests write it.
func (p Priority) String() string {
	if p < 0 || int(p) >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority reads a priority's name. The second result is false when
// there is no priority of that name.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Kind tells a service from a batch job.
type Kind string

// The kinds of workload.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
)
