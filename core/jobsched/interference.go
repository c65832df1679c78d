package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

// learnerOptions sets the learner of interference for half-second readings.
// Which image disturbs which differs by the pair: most pairs do not disturb at
// all, some double the tail latency or worse.
func learnerOptions() interference.Options {
	return interference.Options{
		PriorMean: 0.1, ClassStd: 0.2, PairStd: 0.8, BucketStd: 0.02, WorkloadStd: 0.01,
		LoudnessStd: 0.3, NoiseStd: 0.15, NoiseRatio: 0.2,
		Decay: 10 * time.Minute, LoudnessDecay: 5 * time.Second, Retain: 3 * time.Second,
	}
}

const (
	// readingAge is how long ago the middle of the time was that a reading
	// covers, when its report arrives.
	readingAge = 250 * time.Millisecond
	// freshReading is how old the readings may be that are compared.
	freshReading = 1200 * time.Millisecond
	// leastPeers is how many tasks of a step must have readings, to tell what
	// they share, their load, from what disturbs one of them.
	leastPeers = 3
	// calmPressure bounds what is taken for the undisturbed tail of a step, as
	// a part of its target: all of its tasks may be disturbed.
	calmPressure = 0.6
	// harmfulEffect is the predicted slowdown, above 1, from which an image is
	// kept away from another. Readings of undisturbed tasks vary by a tenth.
	harmfulEffect = 0.35
)

// learnable reports whether the attempt is a victim or an aggressor.
func (a *attempt) learnable() bool {
	s := a.step()
	return s != nil && s.spec.Image != "" && (a.bestEffortCPU > 0 || s.spec.LatencyTargetMs > 0)
}

// learnStart tells the learner that an attempt is on its worker.
func (m *Machine) learnStart(a *attempt) {
	if !a.learnable() {
		return
	}
	m.learnSerial++
	image := a.step().spec.Image
	a.learnKey = model.TaskKey{Workload: image, Generation: m.learnSerial}
	m.learner.Started(m.now, a.worker.id, a.learnKey, image)
}

// learnStop tells the learner that an attempt has gone.
func (m *Machine) learnStop(a *attempt) {
	if a.learnKey.Generation != 0 {
		m.learner.Stopped(m.now, a.worker.id, a.learnKey)
	}
}

// learn takes in the readings of a worker's report.
func (m *Machine) learn(w *worker) {
	for _, a := range w.attempts {
		if !a.serving() || a.learnKey.Generation == 0 {
			continue
		}
		calm := a.step().calmReading(m.now)
		if calm == 0 {
			continue
		}
		m.learner.Observe(m.now, interference.Observation{
			Worker: w.id, Victim: a.learnKey, Class: a.step().spec.Image, MeasuredAt: m.now.Add(-readingAge),
			Slowdown: max(float64(a.reading)/calm, 1),
		})
	}
}

// serving reports whether the attempt is at work for users of its own.
func (a *attempt) serving() bool {
	s := a.step()
	return s != nil && s.spec.LatencyTargetMs > 0 && a.phase == phaseRunning && a.percent >= 100 && a.reading > 0
}

// calmReading estimates the tail latency that the step's tasks would have now
// without neighbours: they share their load, so the lower ones of their
// readings show it. It returns 0 when too few are known.
func (s *step) calmReading(now time.Time) float64 {
	readings := make([]int64, 0, len(s.tasks))
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.serving() && now.Sub(a.readAt) < freshReading {
				readings = append(readings, a.reading)
			}
		}
	}
	if len(readings) < leastPeers {
		return 0
	}
	slices.Sort(readings)
	calm := float64(readings[len(readings)/4])
	return min(calm, calmPressure*float64(s.spec.LatencyTargetMs))
}

// effectCache holds the predicted effects between images. Placement asks for
// them far more often than they change.
type effectCache struct {
	// index numbers the images from 0.
	index map[string]int
	names []string
	// effects is by victim, then aggressor.
	effects     [][]float64
	refreshedAt time.Time
}

// effectRefresh is how old the cached effects may be.
const effectRefresh = 200 * time.Millisecond

// imageIndex returns the number of an image.
func (c *effectCache) imageIndex(image string) int {
	if i, ok := c.index[image]; ok {
		return i
	}
	if c.index == nil {
		c.index = make(map[string]int)
	}
	i := len(c.names)
	c.index[image] = i
	c.names = append(c.names, image)
	// The table is made anew with the next question.
	c.refreshedAt = time.Time{}
	return i
}

// refreshEffects asks the learner anew when the answers are old.
func (m *Machine) refreshEffects() {
	c := &m.effects
	if m.now.Sub(c.refreshedAt) < effectRefresh {
		return
	}
	c.refreshedAt = m.now
	c.effects = make([][]float64, len(c.names))
	for v, victim := range c.names {
		c.effects[v] = make([]float64, len(c.names))
		for a, aggressor := range c.names {
			if v < len(m.victims) && m.victims[v] > 0 {
				c.effects[v][a] = m.learner.Predict(victim, aggressor, 0).Mean
			}
		}
	}
}

// countVictim keeps the numbers of serving tasks by image, on the worker and
// on all.
func (m *Machine) countVictim(a *attempt, by int) {
	s := a.step()
	if s == nil || s.spec.LatencyTargetMs == 0 {
		return
	}
	image := m.effects.imageIndex(s.spec.Image)
	for len(m.victims) <= image {
		m.victims = append(m.victims, 0)
	}
	w := a.worker
	for len(w.victims) <= image {
		w.victims = append(w.victims, 0)
	}
	m.victims[image] += by
	w.victims[image] += by
	w.servingTasks += by
}

// worstEffect predicts the worst slowdown, above 1, that a best-effort image
// brings to the serving tasks of a worker.
func (m *Machine) worstEffect(w *worker, aggressor string) float64 {
	if w.servingTasks == 0 {
		return 0
	}
	a := m.effects.imageIndex(aggressor)
	m.refreshEffects()
	worst := 0.0
	for v, count := range w.victims {
		if count > 0 {
			worst = max(worst, m.effects.effects[v][a])
		}
	}
	return worst
}
