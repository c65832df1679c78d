package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

// learnerOptions sets the learner of interference for half-second readings.
// Which image disturbs which differs by the pair: most pairs do not disturb at
// all, some triple the tail latency.
func learnerOptions() interference.Options {
	return interference.Options{
		// A pair that was never seen is a little suspect. An aggressor's class says
		// little, the pair much: most disturb not at all, the others a lot.
		PriorMean: 0.1, ClassStd: 0.2, PairStd: 0.8,
		// Load and workload are not told apart here.
		BucketStd: 0.02, WorkloadStd: 0.01,
		// Amounts change within seconds, by less than their size.
		IntensityStd: 0.3, IntensityDecay: 5 * time.Second,
		// Readings of undisturbed tasks of a step differ by a tenth.
		NoiseStd: 0.15, NoiseRatio: 0.2,
		// Images keep their ways for much longer than a leader its term.
		Decay: 10 * time.Minute,
		// Only the last half second is ever asked for.
		Retain: 3 * time.Second,
	}
}

const (
	// readingDelay is how long ago the middle of the time was that a reading
	// covers, when its report arrives.
	readingDelay = 250 * time.Millisecond
	// maxReadingAge is how old the readings may be that are compared.
	maxReadingAge = 1200 * time.Millisecond
	// minPeers is how many tasks of a step must have readings, to tell what
	// they share, their load, from what disturbs one of them.
	minPeers = 3
	// maxBaselinePart bounds what is taken for the undisturbed tail of a step, as
	// a part of its target: all of its tasks may be disturbed.
	maxBaselinePart = 0.6
	// harmfulEffect is the predicted slowdown, above 1, from which an attempt is
	// taken to disturb. It is just above the prior, so that a pair that was never
	// seen may be tried, and below what is learned of any pair that disturbs: that
	// comes out too low, because such work is soon throttled.
	harmfulEffect = 0.12
	// effectUnit is the part of a worker's processors to which effects are told: a
	// usual best-effort task uses about as much.
	effectUnit = 0.1
)

// effectWeight returns how strongly best-effort work that uses so much of the
// worker's processors disturbs there, in units of effectUnit. Effects by the task
// would make small tasks look as harmful as large ones of their image.
func (w *worker) effectWeight(milliCPU int64) float64 {
	return fraction(milliCPU, w.entry.Capacity.MilliCPU) / effectUnit
}

// effectWeight returns how strongly the attempt disturbs at full speed: not at all
// unless it is best-effort work.
func (a *attempt) effectWeight() float64 { return a.worker.effectWeight(a.bestEffortCPU) }

// presentWeight returns how strongly the attempt disturbs at its present share.
func (a *attempt) presentWeight() float64 {
	return a.effectWeight() * float64(a.throttle) / fullSpeed
}

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
	m.lastLearnID++
	image := a.step().spec.Image
	a.image = m.effects.imageIndex(image)
	a.learnKey = model.TaskKey{Workload: image, Generation: m.lastLearnID}
	m.learner.TaskStarted(m.now, a.worker.learnID(), a.learnKey, image)
	// Serving tasks weigh nothing: blamed for each other's tails, they would take a
	// part of the blame from the work that disturbs.
	m.learner.TaskThrottled(m.now, a.worker.learnID(), a.learnKey, a.presentWeight())
}

// learnStop tells the learner that an attempt has gone.
func (m *Machine) learnStop(a *attempt) {
	if a.learnKey.Generation != 0 {
		m.learner.TaskStopped(m.now, a.worker.learnID(), a.learnKey)
	}
}

// learn takes in the readings of a worker's report.
func (m *Machine) learn(w *worker) {
	for _, a := range w.attempts.All() {
		if !a.serving() || a.learnKey.Generation == 0 {
			continue
		}
		calm := m.baselineReading(a.step())
		if calm == 0 {
			continue
		}
		m.learner.Observe(m.now, interference.Observation{
			Worker: w.learnID(), Victim: a.learnKey, Class: a.step().spec.Image, MeasuredAt: m.now.Add(-readingDelay),
			Slowdown: max(float64(a.reading)/calm, 1),
		})
	}
}

// serving reports whether the attempt is at work for users of its own.
func (a *attempt) serving() bool {
	s := a.step()
	return s != nil && s.spec.LatencyTargetMs > 0 && a.phase == phaseRunning && a.percent >= 100 && a.reading > 0
}

// peer is a serving task of a step, with its reading and what its neighbours
// are predicted to add.
type peer struct {
	reading int64
	excess  float64
}

// baselineInterval is how long a calm reading is used: a tenth of the time that each
// of the readings behind it covers. Every report of every worker would work it out
// anew otherwise, for each of the step's tasks there.
const baselineInterval = 50 * time.Millisecond

// baselineReading returns the step's calm reading, or 0 when it is not known.
func (m *Machine) baselineReading(s *step) float64 {
	if s.baselineAt.IsZero() || m.now.Sub(s.baselineAt) >= baselineInterval {
		s.baseline, s.baselineAt = m.estimateBaseline(s), m.now
	}
	return s.baseline
}

// estimateBaseline estimates the tail latency that the step's tasks would have now
// without neighbours. They share their load, so it is one figure for all; the
// readings of those that are predicted to be disturbed least show it. It
// returns 0 when too few are known.
//
// The lowest readings alone would not do: when most of a step's tasks are
// disturbed it would look calm, and those who disturb it harmless. Predictions
// only rank the tasks here; to divide by them would let an error in them grow.
func (m *Machine) estimateBaseline(s *step) float64 {
	peers := make([]peer, 0, len(s.tasks))
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.serving() && m.now.Sub(a.readAt) < maxReadingAge {
				peers = append(peers, peer{a.reading, m.predictedExcess(a)})
			}
		}
	}
	if len(peers) < minPeers {
		return 0
	}
	slices.SortFunc(peers, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.excess, b.excess), cmp.Compare(a.reading, b.reading))
	})
	calmest := peers[:max(len(peers)/3, 2)]
	slices.SortFunc(calmest, func(a, b peer) int { return cmp.Compare(a.reading, b.reading) })
	calm := float64(calmest[(len(calmest)-1)/2].reading)
	return min(calm, maxBaselinePart*float64(s.spec.LatencyTargetMs))
}

// predictedExcess returns the slowdown, above 1, that the best-effort work on
// its worker is predicted to bring to a serving attempt.
func (m *Machine) predictedExcess(victim *attempt) float64 {
	m.refreshEffects()
	effects := m.effects.effects[victim.image]
	sum := 0.0
	for _, a := range victim.worker.attempts.All() {
		if a.bestEffortCPU > 0 && a.learnKey.Generation != 0 {
			sum += effects[a.image].Mean * a.presentWeight()
		}
	}
	return sum
}

// effectCache holds the predicted effects between images. Placement asks for
// them far more often than they change.
type effectCache struct {
	// index numbers the images from 0.
	index map[string]int
	names []string
	// effects is by victim, then aggressor.
	effects     [][]interference.Estimate
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
	return i
}

// refreshEffects asks the learner anew when the answers are old, or lack an image.
func (m *Machine) refreshEffects() {
	c := &m.effects
	if m.now.Sub(c.refreshedAt) < effectRefresh && len(c.effects) == len(c.names) {
		return
	}
	c.refreshedAt = m.now
	c.effects = make([][]interference.Estimate, len(c.names))
	for v, victim := range c.names {
		c.effects[v] = make([]interference.Estimate, len(c.names))
		for a, aggressor := range c.names {
			if v < len(m.victims) && m.victims[v] > 0 {
				c.effects[v][a] = m.learner.Predict(victim, aggressor, 0)
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

// worstEffect predicts the worst slowdown, above 1, that best-effort work of an
// image brings to the serving tasks of a worker when it uses so much of the
// processors.
func (m *Machine) worstEffect(w *worker, aggressor string, milliCPU int64) float64 {
	if w.servingTasks == 0 {
		return 0
	}
	worst := 0.0
	for victim, count := range w.victims {
		if count > 0 {
			worst = max(worst, m.effect(victim, aggressor).Mean)
		}
	}
	return worst * w.effectWeight(milliCPU)
}

// effect predicts the slowdown, above 1, that a unit of best-effort work of an image
// brings to serving tasks of the image with a number.
func (m *Machine) effect(victim int, aggressor string) interference.Estimate {
	a := m.effects.imageIndex(aggressor)
	m.refreshEffects()
	return m.effects.effects[victim][a]
}
