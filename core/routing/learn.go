package routing

import (
	"math"
	"time"
)

// silenceDeviations is how many mean deviations above the mean latency an
// exchange may last before it counts as silent.
const silenceDeviations = 8

// overdueDeviations is how many mean deviations above the mean latency an
// exchange may last before it counts as overdue.
const overdueDeviations = 5

const (
	// overdueGain is the weight of one exchange in overdueRate, and
	// manyOverdueRate the rate above which the connections to all targets
	// become untrusted.
	overdueGain     = 1.0 / 32
	manyOverdueRate = 0.15
	// silenceFactorGrowth and silenceFactorDecay are in balance when about one
	// exchange in five hundred is abandoned although its response would have
	// come.
	silenceFactorGrowth = 1.1
	silenceFactorDecay  = 1.0 / 5000
	maxSilenceFactor    = 8.0
	// silenceFactorSpacing makes silences that occur together count as one:
	// when many connections fail at once, the responses have not become slower.
	silenceFactorSpacing = 100 * time.Millisecond
)

// latencyBound returns how long an exchange with t may last to stay within the
// given number of deviations of the mean latency.
func (b *Balancer) latencyBound(t *target, deviations float64) time.Duration {
	if b.mean == 0 {
		return b.o.MaxSilence
	}
	ns := (b.mean + deviations*b.deviation) * b.silenceFactor
	if t.shortAverage > b.mean {
		ns *= t.shortAverage / b.mean
	}
	if ns > float64(b.o.MaxSilence) {
		return b.o.MaxSilence
	}
	return time.Duration(ns)
}

// done frees the slot of c and updates the statistics from the result.
func (b *Balancer) done(c *Choice, now time.Time, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := c.t
	if t == nil {
		return
	}
	b.endExpiredHolds(now)
	if r.Outcome == Silent && c.released {
		r.Outcome = Canceled // ReportOverdue has already recorded the silence.
	}
	b.release(c, now, r.Outcome == Silent)
	if c.hold != nil && (r.Outcome == OK || r.Outcome == Failed) {
		b.endHold(c.hold)
	}
	if !t.gone && !t.Leaving {
		b.learn(c, now, r)
	}
	b.tiers.place(t)
	c.t = nil
	b.recycled = append(b.recycled, c)
}

func (b *Balancer) learn(c *Choice, now time.Time, r Result) {
	switch r.Outcome {
	case OK:
		b.learnResponse(c, now, float64(r.Latency))
	case Failed:
		b.learnFailure(c.t, now)
	case Refused:
		b.learnRefusal(c.t, now)
	case Silent:
		b.learnSilence(c, now)
	}
}

// learnResponse updates the statistics from a complete response that took ns
// nanoseconds.
func (b *Balancer) learnResponse(c *Choice, now time.Time, ns float64) {
	t := c.t
	b.learnDeviation(ns)
	b.overdueRate -= overdueGain * b.overdueRate
	b.silenceFactor = max(1, b.silenceFactor*(1-silenceFactorDecay))
	b.tiers.learn(t.countedTier, ns)
	b.countFailure(t, 0)
	t.failuresInRow = 0
	t.respondedAt = now
	t.silentAt = time.Time{}
	t.learnLatency(ns)
	t.group.countResponse()
	t.grow()
	switch {
	case t.state == Healthy:
		b.compareWithPeers(t, now)
	case t.state == Suspect:
		b.restore(t)
	default:
		b.countRecovery(t, now, ns)
	}
}

func (b *Balancer) learnDeviation(ns float64) {
	if b.mean == 0 {
		b.mean, b.deviation = ns, ns/2
		return
	}
	b.deviation += longGain * (math.Abs(ns-b.mean) - b.deviation)
	b.mean += longGain * (ns - b.mean)
}

// compareWithPeers ejects a healthy target or marks it slow when its latency
// exceeds that of its peers.
func (b *Balancer) compareWithPeers(t *target, now time.Time) {
	switch {
	case t.ratio(t.group.reference) > b.o.EjectRatio:
		b.eject(t, now)
	case t.ratio(b.referenceFor(t)) > b.o.SlowRatio:
		b.setState(t, Slow)
		t.goodResponses = 0
		b.probes.schedule(t, now.Add(b.probeDelay(t)))
	}
}

// referenceFor returns the latency with which t's is compared: its group's
// reference, or that of the quickest group when t's group has none.
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

// countRecovery counts the good responses of a slow or ejected target, and
// restores it after several in a row.
func (b *Balancer) countRecovery(t *target, now time.Time, ns float64) {
	reference := b.referenceFor(t)
	if reference > 0 && ns > b.goodRatio(t)*reference {
		t.goodResponses = 0
		t.lengthenProbeDelay()
		b.probes.schedule(t, now.Add(b.probeDelay(t)))
		if t.state == Slow && t.ratio(t.group.reference) > b.o.EjectRatio {
			b.eject(t, now)
		}
		return
	}
	t.goodResponses++
	if t.state == Ejected && t.goodResponses >= recoveryResponses && reference > 0 && ns > goodResponseRatio*reference {
		b.returnAsSlow(t, now, reference)
		return
	}
	if t.goodResponses >= recoveryResponses {
		b.restore(t)
		return
	}
	b.probes.schedule(t, now)
}

// goodRatio is the multiple of its peers' latency up to which a response of t
// counts toward recovery.
func (b *Balancer) goodRatio(t *target) float64 {
	if t.state == Ejected {
		return b.o.EjectRatio
	}
	return goodResponseRatio
}

// returnAsSlow ends the ejection of a target whose responses are slow but
// acceptable.
func (b *Balancer) returnAsSlow(t *target, now time.Time, reference float64) {
	b.setState(t, Slow)
	t.goodResponses = 0
	t.allowance, t.responses = 1, 0
	t.shortAverage = goodResponseRatio * reference
	b.probes.schedule(t, now.Add(b.probeDelay(t)))
}

// restore makes a target healthy. Unless it was only suspect, it starts with
// one request at a time, and its short average starts from its peers' latency,
// because the old average no longer applies.
func (b *Balancer) restore(t *target) {
	wasSuspect := t.state == Suspect
	b.setState(t, Healthy)
	b.probes.remove(t)
	t.goodResponses = 0
	t.failureRate = 0
	if wasSuspect {
		return
	}
	t.probeDoublings = max(t.probeDoublings-1, 0)
	t.allowance, t.responses = 1, 0
	if reference := b.referenceFor(t); reference > 0 {
		t.shortAverage = reference
	}
}

// eject takes a target out of use, or makes it a last resort when too many
// targets are out of rotation already. When most targets look bad, the cause is
// more likely on the entry's side, and ejecting all of them would leave none to
// serve requests.
func (b *Balancer) eject(t *target, now time.Time) {
	b.setState(t, Ejected)
	t.goodResponses = 0
	t.lastResort = float64(b.outOfRotation) > b.o.MaxEjected*float64(b.listed)
	b.probes.schedule(t, now.Add(b.probeDelay(t)))
	t.lengthenProbeDelay()
}

// learnFailure updates the statistics from an error of the target's own, and
// ejects the target after several in a row.
func (b *Balancer) learnFailure(t *target, now time.Time) {
	peers := b.failureRate
	b.countFailure(t, 1)
	t.failuresInRow++
	t.goodResponses = 0
	if isOutOfRotation(t.state) {
		t.lengthenProbeDelay()
		b.probes.schedule(t, now.Add(b.probeDelay(t)))
		return
	}
	// A target that fails at most twice as often as the average is not at
	// fault.
	if t.failuresInRow >= failuresToEject && t.failureRate > 2*peers {
		b.eject(t, now)
	}
}

// learnRefusal ejects a target immediately: it accepts nothing at present, and
// the refused request can be sent elsewhere without risk because it did not
// start.
func (b *Balancer) learnRefusal(t *target, now time.Time) {
	t.goodResponses = 0
	if isOutOfRotation(t.state) {
		t.lengthenProbeDelay()
		b.probes.schedule(t, now.Add(b.probeDelay(t)))
		return
	}
	b.eject(t, now)
}

// reportOverdue records an exchange that has had no response for long and is
// still in flight.
func (b *Balancer) reportOverdue(c *Choice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredHolds(now)
	if c.t == nil || c.released {
		return
	}
	if !c.overdue {
		c.overdue = true
		b.distrustConnections(c)
	}
	if now.Sub(c.started) < c.silenceAfter {
		return
	}
	if !c.t.gone && !c.t.Leaving {
		b.learnSilence(c, now)
	}
	b.release(c, now, true)
	b.tiers.place(c.t)
}

// distrustConnections stops the use of connections that may have failed
// together with the overdue one. The failure happened before the response was
// due, so connections that have delivered a response since then are usable.
// When many exchanges are overdue at once, a network device on the path has
// probably dropped connections to other targets too, and the connections to all
// targets become untrusted.
func (b *Balancer) distrustConnections(c *Choice) {
	due := c.started.Add(time.Duration(b.mean))
	if due.After(c.t.trustSince) {
		c.t.trustSince = due
	}
	b.overdueRate += overdueGain * (1 - b.overdueRate)
	if b.overdueRate > manyOverdueRate && due.After(b.trustSince) {
		b.trustSince = due
	}
}

// raiseSilenceFactor increases the time after which exchanges count as silent.
func (b *Balancer) raiseSilenceFactor(now time.Time) {
	if now.Sub(b.silenceFactorRaisedAt) < silenceFactorSpacing {
		return
	}
	b.silenceFactorRaisedAt = now
	b.silenceFactor = min(b.silenceFactor*silenceFactorGrowth, maxSilenceFactor)
}

// learnSilence handles an exchange without a response. If the target has
// responded to others since this response was due, the target is healthy and
// the connection is at fault. Otherwise the target becomes suspect, and the
// next request tests it over a new connection. A second silence, of an exchange
// that began after the first was detected, ejects the target.
func (b *Balancer) learnSilence(c *Choice, now time.Time) {
	b.raiseSilenceFactor(now)
	t := c.t
	if t.respondedAt.After(c.started.Add(time.Duration(b.mean))) {
		return
	}
	t.goodResponses = 0
	again := !t.silentAt.IsZero() && !c.started.Before(t.silentAt)
	if !again {
		t.silentAt = now
		if !isOutOfRotation(t.state) {
			b.setState(t, Suspect)
			b.probes.schedule(t, now.Add(-suspectHeadStart))
		}
		return
	}
	t.silentAt = now
	b.eject(t, now)
}

// countFailure adds an outcome, 1 for a failure and 0 for a response, to the
// failure rates of the target and of all targets.
func (b *Balancer) countFailure(t *target, v float64) {
	t.failureRate += failureGain * (v - t.failureRate)
	b.failureRate += longGain * (v - b.failureRate)
}
