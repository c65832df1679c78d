package jobsched

// placementScore says how good a worker is for a task of the step; the highest
// sum wins.
type placementScore func(m *Machine, t *task, w *worker) float64

var placementScores = []placementScore{
	scoreBalance, scoreDataRack, scoreSameRack, scoreFailedWorker, scoreTrials, scoreServing,
}

func (m *Machine) score(t *task, w *worker) float64 {
	sum := 0.0
	for _, s := range placementScores {
		sum += s(m, t, w)
	}
	return sum
}

const (
	// dataRackScore outweighs any difference in load: away from its data a task
	// takes two to three times as long.
	dataRackScore = 10.0
	sameRackScore = 10.0
	// failedWorkerScore keeps a task off the worker that it failed on while
	// there is any other.
	failedWorkerScore = -20.0
	// trialScore keeps tasks under which workers have crashed apart from each other:
	// together they would all be blamed for what one of them does.
	trialScore = -5.0
	// servingScore keeps best-effort work off workers whose long-running tasks
	// it would slow down, while there are others.
	servingScore = -1.0
	// sameImageScore puts serving tasks of one image together.
	sameImageScore = 1.0
)

// scoreBalance prefers the worker that is least loaded in its fullest dimension.
func scoreBalance(_ *Machine, t *task, w *worker) float64 {
	capacity := w.entry.Capacity
	if t.step.spec.BestEffort {
		return fraction(w.freeCPU(), capacity.MilliCPU)
	}
	room := w.room()
	return min(fraction(room.MilliCPU-w.bestEffortCPU/4, capacity.MilliCPU), fraction(room.MemoryMB, capacity.MemoryMB))
}

func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}

func scoreDataRack(_ *Machine, t *task, w *worker) float64 {
	if rack := t.step.spec.DataRack; rack != "" && w.entry.Rack == rack {
		return dataRackScore
	}
	return 0
}

// scoreSameRack keeps a step together that is slow on several racks.
func scoreSameRack(_ *Machine, t *task, w *worker) float64 {
	if !t.step.spec.SameRack {
		return 0
	}
	for _, other := range t.step.tasks {
		for _, a := range other.attempts {
			if a.worker.entry.Rack == w.entry.Rack {
				return sameRackScore
			}
		}
	}
	return 0
}

func scoreFailedWorker(_ *Machine, t *task, w *worker) float64 {
	if t.failedOn == w {
		return failedWorkerScore
	}
	return 0
}

func scoreTrials(_ *Machine, t *task, w *worker) float64 {
	if !t.isSuspect() {
		return 0
	}
	return trialScore * float64(w.trials)
}

// scoreServing keeps best-effort work away from tasks with a latency target,
// the more the closer these are to it and the more it may slow them down; and
// puts serving tasks together with others of their image, so that there are
// workers left where a best-effort image disturbs nobody.
func scoreServing(m *Machine, t *task, w *worker) float64 {
	spec := t.step.spec
	switch {
	case spec.BestEffort && w.hasServingTasks():
		return servingScore * (w.throttle.pressure + m.worstEffect(w, spec.Image, spec.Size.MilliCPU))
	case spec.LatencyTargetMs > 0:
		return sameImageScore * m.imageShare(w, spec.Image)
	}
	return 0
}

// imageShare returns by how much the worker's serving tasks are of the image
// rather than of others, from -1 to 1; 0 when there is none.
func (m *Machine) imageShare(w *worker, image string) float64 {
	if w.servingTasks == 0 {
		return 0
	}
	same := 0
	if i := m.effects.imageIndex(image); i < len(w.victims) {
		same = w.victims[i]
	}
	return float64(2*same-w.servingTasks) / float64(w.servingTasks)
}
