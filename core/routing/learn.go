package routing

import (
	"math"
	"time"
)

// silenceDeviations is how many mean deviations above the mean an exchange
// may last before it counts as silent.
const silenceDeviations = 8

// overdueDeviations is the same for being overdue.
const overdueDeviations = 5

const (
	// overdueGain is the weight of one exchange in overdueRate, and manyOverdue
	// the rate from which connections to all targets are doubted.
	overdueGain = 1.0 / 32
	manyOverdue = 0.15
	// patienceGrowth and patienceDecay balance where one exchange in about
	// five hundred is given up without need.
	patienceGrowth = 1.1
	patienceDecay  = 1.0 / 5000
	maxPatience    = 8.0
	// patienceSpacing makes one of the silences that come together: when many
	// connections die at once, the answers have not become slower.
	patienceSpacing = 100 * time.Millisecond
)

// longest returns how long an exchange with t may last to stay within the given
// number of deviations of the mean.
func (b *Balancer) longest(t *target, deviations float64) time.Duration {
	if b.mean == 0 {
		return b.o.MaxSilence
	}
	ns := (b.mean + deviations*b.deviation) * b.patience
	if t.fast > b.mean {
		ns *= t.fast / b.mean
	}
	if ns > float64(b.o.MaxSilence) {
		return b.o.MaxSilence
	}
	return time.Duration(ns)
}

// done gives a slot back and learns from how the exchange ended.
func (b *Balancer) done(c *Choice, now time.Time, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := c.t
	if t == nil {
		return
	}
	b.settle(now)
	if r.Outcome == Silent && c.released {
		r.Outcome = Canceled // Overdue has told it already.
	}
	b.release(c, now, r.Outcome == Silent)
	if c.limbo != nil && (r.Outcome == OK || r.Outcome == Failed) {
		b.endLimbo(c.limbo)
	}
	if !t.gone && !t.Leaving {
		b.learn(c, now, r)
	}
	b.tiers.place(t)
	c.t = nil
	b.unused = append(b.unused, c)
}

func (b *Balancer) learn(c *Choice, now time.Time, r Result) {
	switch r.Outcome {
	case OK:
		b.answered(c, now, float64(r.Latency))
	case Failed:
		b.failed(c.t, now)
	case Refused:
		b.refused(c.t, now)
	case Silent:
		b.silent(c, now)
	}
}

// answered learns from a whole answer.
func (b *Balancer) answered(c *Choice, now time.Time, ns float64) {
	t := c.t
	b.learnSpread(ns)
	b.overdueRate -= overdueGain * b.overdueRate
	b.patience = max(1, b.patience*(1-patienceDecay))
	b.tiers.learn(t.class, ns)
	b.countFailure(t, 0)
	t.failed = 0
	t.answeredAt = now
	t.silentAt = time.Time{}
	t.learnLatency(ns)
	t.group.answered()
	t.grow()
	switch {
	case t.state == Healthy:
		b.judge(t, now)
	case t.state == Suspect:
		b.recover(t)
	default:
		b.recovering(t, now, ns)
	}
}

func (b *Balancer) learnSpread(ns float64) {
	if b.mean == 0 {
		b.mean, b.deviation = ns, ns/2
		return
	}
	b.deviation += slowGain * (math.Abs(ns-b.mean) - b.deviation)
	b.mean += slowGain * (ns - b.mean)
}

// judge compares a healthy target with its peers.
func (b *Balancer) judge(t *target, now time.Time) {
	switch {
	case t.ratio(t.group.reference) > b.o.EjectRatio:
		b.rest(t, now)
	case t.ratio(b.referenceFor(t)) > b.o.SlowRatio:
		b.setState(t, Slow)
		t.recovered = 0
		b.probes.schedule(t, now.Add(b.restFor(t)))
	}
}

// referenceFor returns what t's latency is compared with: its group's, or
// that of the quickest group when t has no peers in its own.
func (b *Balancer) referenceFor(t *target) float64 {
	if t.group.reference > 0 {
		return t.group.reference
	}
	best := 0.0
	for _, g := range b.groups {
		if g.reference > 0 && (best == 0 || g.reference < best) {
			best = g.reference
		}
	}
	return best
}

// recovering counts the good answers of a target that is slow or resting, and
// lets it back after a few in a row.
func (b *Balancer) recovering(t *target, now time.Time, ns float64) {
	reference := b.referenceFor(t)
	if reference > 0 && ns > b.goodRatio(t)*reference {
		t.recovered = 0
		t.lengthenRest()
		b.probes.schedule(t, now.Add(b.restFor(t)))
		if t.state == Slow && t.ratio(t.group.reference) > b.o.EjectRatio {
			b.rest(t, now)
		}
		return
	}
	t.recovered++
	if t.state == Ejected && t.recovered >= recoveryAnswers && reference > 0 && ns > goodAnswerRatio*reference {
		b.backToSlow(t, now, reference)
		return
	}
	if t.recovered >= recoveryAnswers {
		b.recover(t)
		return
	}
	b.probes.schedule(t, now)
}

// goodRatio is how many times its peers' latency an answer may take and still
// speak for the target.
func (b *Balancer) goodRatio(t *target) float64 {
	if t.state == Ejected {
		return b.o.EjectRatio
	}
	return goodAnswerRatio
}

// backToSlow ends the rest of a target that is merely slow.
func (b *Balancer) backToSlow(t *target, now time.Time, reference float64) {
	b.setState(t, Slow)
	t.recovered = 0
	t.allowance, t.answers = 1, 0
	t.fast = goodAnswerRatio * reference
	b.probes.schedule(t, now.Add(b.restFor(t)))
}

// recover makes a target healthy. It starts with one request at a time, and
// its average starts from its peers': what it was before is no longer so.
func (b *Balancer) recover(t *target) {
	wasSuspect := t.state == Suspect
	b.setState(t, Healthy)
	b.probes.remove(t)
	t.recovered = 0
	t.failures = 0
	if wasSuspect {
		return
	}
	t.doublings = max(t.doublings-1, 0)
	t.allowance, t.answers = 1, 0
	if reference := b.referenceFor(t); reference > 0 {
		t.fast = reference
	}
}

// rest takes a target out of use, or makes it a last resort when too many
// rest already: when most look bad, what is seen says more of the entry's own
// view than of the targets, and leaving them all would serve nobody.
func (b *Balancer) rest(t *target, now time.Time) {
	b.setState(t, Ejected)
	t.recovered = 0
	t.lastResort = float64(b.resting) > b.o.MaxEjected*float64(b.listed)
	b.probes.schedule(t, now.Add(b.restFor(t)))
	t.lengthenRest()
}

// failed learns from an error of the target's own.
func (b *Balancer) failed(t *target, now time.Time) {
	peers := b.failures
	b.countFailure(t, 1)
	t.failed++
	t.recovered = 0
	if rests(t.state) {
		t.lengthenRest()
		b.probes.schedule(t, now.Add(b.restFor(t)))
		return
	}
	// A target that fails no more often than all do is not to blame.
	if t.failed >= failuresToRest && t.failures > 2*peers {
		b.rest(t, now)
	}
}

// refused rests a target at once: it takes nothing now, and the request goes
// elsewhere at no cost.
func (b *Balancer) refused(t *target, now time.Time) {
	t.recovered = 0
	if rests(t.state) {
		t.lengthenRest()
		b.probes.schedule(t, now.Add(b.restFor(t)))
		return
	}
	b.rest(t, now)
}

// overdue is told of an exchange that is unanswered for long but not over.
func (b *Balancer) overdue(c *Choice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	if c.t == nil || c.released {
		return
	}
	if !c.overdue {
		c.overdue = true
		b.doubt(c)
	}
	if now.Sub(c.started) < c.silenceAfter {
		return
	}
	if !c.t.gone && !c.t.Leaving {
		b.silent(c, now)
	}
	b.release(c, now, true)
	b.tiers.place(c.t)
}

// doubt stops the use of connections that may have gone silent with the
// overdue one: the loss happened before its answer was due, so that those
// which carried an answer later are proven. When many exchanges are overdue at
// once, something between has lost track of more than this target's.
func (b *Balancer) doubt(c *Choice) {
	due := c.started.Add(time.Duration(b.mean))
	if due.After(c.t.trustSince) {
		c.t.trustSince = due
	}
	b.overdueRate += overdueGain * (1 - b.overdueRate)
	if b.overdueRate > manyOverdue && due.After(b.trustSince) {
		b.trustSince = due
	}
}

// morePatience makes exchanges wait longer before they count as silent.
func (b *Balancer) morePatience(now time.Time) {
	if now.Sub(b.patientAt) < patienceSpacing {
		return
	}
	b.patientAt = now
	b.patience = min(b.patience*patienceGrowth, maxPatience)
}

// silent learns that no answer came. A target that answered others after this
// answer was due is well: the connection is at fault. Else the target becomes
// suspect, and the next request proves it over a new connection. A second
// silence, of an exchange that began after the first was known, blames the
// target.
func (b *Balancer) silent(c *Choice, now time.Time) {
	b.morePatience(now)
	t := c.t
	if t.answeredAt.After(c.started.Add(time.Duration(b.mean))) {
		return
	}
	t.recovered = 0
	again := !t.silentAt.IsZero() && !c.started.Before(t.silentAt)
	if !again {
		t.silentAt = now
		if !rests(t.state) {
			b.setState(t, Suspect)
			b.probes.schedule(t, now.Add(-suspectHeadStart))
		}
		return
	}
	t.silentAt = now
	b.rest(t, now)
}

// countFailure takes an outcome, 1 for a failure, into the rates of the target
// and of all.
func (b *Balancer) countFailure(t *target, v float64) {
	t.failures += failureGain * (v - t.failures)
	b.failures += slowGain * (v - b.failures)
}
