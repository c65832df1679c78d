package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/speculation"
)

// stepRuns is how long tasks of a step take, as far as it is known.
type stepRuns struct {
	// ended holds how long the attempts took that are done.
	ended []time.Duration
	// usual is how long a usual run takes, as computed at usualAt.
	usual   time.Duration
	usualAt time.Time
}

// usualRunInterval is how long a usual run is cached: as often as workers report.
const usualRunInterval = 250 * time.Millisecond

// usualRun returns how long a task of the step takes on a usual worker; 0 if unknown.
func (m *Machine) usualRun(s *step) time.Duration {
	if s.runs.usualAt.IsZero() || m.now.Sub(s.runs.usualAt) >= usualRunInterval {
		estimate := runpace.Scale(runpace.FullPercent*runpace.EstimatedPercent(s.spec), m.imageRatio(s))
		s.runs.usual, s.runs.usualAt = speculation.Usual(m.expectedRuns(s), estimate), m.now
	}
	return s.runs.usual
}

// imageRatio returns how many times as long as estimated the tasks of the step's image
// take; 1 if unknown.
func (m *Machine) imageRatio(s *step) float64 {
	if ratio, known := m.imagePaces[s.spec.Image]; known {
		return ratio
	}
	return 1
}

// minProjectedPercent is the percent from which a whole run is projected from a part of
// it.
const minProjectedPercent = 10

// expectedRuns returns how long the tasks of the step took, or are expected to take as
// they advance.
func (m *Machine) expectedRuns(s *step) []time.Duration {
	runs := make([]time.Duration, 0, len(s.tasks))
	runs = append(runs, s.runs.ended...)
	for _, t := range s.tasks {
		if t.done || len(t.attempts) != 1 {
			continue
		}
		a := t.attempts[0]
		if p := m.copyProgress(a); a.phase == phaseRunning && p.Passed >= minProjectedPercent {
			runs = append(runs, p.Took*runpace.FullPercent/time.Duration(p.Passed))
		}
	}
	return runs
}

// recordRun records how long an attempt took that is done.
func (m *Machine) recordRun(a *attempt) {
	if s := a.step(); m.allowsCopies(s) && !a.adopted && !a.startedAt.IsZero() {
		s.runs.ended = append(s.runs.ended, m.now.Sub(a.startedAt))
		s.runs.usualAt = time.Time{}
	}
}

// pathAfterMs returns the longest chain of estimated work through the steps that depend
// on this one, in milliseconds.
func (s *step) pathAfterMs() int64 {
	steps := s.occurrence.steps
	after := make([]int64, len(steps))
	for i := len(steps) - 1; i >= s.number; i-- {
		for _, next := range steps[i].next {
			after[i] = max(after[i], next.spec.EstimateMs+after[next.number])
		}
	}
	return after[s.number]
}
