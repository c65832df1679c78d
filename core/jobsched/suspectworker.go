package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerhealth"
)

// suspectWorker is a worker on which an attempt of a step was stopped because it made no
// progress, while no other attempt of the step tells whether the worker or the job is to
// blame.
type suspectWorker struct {
	worker *worker
	// stood is the working time in which the attempt made no progress, up to at.
	stood time.Duration
	at    time.Time
}

// suspectWorker decides whether a worker is to blame for an attempt that makes no
// progress. It is if others of the step have advanced elsewhere meanwhile, and so fast
// that this one should have; else it is suspected until one does. A job whose tasks
// stand still everywhere is at fault itself.
func (m *Machine) suspectWorker(a *attempt) {
	p := &a.step().pace
	if p.lastElsewhereThan(a.worker).After(a.lastAdvance()) && runpace.ShouldHaveAdvanced(p.sum.PerPercent(), a.pace.stood) {
		a.worker.health.RecordFailure(m.now)
		return
	}
	p.suspects = slices.DeleteFunc(p.suspects, func(s suspectWorker) bool { return !s.counts(m.now) })
	p.suspects = append(p.suspects, suspectWorker{worker: a.worker, stood: a.pace.stood, at: m.now})
}

// counts reports whether a failure of that time still counts against the worker.
func (s *suspectWorker) counts(now time.Time) bool {
	return now.Sub(s.at) <= workerhealth.FailureRetention
}

// judgeSuspects decides on the step's suspects after an attempt on the given worker has
// advanced.
func (m *Machine) judgeSuspects(s *step, on *worker, perPercent time.Duration) {
	s.pace.suspects = slices.DeleteFunc(s.pace.suspects, func(suspect suspectWorker) bool {
		if suspect.worker == on {
			return false
		}
		if suspect.counts(m.now) && runpace.ShouldHaveAdvanced(perPercent, suspect.stood) {
			suspect.worker.health.RecordFailure(m.now)
		}
		return true
	})
}
