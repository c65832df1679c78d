package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerspeed"
)

// source identifies the attempt for what is learned from it.
func (a *attempt) source() workerspeed.Source {
	return workerspeed.Source{Task: a.key.task, Attempt: a.key.attempt}
}

// maxRecentPercents is the number of percents above which those of an attempt's recent
// pace count half, so that it follows a change.
const maxRecentPercents = 20

// learnSpeedFromPace learns from an attempt that has passed some percents of its run in
// the given working time. Attempts that may be slow because of their place in the network
// tell nothing.
func (m *Machine) learnSpeedFromPace(a *attempt, percents int, took time.Duration) {
	spec := a.step().spec
	if !m.options.Policies.WorkerSpeeds || spec.LongRunning || spec.SameRack || spec.DataRack != "" && spec.DataRack != a.worker.entry.Rack {
		return
	}
	recent := &a.pace.recent
	recent.Add(percents, took)
	if recent.Percents > maxRecentPercents {
		recent.Percents, recent.Took = recent.Percents/2, recent.Took/2
	}
	perPercent := float64(recent.Took) / float64(recent.Percents)
	usual, known := m.usualPace(a, perPercent)
	if !known {
		return
	}
	evidence := workerspeed.Exact
	if a.bestEffortCPU > 0 && a.worker.mayLackProcessors() {
		evidence = workerspeed.AtMost
	}
	a.worker.speed.learned.Observe(m.now, a.source(), perPercent/usual, evidence)
}

// mayLackProcessors reports whether the worker's best-effort work may wait for processors
// because its other tasks use what is committed to them.
func (w *worker) mayLackProcessors() bool {
	return w.committed.MilliCPU+w.bestEffortCPU > w.entry.Capacity.MilliCPU
}

// usualPace takes in what a percent takes the attempt, and returns what one lately took on
// other workers: in its step, or for its image where the step's other tasks do not tell.
// What runs on slow workers does not show what is usual: a step that finds no room
// elsewhere runs on these alone.
func (m *Machine) usualPace(a *attempt, perPercent float64) (float64, bool) {
	s, on := a.step(), a.worker.id
	usualHere := !a.worker.isDoubtful()
	if usualHere {
		s.pace.reference.Observe(m.now, on, a.source(), perPercent)
	}
	usual, known := s.pace.reference.Elsewhere(m.now, on)
	image, estimated := m.imageReference(s.spec), float64(runpace.EstimatedPercent(s.spec))
	if image == nil {
		return usual, known
	}
	if usualHere {
		image.Observe(m.now, on, a.source(), perPercent/estimated)
	}
	if known {
		return usual, true
	}
	usual, known = image.Elsewhere(m.now, on)
	return usual * estimated, known
}

// imageReference returns the paces of the step's image as multiples of the estimate; nil
// if the step has no image or no estimate, or there are too many images.
func (m *Machine) imageReference(spec *job.Step) *workerspeed.Reference {
	if spec.Image == "" || runpace.EstimatedPercent(spec) == 0 {
		return nil
	}
	r := m.imageReferences[spec.Image]
	if r == nil && len(m.imageReferences) < runpace.MaxImages {
		if m.imageReferences == nil {
			m.imageReferences = make(map[string]*workerspeed.Reference)
		}
		r = new(workerspeed.Reference)
		m.imageReferences[spec.Image] = r
	}
	return r
}
