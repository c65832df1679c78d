package interference

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Observation is a measurement of a victim's slowdown on a worker. MeasuredAt may be
// long before the observation arrives. Class is the class of the victim.
type Observation struct {
	Worker     model.WorkerID
	Victim     model.TaskKey
	Class      string
	MeasuredAt time.Time
	// Slowdown is 1 for an undisturbed victim and 2 for one at half its speed.
	Slowdown float64
	// Load is the worker's load at MeasuredAt, between 0 and 1.
	Load float64
}

// Result is the result of an observation.
type Result uint8

// The results of Observe. Only Learned changes the model.
const (
	// Learned is the result for a measurement that the model has learned from.
	Learned Result = iota
	// NotNewer is the result for a measurement made no later than the victim's
	// latest one.
	NotNewer
	// TooOld is the result for a measurement from before the recorded residency.
	TooOld
	// NoAggressor is the result for a measurement without an aggressor on the
	// worker.
	NoAggressor
	// Malformed is the result for a slowdown that is not a positive finite number
	// or a time in the future.
	Malformed
)

// Observe learns from a measurement, which may arrive late. It attributes the
// slowdown to the tasks that were on the worker at o.MeasuredAt.
func (m *Model) Observe(now time.Time, o Observation) Result {
	if !(o.Slowdown > 0) || math.IsInf(o.Slowdown, 0) || o.MeasuredAt.After(now) {
		return Malformed
	}
	if !m.residency.recordIfNewer(o.Worker, o.Victim, o.MeasuredAt) {
		return NotNewer
	}
	residents, known := m.residency.At(o.Worker, o.MeasuredAt)
	if !known {
		return TooOld
	}
	aggressors := m.aggressors[:0]
	for _, p := range residents {
		if p.Key != o.Victim && p.Share > 0 {
			aggressors = append(aggressors, p)
		}
	}
	m.aggressors = aggressors
	if len(aggressors) == 0 {
		return NoAggressor
	}
	m.learn(now, o, aggressors)
	m.observeVariances(aggressors)
	m.version++
	return Learned
}

// contribution is a term that took part in a prediction, with its weight: the
// derivative of the predicted slowdown with respect to the term.
type contribution struct {
	term   *term
	weight float64
}

func (m *Model) learn(now time.Time, o Observation, aggressors []Resident) {
	excess := math.Max(0, o.Slowdown-1)
	predicted := 0.0
	parts := make([]contribution, 0, 5*len(aggressors))
	for _, a := range aggressors {
		persistent := m.persistentTerms(now, pairKey{o.Class, a.Class}, LoadBucket(o.Load), a.Key.Workload)
		effect := 0.0
		for _, t := range persistent {
			effect += t.mean
		}
		effect = math.Max(0, effect)
		intensity := 1.0
		if a.StillRunning {
			own := m.intensityOf(now, a)
			intensity = math.Max(0, 1+own.mean)
			parts = append(parts, contribution{own, a.Share * math.Max(effect, minEffect)})
		}
		predicted += a.Share * intensity * effect
		for _, t := range persistent {
			parts = addContribution(parts, t, a.Share*math.Max(intensity, minIntensity))
		}
	}
	m.correct(parts, excess, excess-predicted)
}

// The least effect and intensity that count in the weights of contributions. Effect
// and intensity are multiplied: if one of them were 0, the other would have weight 0
// and no observation could change it again.
const (
	minEffect    = 0.01
	minIntensity = 0.1
)

func (m *Model) correct(parts []contribution, excess, residual float64) {
	noise := m.options.NoiseStd + m.options.NoiseRatio*excess
	total := noise * noise
	for _, p := range parts {
		total += p.weight * p.weight * p.term.variance
	}
	for _, p := range parts {
		p.term.correct(residual, p.weight, total)
	}
}

func addContribution(parts []contribution, t *term, weight float64) []contribution {
	for i := range parts {
		if parts[i].term == t {
			parts[i].weight += weight
			return parts
		}
	}
	return append(parts, contribution{t, weight})
}

// persistentTerms returns the persistent terms of an effect, decayed to now. It adds
// terms that do not exist yet.
func (m *Model) persistentTerms(now time.Time, pair pairKey, bucket int, workload string) [4]*term {
	o := &m.options
	terms := [4]*term{
		getOrAddTerm(m.classes, pair.aggressor, now, o.PriorMean, o.ClassStd),
		getOrAddTerm(m.pairs, pair, now, 0, o.PairStd),
		getOrAddTerm(m.buckets, bucketKey{pair, bucket}, now, 0, o.BucketStd),
		getOrAddTerm(m.workloads, workload, now, 0, o.WorkloadStd),
	}
	for _, t := range terms {
		t.decay(now, o.Decay)
	}
	return terms
}

// intensityOf returns the term for the difference of a task's intensity from 1,
// decayed to now.
func (m *Model) intensityOf(now time.Time, a Resident) *term {
	variance := m.variances.of(a.Class, a.Key.Workload)
	t := getOrAddTerm(m.intensity, a.Key, now, 0, math.Sqrt(variance))
	t.priorVariance = variance
	t.decay(now, m.options.IntensityDecay)
	return t
}

// observeVariances learns the variance of intensities from the intensities of the
// aggressors.
func (m *Model) observeVariances(aggressors []Resident) {
	for _, a := range aggressors {
		if t, ok := m.intensity[a.Key]; ok {
			m.variances.observe(a.Class, a.Key, t)
		}
	}
}
