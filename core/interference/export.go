package interference

import (
	"math"
	"time"
)

// Effect is a persistent term of a Model in the form in which it is transferred to
// another Model.
type Effect struct {
	// Victim is the class of the victim; empty for the aggressor's effect on any
	// victim.
	Victim    string  `json:"victim,omitempty"`
	Aggressor string  `json:"aggressor"`
	Mean      float64 `json:"mean"`
	Std       float64 `json:"std"`
}

// Export returns the terms of classes and of pairs of classes. It omits the terms
// of load buckets and workloads, which matter less, and intensities, which are out
// of date before they could be used.
func (m *Model) Export() []Effect {
	effects := make([]Effect, 0, len(m.classes)+len(m.pairs))
	for class, t := range m.classes {
		effects = append(effects, Effect{Aggressor: class, Mean: t.mean, Std: math.Sqrt(t.variance)})
	}
	for pair, t := range m.pairs {
		effects = append(effects, Effect{
			Victim: pair.victim, Aggressor: pair.aggressor, Mean: t.mean, Std: math.Sqrt(t.variance),
		})
	}
	return effects
}

// importStdFactor multiplies the standard deviations of imported effects, because
// they may have been learned some time ago.
const importStdFactor = 1.5

// Import sets the terms to effects exported from another model. Their standard
// deviations are increased, up to those of the priors.
func (m *Model) Import(now time.Time, effects []Effect) {
	for _, e := range effects {
		var t *term
		if e.Victim == "" {
			t = getOrAddTerm(m.classes, e.Aggressor, now, m.options.PriorMean, m.options.ClassStd)
		} else {
			t = getOrAddTerm(m.pairs, pairKey{e.Victim, e.Aggressor}, now, 0, m.options.PairStd)
		}
		t.mean = e.Mean
		t.variance = min(e.Std*e.Std*importStdFactor*importStdFactor, t.priorVariance)
	}
	m.version++
}
