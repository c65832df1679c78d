package jobsched

// placementScore rates a worker for a task. The worker with the highest sum of
// scores wins.
type placementScore func(m *Machine, t *task, w *worker) float64

var placementScores = []placementScore{
	scoreBalance, scoreDataRack, scoreSameRack, scoreFailedWorker, scoreTrials, scoreServing, scoreSpeed,
}

func (m *Machine) score(t *task, w *worker) float64 {
	sum := 0.0
	for _, s := range placementScores {
		sum += s(m, t, w)
	}
	return sum
}

const (
	// dataRackScore outweighs any difference in load: away from its data, a task
	// takes two to three times as long.
	dataRackScore = 10.0
	sameRackScore = 10.0
	// failedWorkerScore keeps a task off the worker that it failed on, as long as
	// there is another.
	failedWorkerScore = -20.0
	// trialScore separates tasks under which workers have crashed. On one worker,
	// all of them would be blamed for a crash that one caused.
	trialScore = -5.0
	// servingScore keeps best-effort work off workers whose long-running tasks it
	// would slow down, while there are others.
	servingScore = -1.0
	// sameImageScore groups serving tasks of the same image.
	sameImageScore = 1.0
)

// scoreBalance prefers the worker with the largest free fraction of its scarcest
// resource.
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

// scoreSameRack keeps together the tasks of a step that is slow across racks.
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

// scoreServing keeps best-effort work away from tasks with a latency target: the
// more, the closer these are to the target and the more they may be slowed down. It
// also groups serving tasks by image, so that some workers remain where a
// best-effort image disturbs no one.
func scoreServing(m *Machine, t *task, w *worker) float64 {
	spec := t.step.spec
	switch {
	case spec.BestEffort && w.hasServingTasks():
		return servingScore * (w.throttle.Pressure() + m.worstEffect(w, m.imageOf(t.step), spec.Size.MilliCPU))
	case spec.LatencyTargetMs > 0:
		return sameImageScore * m.imageShare(w, m.imageOf(t.step))
	}
	return 0
}

// imageShare returns the fraction of the worker's serving tasks that run the image with the given index
// minus the fraction that run others, from -1 to 1. It is 0 without serving tasks.
func (m *Machine) imageShare(w *worker, image int) float64 {
	if w.servingTasks == 0 {
		return 0
	}
	same := 0
	if image < len(w.victims) {
		same = w.victims[image]
	}
	return float64(2*same-w.servingTasks) / float64(w.servingTasks)
}
