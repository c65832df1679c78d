package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/interference"
)

const (
	// placementTailLimit is the part of a latency target up to which tails are predicted when
	// best-effort work is placed.
	placementTailLimit = 0.85
	// taskHeadroomPart and sumPart are the parts of the headroom up to that which one
	// best-effort task, and all on the worker together, may use. Effects vary by
	// several times their size within seconds, so that most of it is kept.
	taskHeadroomPart  = 0.12
	totalHeadroomPart = 0.4
	// throttledTailLimit is the part of a latency target that work which is known to disturb
	// is slowed for.
	throttledTailLimit = 0.7
	// minAddedSlowdown is the slowdown, above 1, below which a task adds nothing that could
	// be told from none.
	minAddedSlowdown = 0.01
	// unknownEffectStd is the standard deviation from which on an effect counts as unknown:
	// that of a pair which was never seen is above it, a few readings bring it below.
	unknownEffectStd = 0.5
	// defaultBaselinePart is the undisturbed tail, as a part of the target, that is assumed
	// of a step with too few readings.
	defaultBaselinePart = 0.5
	// maxTailAge is how old predicted tails may be: a tenth of the time that each of
	// the readings behind them covers. A round of placement asks for them once for
	// each kind of task that waits.
	maxTailAge = baselineInterval
)

// tail is what is predicted of a worker's serving tasks of one image.
type tail struct {
	// image is the number of their image.
	image int
	// baseline is the highest of their tails without neighbours, as a part of its target.
	baseline float64
	// present is the slowdown, above 1, that all best-effort work on the worker
	// brings at its present shares.
	present float64
	// harmless is the part of present that is of work not known to disturb;
	// disturbing is what the rest would bring at full speed.
	harmless, disturbing float64
}

// headroom returns how much slowdown, above 1, the tail bears up to an aim.
func (t *tail) headroom(aim float64) float64 { return max(aim/t.baseline-1, 0) }

// tailCache holds the predicted tails of a worker.
type tailCache struct {
	tails []tail
	at    time.Time
	stale bool
}

// tails predicts the tails of the worker's serving tasks, image by image.
func (m *Machine) tails(w *worker) []tail {
	c := &w.tails
	if !c.stale && !c.at.IsZero() && m.now.Sub(c.at) < maxTailAge {
		return c.tails
	}
	c.at, c.stale = m.now, false
	c.tails = c.tails[:0]
	for image, count := range w.victims {
		if count > 0 {
			c.tails = append(c.tails, m.predictTail(w, image))
		}
	}
	return c.tails
}

// predictTail predicts the tail of the worker's serving tasks of one image.
func (m *Machine) predictTail(w *worker, image int) tail {
	t := tail{image: image}
	for _, a := range w.attempts.All() {
		switch s := a.step(); {
		case s == nil:
		case a.bestEffortCPU > 0:
			m.addEffect(&t, a)
		case s.spec.LatencyTargetMs > 0 && m.effects.imageIndex(s.spec.Image) == image:
			t.baseline = max(t.baseline, m.baselinePart(s))
		}
	}
	return t
}

// addEffect adds what a best-effort attempt does to a tail.
func (m *Machine) addEffect(t *tail, a *attempt) {
	effect := m.effect(t.image, a.step().spec.Image).Mean
	present := effect * a.presentWeight()
	t.present += present
	if m.disturbs(a) {
		t.disturbing += effect * a.effectWeight()
	} else {
		t.harmless += present
	}
}

// baselinePart returns the undisturbed tail of a step's tasks, as a part of their target.
func (m *Machine) baselinePart(s *step) float64 {
	if calm := m.baselineReading(s); calm > 0 {
		return calm / float64(s.spec.LatencyTargetMs)
	}
	return defaultBaselinePart
}

// withinHeadroom reports whether the tails on a worker have the headroom for one more
// best-effort task of an image that uses so much of the processors. What each task
// adds is small beside the target; it is the sum that brings tails over it, and at
// the peak of their load sooner than at other times.
func (m *Machine) withinHeadroom(w *worker, aggressor string, milliCPU int64) bool {
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

// maxAddedSlowdown returns the slowdown, above 1, that one task may add to the tail. A pair
// of images of which nothing is known may be tried whatever the load: where tails
// are never far below their target nothing would become known of it, and work of
// that image would wait for ever.
func (t *tail) maxAddedSlowdown(effect interference.Estimate) float64 {
	if effect.Std >= unknownEffectStd {
		return harmfulEffect
	}
	return taskHeadroomPart * t.headroom(placementTailLimit)
}

// allowedShare returns the share, in percent, at which the best-effort work on a
// worker that is known to disturb may run so that no tail there is predicted above
// its aim. Let up to full speed until a tail is over, it would be over again and
// again, since readings tell of it half a second late.
func (m *Machine) allowedShare(w *worker) int {
	share := 1.0
	for _, t := range m.tails(w) {
		if t.disturbing > 0 {
			share = min(share, (t.headroom(throttledTailLimit)-t.harmless)/t.disturbing)
		}
	}
	if percent := int(share * fullSpeed); percent >= throttleFloor {
		return percent
	}
	return 0
}
