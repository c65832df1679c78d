package interference

import (
	"math"
	"time"
)

// Effect is a lasting term of a Model, for another one to begin with.
type Effect struct {
	// Victim is empty for what the aggressor does whatever the victim.
	Victim    string  `json:"victim,omitempty"`
	Aggressor string  `json:"aggressor"`
	Mean      float64 `json:"mean"`
	Std       float64 `json:"std"`
}

// Export returns what was learned of classes and of pairs of them. Terms by
// load and workload, and loudness, are left out: they matter less, or are gone
// when they could be used.
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

// importStdFactor is by how much imported effects are less certain: it may be some
// time since they were learned.
const importStdFactor = 1.5

// Import begins with what another model knew.
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
