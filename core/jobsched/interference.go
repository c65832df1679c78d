package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/imageindex"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/model"
)

// learnerOptions configures the interference learner for readings over half a
// second. Whether one image disturbs another depends on the pair: most pairs do not
// interfere at all, some triple the tail latency.
func learnerOptions() interference.Options {
	return interference.Options{
		// A pair that was never observed is assumed to disturb slightly. The
		// aggressor's class predicts little, the pair much: most pairs do not
		// disturb at all, the others a lot.
		PriorMean: 0.1, ClassStd: 0.2, PairStd: 0.8,
		// Load and workload are not distinguished here.
		BucketStd: 0.02, WorkloadStd: 0.01,
		// Effects change within seconds, by less than their size.
		IntensityStd: 0.3, IntensityDecay: 5 * time.Second,
		// The readings of undisturbed tasks of a step differ by a tenth.
		NoiseStd: 0.15, NoiseRatio: 0.2,
		// The behavior of an image outlasts the term of a leader by far.
		Decay: 10 * time.Minute,
		// Only the last half second is ever queried.
		Retain: 3 * time.Second,
	}
}

const (
	// readingDelay is the age of a reading when its report arrives, counted from
	// the middle of the time that it covers.
	readingDelay = 250 * time.Millisecond
	// maxReadingAge is the maximum age of readings that are compared.
	maxReadingAge = 1200 * time.Millisecond
	// minPeers is how many tasks of a step must have readings to distinguish their
	// common load from the disturbance of one of them.
	minPeers = 3
	// maxBaselinePart bounds the baseline reading of a step as a fraction of its
	// target, since all of its tasks may be disturbed.
	maxBaselinePart = 0.6
	// harmfulEffect is the predicted slowdown, above 1, from which an attempt
	// counts as disturbing. It is just above the prior, so that a pair that was
	// never observed may be tried, and below the estimate for any pair that
	// disturbs. Those estimates come out too low because disturbing work is soon
	// throttled.
	harmfulEffect = 0.12
	// effectUnit is the fraction of a worker's processors that effects refer to; a
	// typical best-effort task uses about as much.
	effectUnit = 0.1
)

// effectWeight returns the effect of best-effort work with the given processor use
// on this worker, in units of effectUnit. If effects were per task, small tasks
// would look as harmful as large ones of the same image.
func (w *worker) effectWeight(milliCPU int64) float64 {
	return fraction(milliCPU, w.entry.Capacity.MilliCPU) / effectUnit
}

// effectWeight returns the attempt's weight at full speed: 0 unless it is
// best-effort work.
func (a *attempt) effectWeight() float64 { return a.worker.effectWeight(a.bestEffortCPU) }

// presentWeight returns the attempt's weight at its present share.
func (a *attempt) presentWeight() float64 {
	return a.effectWeight() * float64(a.throttle) / fullSpeed
}

// learnable reports whether the attempt is a potential victim or aggressor.
func (a *attempt) learnable() bool {
	s := a.step()
	return s != nil && s.spec.Image != "" && (a.bestEffortCPU > 0 || s.spec.LatencyTargetMs > 0)
}

// learnStart reports to the learner that an attempt is on its worker.
func (m *Machine) learnStart(a *attempt) {
	if !a.learnable() {
		return
	}
	a.image = m.imageOf(a.step())
	if a.image == imageindex.Other {
		return
	}
	m.lastLearnID++
	image := a.step().spec.Image
	a.learnKey = model.TaskKey{Workload: image, Generation: m.lastLearnID}
	m.learner.TaskStarted(m.now, a.worker.learnID(), a.learnKey, image)
	// Serving tasks have no weight: if they were blamed for each other's tails,
	// they would take a part of the blame from the disturbing work.
	m.learner.TaskThrottled(m.now, a.worker.learnID(), a.learnKey, a.presentWeight())
}

// learnStop reports to the learner that an attempt is gone.
func (m *Machine) learnStop(a *attempt) {
	a.worker.recordBestEffortEnd(m.now, a)
	if a.learnKey.Generation != 0 {
		m.learner.TaskStopped(m.now, a.worker.learnID(), a.learnKey)
	}
}

// serving reports whether the attempt is serving users' requests and has a reading.
func (a *attempt) serving() bool {
	s := a.step()
	return s != nil && s.spec.LatencyTargetMs > 0 && a.phase == phaseRunning && a.percent >= 100 && a.reading > 0
}

// peer is a serving task of a step, with its reading and the slowdown that its
// neighbors are predicted to cause.
type peer struct {
	reading int64
	excess  float64
}

// baselineInterval is how long a baseline reading is cached. The underlying readings
// cover half a second, and are up to a second old. Otherwise every report of every
// worker would compute it again for each of the step's tasks there.
const baselineInterval = usualReadingInterval

// baselineReading returns the step's baseline reading, or 0 if it is unknown.
func (m *Machine) baselineReading(s *step) float64 {
	if s.baselineAt.IsZero() || m.now.Sub(s.baselineAt) >= baselineInterval {
		s.baseline, s.baselineAt = m.estimateBaseline(s), m.now
	}
	return s.baseline
}

// estimateBaseline estimates the tail latency in milliseconds that the step's tasks
// would have now without neighbors. The tasks share their load, so one value
// applies to all of them. It is taken from the readings of the tasks that are
// predicted to be disturbed least, and is 0 if there are too few readings.
//
// Taking the lowest readings would not work: if most of a step's tasks are
// disturbed, the step would look undisturbed and the work that disturbs it
// harmless. Predictions are only used to rank the tasks; dividing by them would
// amplify their errors.
func (m *Machine) estimateBaseline(s *step) float64 {
	peers := make([]peer, 0, len(s.tasks))
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.serving() && m.now.Sub(a.readAt) < maxReadingAge && !a.worker.isSlow() {
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

// predictedExcess returns the slowdown, above 1, that the best-effort work on its
// worker is predicted to cause for a serving attempt.
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

// effectCache caches the predicted effects between images. Placement reads them far
// more often than they change.
type effectCache struct {
	// effects is indexed by victim, then aggressor.
	effects     [][]interference.Estimate
	refreshedAt time.Time
}

// effectRefresh is the maximum age of cached effects.
const effectRefresh = 200 * time.Millisecond

// refreshEffects queries the learner again if the cached effects are too old or
// lack an image.
func (m *Machine) refreshEffects() {
	c, names := &m.effects, m.images.Names()
	if m.now.Sub(c.refreshedAt) < effectRefresh && len(c.effects) == len(names) {
		return
	}
	c.refreshedAt = m.now
	c.effects = make([][]interference.Estimate, len(names))
	for v, victim := range names {
		c.effects[v] = make([]interference.Estimate, len(names))
		for a, aggressor := range names {
			if v < len(m.victims) && m.victims[v] > 0 {
				c.effects[v][a] = m.learner.Predict(victim, aggressor, 0)
			}
		}
	}
}

// countVictim updates the counts of serving tasks by image, on the worker and in
// total.
func (m *Machine) countVictim(a *attempt, by int) {
	s := a.step()
	if s == nil || s.spec.LatencyTargetMs == 0 {
		return
	}
	image := m.imageOf(s)
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

// worstEffect predicts the worst slowdown, above 1, that best-effort work of the image
// with the given index and of the given processor use causes for the serving tasks of a
// worker.
func (m *Machine) worstEffect(w *worker, aggressor int, milliCPU int64) float64 {
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

// effect predicts the slowdown, above 1, that one effectUnit of best-effort work of an
// image causes for serving tasks of another, given their indexes.
func (m *Machine) effect(victim, aggressor int) interference.Estimate {
	m.refreshEffects()
	return m.effects.effects[victim][aggressor]
}
