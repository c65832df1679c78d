package quarantine

import "time"

// Options sets the judge.
type Options struct {
	// Window is how long evidence counts.
	Window time.Duration
	// EvidenceThreshold is the weight of evidence that quarantines an open worker,
	// ProbationThreshold one on probation.
	EvidenceThreshold, ProbationThreshold float64
	// MinFailureShare is the least part of a worker's recent tasks that must speak
	// against it.
	MinFailureShare float64
	// BaseDuration is the length of a level 1 quarantine; it doubles with each level
	// up to MaxDuration.
	BaseDuration, MaxDuration time.Duration
	// ProbationTasks is how many distinct tasks must work on a worker on
	// probation before it is open.
	ProbationTasks int
	// LevelDecay is how long an open worker must stay open to lose a level.
	LevelDecay time.Duration
	// MaxShare is the largest part of the workers that may be quarantined at
	// once; a further one is put on probation instead.
	MaxShare float64
	// DistinctWorkers is on how many workers above suspicion a task may fail
	// before it is given up.
	DistinctWorkers int
	// MaxAttempts is how many counted failures a task may have unless its
	// workload says otherwise.
	MaxAttempts int
	// HardFailures bounds the failures of a task in a row, whatever the cause.
	HardFailures uint32
	// Backoff is the wait after a first failure; it doubles with each up to
	// MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// CommonShare is the part of the active workers whose latest outcome must
	// be a failure for a common cause to be assumed, CommonWorkers the least
	// number of active workers for that.
	CommonShare   float64
	CommonWorkers int
	// CommonWindow is how recent an outcome must be for its worker to be
	// active.
	CommonWindow time.Duration
}

// DefaultOptions returns the standard settings.
func DefaultOptions() Options {
	return Options{
		Window:             30 * time.Minute,
		EvidenceThreshold:  3,
		ProbationThreshold: 1,
		MinFailureShare:    0.3,
		BaseDuration:       time.Minute,
		MaxDuration:        6 * time.Hour,
		ProbationTasks:     3,
		LevelDecay:         2 * time.Hour,
		MaxShare:           0.2,
		DistinctWorkers:    3,
		MaxAttempts:        6,
		HardFailures:       50,
		Backoff:            time.Second,
		MaxBackoff:         5 * time.Minute,
		CommonShare:        0.6,
		CommonWorkers:      4,
		CommonWindow:       2 * time.Minute,
	}
}
