package quarantine

import "time"

// Options are the settings of an Evaluator.
type Options struct {
	// Window is the age up to which evidence counts.
	Window time.Duration
	// EvidenceThreshold is the weight of evidence at which an open worker is
	// quarantined, and ProbationThreshold the weight for a worker on probation.
	// A proven failure of a task has weight 1.
	EvidenceThreshold, ProbationThreshold float64
	// MinFailureShare is the smallest share of a worker's recent tasks that
	// must be evidence against it, from 0 to 1.
	MinFailureShare float64
	// BaseDuration is the duration of a quarantine of level 1. It doubles with
	// each level up to MaxDuration.
	BaseDuration, MaxDuration time.Duration
	// ProbationTasks is the number of distinct tasks that must succeed on a
	// worker on probation before it is open.
	ProbationTasks int
	// LevelDecay is the time after which an open worker loses one level.
	LevelDecay time.Duration
	// MaxShare is the largest share of the workers that may be quarantined at
	// the same time, but at least one may be. Further workers are put on
	// probation instead.
	MaxShare float64
	// DistinctWorkers is the number of workers that are not suspect on which a
	// task must fail to be given up.
	DistinctWorkers int
	// MaxAttempts is the number of counted failures at which a task is given
	// up, unless its workload declares another one.
	MaxAttempts int
	// HardFailures is the number of consecutive failures at which a task is
	// given up whatever their causes are.
	HardFailures uint32
	// Backoff is the delay before the next attempt after a first failure. It
	// doubles with each further failure up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// CommonShare is the share of the active workers whose latest outcome must
	// be a failure for a common cause to be assumed. CommonWorkers is the
	// smallest number of active workers for which it is assumed.
	CommonShare   float64
	CommonWorkers int
	// CommonWindow is the age of the latest outcome up to which a worker counts
	// as active.
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
