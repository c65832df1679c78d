package interference

import (
	"math"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// NumLoadBuckets is how many ranges of load are told apart.
const NumLoadBuckets = 4

// LoadBucket returns the bucket of a load between 0 (idle) and 1 (full).
func LoadBucket(load float64) int {
	bucket := int(load * NumLoadBuckets)
	return min(max(bucket, 0), NumLoadBuckets-1)
}

// Estimate is a predicted effect: the slowdown above 1 that one undisturbed
// aggressor adds to a victim, and the standard deviation of that prediction.
type Estimate struct {
	Mean, Std float64
}

// Upper returns the mean plus z standard deviations, never below 0.
func (e Estimate) Upper(z float64) float64 {
	return math.Max(0, e.Mean+z*e.Std)
}

type pairKey struct {
	victim, aggressor string
}

type bucketKey struct {
	pairKey
	bucket int
}

// Observation is one measurement of a victim's slowdown, made on a worker at
// MeasuredAt, which may be well in the past.
type Observation struct {
	Worker     model.WorkerID
	Victim     model.TaskKey
	Class      string
	MeasuredAt time.Time
	// Slowdown is 1 for an undisturbed victim, 2 for one at half its speed.
	Slowdown float64
	// Load is the worker's load at MeasuredAt, between 0 and 1.
	Load float64
}

// Result says what became of an observation.
type Result uint8

// The results of Observe. All but Learned leave the model as it was.
const (
	Learned Result = iota
	// NotNewer is one at or before the victim's latest.
	NotNewer
	// TooOld is one older than the residency that is remembered.
	TooOld
	// NoAggressor is one with no aggressor present, so there is nothing to learn.
	NoAggressor
	// Malformed is a slowdown or time that cannot be.
	Malformed
)

// Model is the slowdown learner.
type Model struct {
	options   Options
	residency *Residency
	classes   map[string]*term
	pairs     map[pairKey]*term
	buckets   map[bucketKey]*term
	workloads map[string]*term
	intensity map[model.TaskKey]*term
	variances *variances
	version   uint64
}

// New returns a model that knows only its prior.
func New(o Options) *Model {
	return &Model{
		options:   o,
		residency: NewResidency(o.Retain),
		classes:   make(map[string]*term),
		pairs:     make(map[pairKey]*term),
		buckets:   make(map[bucketKey]*term),
		workloads: make(map[string]*term),
		intensity: make(map[model.TaskKey]*term),
		variances: newVariances(o.IntensityStd),
	}
}

// TaskStarted records that a task is on a worker from now on, unthrottled.
func (m *Model) TaskStarted(now time.Time, w model.WorkerID, key model.TaskKey, class string) {
	m.residency.TaskStarted(now, w, key, class)
}

// TaskThrottled records the share of its effect that counts from now on, as a Presence
// has it.
func (m *Model) TaskThrottled(now time.Time, w model.WorkerID, key model.TaskKey, share float64) {
	m.residency.TaskThrottled(now, w, key, share)
}

// TaskStopped records that a task is no longer on a worker.
func (m *Model) TaskStopped(now time.Time, w model.WorkerID, key model.TaskKey) {
	m.residency.TaskStopped(now, w, key)
	delete(m.intensity, key)
}

// DropWorker forgets who was on a worker that is gone.
func (m *Model) DropWorker(w model.WorkerID) { m.residency.DropWorker(w) }

// ForgetWorkload drops what was learned of a workload that is retired. What
// its class learned from it stays.
func (m *Model) ForgetWorkload(workload string) {
	delete(m.workloads, workload)
	delete(m.variances.workloads, workload)
}

// Version grows with every observation that was learned, so that callers can
// keep predictions.
func (m *Model) Version() uint64 { return m.version }

// Observe learns from one late measurement. The slowdown is charged to the
// tasks that were on the worker at o.MeasuredAt.
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
	aggressors := slices.DeleteFunc(residents, func(p Resident) bool {
		return p.Key == o.Victim || p.Share <= 0
	})
	if len(aggressors) == 0 {
		return NoAggressor
	}
	m.learn(now, o, aggressors)
	m.observeVariances(aggressors)
	m.version++
	return Learned
}

// contribution is a term with the weight at which it entered an observation: the
// derivative of the predicted slowdown by the term.
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

// A term whose partner is at zero would have weight zero and never move again.
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

// persistentTerms returns the terms of an effect that outlive the task, made if need
// be and aged to now.
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

// intensityOf returns by how much a task's loudness differs from 1.
func (m *Model) intensityOf(now time.Time, a Resident) *term {
	variance := m.variances.of(a.Class, a.Key.Workload)
	t := getOrAddTerm(m.intensity, a.Key, now, 0, math.Sqrt(variance))
	t.priorVariance = variance
	t.decay(now, m.options.IntensityDecay)
	return t
}

// observeVariances learns from the tasks' loudness how much loudness varies.
func (m *Model) observeVariances(aggressors []Resident) {
	for _, a := range aggressors {
		if t, ok := m.intensity[a.Key]; ok {
			m.variances.observe(a.Class, a.Key, t)
		}
	}
}

func getOrAddTerm[K comparable](terms map[K]*term, key K, now time.Time, mean, std float64) *term {
	t, ok := terms[key]
	if !ok {
		t = newTerm(now, mean, std)
		terms[key] = t
	}
	return t
}

// Predict returns the effect of one undisturbed aggressor on a victim at a
// load. Either may be a service or batch; classes never seen get the prior.
// The means are as of the latest observation of each term.
func (m *Model) Predict(victimClass, aggressorClass string, load float64) Estimate {
	mean, variance := m.predictPair(victimClass, aggressorClass, load)
	variance += m.options.WorkloadStd * m.options.WorkloadStd
	return estimate(mean, variance, 1, m.variances.of(aggressorClass, ""))
}

// PredictWorkload is Predict for an aggressor whose workload is known.
func (m *Model) PredictWorkload(victimClass, aggressorClass, workload string, load float64) Estimate {
	mean, variance := m.predictWorkload(victimClass, aggressorClass, workload, load)
	return estimate(mean, variance, 1, m.variances.of(aggressorClass, workload))
}

// PredictTask is Predict for a task that runs now, at full speed.
func (m *Model) PredictTask(victimClass, aggressorClass string, aggressor model.TaskKey, load float64) Estimate {
	t, ok := m.intensity[aggressor]
	if !ok {
		return m.PredictWorkload(victimClass, aggressorClass, aggressor.Workload, load)
	}
	mean, variance := m.predictWorkload(victimClass, aggressorClass, aggressor.Workload, load)
	return estimate(mean, variance, 1+t.mean, t.variance)
}

func (m *Model) predictWorkload(victimClass, aggressorClass, workload string, load float64) (mean, variance float64) {
	mean, variance = m.predictPair(victimClass, aggressorClass, load)
	ownMean, ownVariance := termOrPrior(m.workloads, workload, 0, m.options.WorkloadStd)
	return mean + ownMean, variance + ownVariance
}

func (m *Model) predictPair(victimClass, aggressorClass string, load float64) (mean, variance float64) {
	o := &m.options
	pair := pairKey{victimClass, aggressorClass}
	mean, variance = termOrPrior(m.classes, aggressorClass, o.PriorMean, o.ClassStd)
	pairMean, pairVariance := termOrPrior(m.pairs, pair, 0, o.PairStd)
	bucketMean, bucketVariance := termOrPrior(m.buckets, bucketKey{pair, LoadBucket(load)}, 0, o.BucketStd)
	return mean + pairMean + bucketMean, variance + pairVariance + bucketVariance
}

// estimate returns the product of an effect and a loudness.
func estimate(mean, variance, intensity, intensityVariance float64) Estimate {
	mean = math.Max(0, mean)
	intensity = math.Max(0, intensity)
	variance = variance*intensity*intensity + mean*mean*intensityVariance
	return Estimate{Mean: mean * intensity, Std: math.Sqrt(variance)}
}

func termOrPrior[K comparable](terms map[K]*term, key K, mean, std float64) (float64, float64) {
	t, ok := terms[key]
	if !ok {
		return mean, std * std
	}
	return t.mean, t.variance
}
