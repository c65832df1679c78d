package jobsched

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/workerspeed"
)

// scoreSpeed keeps tasks off slow workers, and those that may still be slow, while there
// are others. It counts the run time as the rack of the data does, away from which a task
// takes two to three times as long.
func scoreSpeed(m *Machine, _ *task, w *worker) float64 {
	switch {
	case w.isSlow():
		return -dataRackScore * math.Log(m.slownessOf(w))
	case w.speed.unproven:
		return -dataRackScore * math.Log(workerspeed.NormalBelow)
	}
	return 0
}

// normalWorkerWait is how long a step waits for a worker at normal speed: half of the
// three seconds in which a job has to have something running.
const normalWorkerWait = 1500 * time.Millisecond

// filterSpeed keeps tasks off workers that are too slow for them.
func filterSpeed(m *Machine, t *task, w *worker) bool {
	return !w.isSlow() || t.isSuspect() || m.slownessOf(w) <= m.maxSlownessFor(t.step)
}

// provingTasks is how many tasks at once a worker gets that was slow, until they have
// shown its speed.
const provingTasks = 3

// filterUnproven keeps most tasks off a worker that was slow, until some have shown its
// speed: otherwise it gets all that its room allows at once.
func filterUnproven(m *Machine, t *task, w *worker) bool {
	return !w.speed.unproven || w.attempts.Len()-w.servingTasks < provingTasks || math.IsInf(m.maxSlownessFor(t.step), 1)
}

// maxSlownessFor returns the slowness up to which workers are used for the step's tasks.
// On a slower one a task would miss its objective, and would end later than one that
// waits for another worker for normalWorkerWait. All workers are used once the step has
// waited for that long, and where most workers are slow.
func (m *Machine) maxSlownessFor(s *step) float64 {
	if m.doubtfulWorkers == 0 || 2*m.doubtfulWorkers > m.workers.Len() {
		return math.Inf(1)
	}
	if !s.maxSlownessAt.Equal(m.now) {
		s.maxSlowness, s.maxSlownessAt = m.computeMaxSlowness(s), m.now
	}
	return s.maxSlowness
}

func (m *Machine) computeMaxSlowness(s *step) float64 {
	spec := s.spec
	waited := !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= normalWorkerWait
	if spec.LongRunning || spec.Gang || spec.EstimateMs <= 0 || waited || m.hasWaitedBefore(s.job()) {
		return math.Inf(1)
	}
	takes := time.Duration(spec.EstimateMs) * time.Millisecond
	later := time.Duration(s.occurrence.pathLeftMs)*time.Millisecond - takes
	left := time.Duration(m.objectiveMs(s.occurrence)-m.wall.UnixMilli())*time.Millisecond - later
	return workerspeed.Limit(takes, left, normalWorkerWait)
}
