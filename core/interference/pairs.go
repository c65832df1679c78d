package interference

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// PairsOptions sets a Pairs. Effects are the slowdown above 1 that one
// undisturbed aggressor adds.
type PairsOptions struct {
	// PriorMean and PriorStd are of a pair that was never seen.
	PriorMean, PriorStd float64
	// NoiseStd is the standard deviation of one measurement of an undisturbed
	// victim; NoiseRatio is added per unit of slowdown above 1.
	NoiseStd, NoiseRatio float64
	// MostExcess bounds the slowdown above 1 that is learned from: tails
	// explode, and one of them must not outweigh all else.
	MostExcess float64
	// Drift is the time in which the uncertainty of an effect that is not
	// observed returns to that of the prior.
	Drift time.Duration
	// Retain is how long residency is remembered.
	Retain time.Duration
}

// Pairs learns which class of aggressor slows down which class of victim where
// many share a worker. It keeps, for each class of victim, the full covariance
// of its effects: with ten neighbours of nine classes it takes that to tell the
// one that disturbs from the eight that were near it. The cost of a measurement
// grows with the square of the classes, so it is for tens of them; Model is for
// hundreds.
type Pairs struct {
	options   PairsOptions
	residency *Residency
	index     map[string]int
	classes   []string
	victims   map[string]*victimEffects
}

// victimEffects are the effects on one class of victims. Rows and columns are
// by the number of the aggressor's class.
type victimEffects struct {
	mean       []float64
	covariance [][]float64
	at         time.Time
}

// NewPairs returns a learner that knows only its prior.
func NewPairs(o PairsOptions) *Pairs {
	return &Pairs{
		options: o, residency: NewResidency(o.Retain), index: make(map[string]int),
		victims: make(map[string]*victimEffects),
	}
}

// Started records that a task is on a worker from now on, unthrottled.
func (p *Pairs) Started(now time.Time, w model.WorkerID, key model.TaskKey, class string) {
	p.residency.Started(now, w, key, class)
}

// Throttled records the share of its speed, from 0 to 1, that a task has from
// now on.
func (p *Pairs) Throttled(now time.Time, w model.WorkerID, key model.TaskKey, share float64) {
	p.residency.Throttled(now, w, key, share)
}

// Stopped records that a task is no longer on a worker.
func (p *Pairs) Stopped(now time.Time, w model.WorkerID, key model.TaskKey) {
	p.residency.Stopped(now, w, key)
}

// DropWorker forgets who was on a worker that is gone.
func (p *Pairs) DropWorker(w model.WorkerID) { p.residency.Drop(w) }

// Observe learns from one late measurement of a victim. aggressive says which
// classes can be aggressors; others on the worker are passed over.
func (p *Pairs) Observe(now time.Time, o Observation, aggressive func(class string) bool) Result {
	if !(o.Slowdown > 0) || math.IsInf(o.Slowdown, 0) || o.MeasuredAt.After(now) {
		return Malformed
	}
	residents, known := p.residency.At(o.Worker, o.MeasuredAt)
	if !known {
		return BeforeMemory
	}
	amounts := make(map[int]float64)
	for _, r := range residents {
		if r.Key != o.Victim && r.Share > 0 && aggressive(r.Class) {
			amounts[p.classIndex(r.Class)] += r.Share
		}
	}
	amounts[p.classIndex(noClass)] = 1
	v := p.victim(now, o.Class)
	v.age(now, &p.options)
	v.correct(amounts, min(max(o.Slowdown-1, 0), p.options.MostExcess), &p.options)
	return Learned
}

// noClass stands for what slows a victim down that is no neighbour's doing, and
// for a constant error of what the measurements are compared with. Without it
// all neighbours would be blamed a little for either.
const noClass = ""

// Predict returns the effect of one undisturbed aggressor on a victim.
func (p *Pairs) Predict(victim, aggressor string) Estimate {
	v := p.victims[victim]
	i, ok := p.index[aggressor]
	if v == nil || !ok || i >= len(v.mean) {
		return Estimate{Mean: p.options.PriorMean, Std: p.options.PriorStd}
	}
	return Estimate{Mean: v.mean[i], Std: math.Sqrt(v.covariance[i][i])}
}

// PairEffect is what is known of one pair.
type PairEffect struct {
	Victim    string  `json:"victim"`
	Aggressor string  `json:"aggressor"`
	Mean      float64 `json:"mean"`
	Std       float64 `json:"std"`
}

// Export returns what was learned, without the covariances between effects.
func (p *Pairs) Export() []PairEffect {
	var effects []PairEffect
	for victim, v := range p.victims {
		for i := range v.mean {
			effects = append(effects, PairEffect{
				Victim: victim, Aggressor: p.classes[i], Mean: v.mean[i], Std: math.Sqrt(v.covariance[i][i]),
			})
		}
	}
	return effects
}

// Import takes over what another learner knew. Uncertainty is raised a little:
// it may be some time since.
func (p *Pairs) Import(now time.Time, effects []PairEffect) {
	for _, e := range effects {
		i := p.classIndex(e.Aggressor)
		v := p.victim(now, e.Victim)
		v.grow(i+1, &p.options)
		v.mean[i] = e.Mean
		std := min(e.Std*importDoubt, p.options.PriorStd)
		v.covariance[i][i] = std * std
	}
}

// importDoubt is by how much imported effects are less certain.
const importDoubt = 1.5

func (p *Pairs) classIndex(class string) int {
	if i, ok := p.index[class]; ok {
		return i
	}
	i := len(p.classes)
	p.index[class] = i
	p.classes = append(p.classes, class)
	return i
}

func (p *Pairs) victim(now time.Time, class string) *victimEffects {
	v := p.victims[class]
	if v == nil {
		v = &victimEffects{at: now}
		p.victims[class] = v
	}
	v.grow(len(p.classes), &p.options)
	return v
}

// grow adds classes of aggressors at their prior.
func (v *victimEffects) grow(classes int, o *PairsOptions) {
	for len(v.mean) < classes {
		v.mean = append(v.mean, o.PriorMean)
		for i := range v.covariance {
			v.covariance[i] = append(v.covariance[i], 0)
		}
		row := make([]float64, len(v.mean))
		row[len(row)-1] = o.PriorStd * o.PriorStd
		v.covariance = append(v.covariance, row)
	}
}

// age raises uncertainty towards the prior's, so that an effect that changes is
// learned anew.
func (v *victimEffects) age(now time.Time, o *PairsOptions) {
	passed := now.Sub(v.at)
	if passed <= 0 {
		return
	}
	v.at = now
	prior := o.PriorStd * o.PriorStd
	gain := prior * float64(passed) / float64(o.Drift)
	for i := range v.covariance {
		v.covariance[i][i] = min(v.covariance[i][i]+gain, prior)
	}
}

// correct is the step of a Kalman filter for one measurement. Effects are never
// negative: no neighbour makes a victim faster.
func (v *victimEffects) correct(amounts map[int]float64, excess float64, o *PairsOptions) {
	n := len(v.mean)
	gain := make([]float64, n)
	predicted := 0.0
	noise := o.NoiseStd + o.NoiseRatio*excess
	total := noise * noise
	for i, amount := range amounts {
		predicted += amount * v.mean[i]
		for j := range n {
			gain[j] += v.covariance[j][i] * amount
		}
	}
	for i, amount := range amounts {
		total += amount * gain[i]
	}
	surprise := excess - min(predicted, o.MostExcess)
	for j := range n {
		v.mean[j] = max(v.mean[j]+gain[j]/total*surprise, 0)
	}
	for i := range n {
		for j := range n {
			v.covariance[i][j] -= gain[i] * gain[j] / total
		}
	}
}
