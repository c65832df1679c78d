package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/throttle"
)

const (
	// placementTailLimit is the fraction of the latency target that predicted tails
	// may reach when best-effort work is placed.
	placementTailLimit = 0.85
	// taskHeadroomPart and totalHeadroomPart are the fractions of the headroom
	// below that limit which one best-effort task, and all of them on a worker
	// together, may use. Most of the headroom is kept free because effects vary by
	// several times their size within seconds.
	taskHeadroomPart  = 0.12
	totalHeadroomPart = 0.4
	// throttledTailLimit is the fraction of the latency target that predicted tails
	// may reach when known disturbing work is throttled.
	throttledTailLimit = 0.7
	// minAddedSlowdown is the slowdown, above 1, below which an added effect cannot
	// be told from none.
	minAddedSlowdown = 0.01
	// unknownEffectStd is the standard deviation from which an effect counts as
	// unknown. A pair of images that was never observed is above it; a few readings
	// bring it below.
	unknownEffectStd = 0.5
	// defaultBaselinePart is the undisturbed tail, as a fraction of the target,
	// that is assumed for a step with too few readings.
	defaultBaselinePart = 0.5
	// maxTailAge is how long predicted tails are cached: a tenth of the time that
	// each of the underlying readings covers. A placement round needs them once for
	// each kind of waiting task.
	maxTailAge = 50 * time.Millisecond
)

// tail is the predicted tail latency of a worker's serving tasks of one image.
type tail struct {
	// image is the index of the image.
	image int
	// baseline is the highest undisturbed tail of these tasks, as a fraction of its
	// target.
	baseline float64
	// present is the slowdown, above 1, that all best-effort work on the worker
	// causes at its present shares.
	present float64
	// harmless is the part of present caused by work not known to disturb.
	// disturbing is the slowdown that the other work would cause at full speed.
	harmless, disturbing float64
}

// headroom returns the slowdown, above 1, that keeps the tail within the given
// fraction of its target.
func (t *tail) headroom(aim float64) float64 { return max(aim/t.baseline-1, 0) }

// tailCache caches the predicted tails of a worker.
type tailCache struct {
	tails []tail
	at    time.Time
	stale bool
}

// tails returns the predicted tails of the worker's serving tasks, one per image.
func (m *Machine) tails(w *worker) []tail {
	c := &w.tails
	if !c.stale && !c.at.IsZero() && m.now.Sub(c.at) < maxTailAge {
		return c.tails
	}
	c.at, c.stale = m.now, false
	c.tails = m.predictTails(w, c.tails[:0])
	return c.tails
}

// predictTails appends the predicted tails of the worker's serving tasks to tails.
func (m *Machine) predictTails(w *worker, tails []tail) []tail {
	for image, count := range w.victims {
		if count > 0 {
			tails = append(tails, tail{image: image})
		}
	}
	aggressors := m.aggressors[:0]
	for _, a := range w.attempts.All() {
		switch s := a.step(); {
		case s == nil:
		case a.bestEffortCPU > 0:
			aggressors = append(aggressors, a)
		case s.spec.LatencyTargetMs > 0:
			m.addBaseline(tails, s)
		}
	}
	m.aggressors = aggressors
	for _, a := range aggressors {
		m.addEffects(tails, a)
	}
	return tails
}

// addBaseline adds a serving task of the step to the tail of its image.
func (m *Machine) addBaseline(tails []tail, s *step) {
	image := m.imageOf(s)
	for i := range tails {
		if tails[i].image == image {
			tails[i].baseline = max(tails[i].baseline, m.baselinePart(s))
		}
	}
}

// addEffects adds the effects of a best-effort attempt to the tails.
func (m *Machine) addEffects(tails []tail, a *attempt) {
	image, disturbs := m.imageOf(a.step()), m.disturbs(a)
	for i := range tails {
		t := &tails[i]
		effect := m.effect(t.image, image).Mean
		present := effect * a.presentWeight()
		t.present += present
		if disturbs {
			t.disturbing += effect * a.effectWeight()
		} else {
			t.harmless += present
		}
	}
}

// baselinePart returns the undisturbed tail of a step's tasks, as a fraction of
// their target.
func (m *Machine) baselinePart(s *step) float64 {
	if calm := m.baselineReading(s); calm > 0 {
		return calm / float64(s.spec.LatencyTargetMs)
	}
	return defaultBaselinePart
}

// withinHeadroom reports whether the serving tasks on a worker have the headroom
// for one more best-effort task of the image with the given index and of the given processor use. The effect of
// a single task is small compared to the target; it is the sum of the effects that
// takes tails over it, and at peak load sooner than at other times.
func (m *Machine) withinHeadroom(w *worker, aggressor int, milliCPU int64) bool {
	weight := w.effectWeight(milliCPU)
	for _, t := range m.tails(w) {
		effect := m.effect(t.image, aggressor)
		added := effect.Mean * weight
		if added >= minAddedSlowdown && (added > t.maxAddedSlowdown(effect) || t.present+added > totalHeadroomPart*t.headroom(placementTailLimit)) {
			return false
		}
	}
	return true
}

// maxAddedSlowdown returns the slowdown, above 1, that one task may add to the
// tail. A pair of images about which nothing is known may be tried under any load:
// where tails are never far below their target, nothing would be learned about it
// and work of that image would wait forever.
func (t *tail) maxAddedSlowdown(effect interference.Estimate) float64 {
	if effect.Std >= unknownEffectStd {
		return harmfulEffect
	}
	return taskHeadroomPart * t.headroom(placementTailLimit)
}

// allowedShare returns the share, in percent, at which the known disturbing
// best-effort work on a worker may run so that no tail is predicted above its
// limit. If such work were raised to full speed until a tail exceeds its target,
// the tail would exceed it repeatedly, because readings are half a second late.
func (m *Machine) allowedShare(w *worker) int {
	share := 1.0
	for _, t := range m.tails(w) {
		if t.disturbing > 0 {
			share = min(share, (t.headroom(throttledTailLimit)-t.harmless)/t.disturbing)
		}
	}
	if percent := int(share * fullSpeed); percent >= throttle.Floor {
		return percent
	}
	return 0
}
