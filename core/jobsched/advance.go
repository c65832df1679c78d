package jobsched

import "time"

// Handle applies an event. The resulting effects are returned by the next Advance.
func (m *Machine) Handle(now time.Time, ev Event) {
	m.now = now
	switch ev := ev.(type) {
	case ConfigChanged:
		m.configChanged(ev.Config)
	case CordonsRead:
		m.cordonsRead(ev)
	case WorkersListed:
		m.workersListed(ev)
	case WorkersDraining:
		m.workersDraining(ev)
	case JobAccepted:
		m.jobAccepted(ev)
	case JobUnreadable:
		m.markUnreadable(ev.ID, nil)
	case JobReread:
		m.jobReread(ev)
	case Renewed:
		m.renewed(ev)
	case Started:
		m.started(ev)
	case Stopped:
		m.stopped(ev)
	case Throttled:
		m.throttled(ev)
	case Committed:
		m.committed(ev)
	case CommitRefused:
		m.commitRefused(ev)
	case Advised:
		m.advised(ev)
	}
}

// Advance returns the effects to carry out. wall is the time of day, which
// determines when repetitions are due. A daemon calls it after each batch of
// events, and at least every TickInterval.
func (m *Machine) Advance(now, wall time.Time) []Effect {
	m.now, m.wall = now, wall
	if !m.deposed {
		m.advance()
	}
	return m.takeEffects()
}

// AdvanceCommit returns the effects to carry out now that a commit has ended: the next
// commit, if one is due, and calls of the workers whose ends are acknowledged. A daemon
// calls it between two calls of Advance, so that the rate of commits does not fall as its
// steps take longer: a worker whose ends wait for a commit tells later ones only when it
// is asked again.
func (m *Machine) AdvanceCommit(now, wall time.Time) []Effect {
	m.now, m.wall = now, wall
	if !m.deposed {
		m.begin(PartCommit)
		m.sendCommit()
		m.begin(PartRenewals)
		m.sendRenewals()
	}
	return m.takeEffects()
}

// takeEffects returns the effects that were emitted since it was last called.
func (m *Machine) takeEffects() []Effect {
	m.begin(PartOther)
	effects := m.out
	m.out = nil
	return effects
}

func (m *Machine) advance() {
	m.begin(PartOther)
	m.expireWorkers()
	m.beginDueOccurrences()
	sweep := m.now.Sub(m.sweptAt) >= sweepInterval
	if sweep {
		m.begin(PartSweep)
		m.sweptAt = m.now
		m.checkAttempts()
		m.judgeSpeeds()
		m.moveOffSlowWorkers()
	}
	m.sendStops()
	m.begin(PartPlacement)
	m.scheduleIfDue()
	if sweep {
		m.copyStragglers()
	}
	m.begin(PartRenewals)
	m.sendRenewals()
	if sweep {
		m.begin(PartShares)
		m.sendThrottles()
	}
	m.begin(PartForecast)
	m.forecastIfDue()
	m.begin(PartCommit)
	m.sendCommit()
	m.learnFromReadings()
}

// scheduleIfDue runs a placement round when something has changed, and every
// scheduleInterval otherwise. It waits while too many starts are unanswered.
func (m *Machine) scheduleIfDue() {
	if float64(m.starting) > resumeStarts*float64(m.options.StartsInFlight) {
		return
	}
	since := m.now.Sub(m.scheduledAt)
	due := m.pass.IsOpen() || m.changed && (!m.saturated || since >= saturatedInterval)
	if !due && since < scheduleInterval {
		return
	}
	if !m.pass.IsOpen() {
		// Changes made during the pass trigger the next pass.
		m.changed = false
	}
	m.schedule()
	m.scheduledAt = m.now
}

const (
	// saturatedInterval is the minimum time between two placement rounds while
	// tasks wait for capacity. Otherwise every end of an attempt would trigger a
	// round that checks every waiting step.
	saturatedInterval = 30 * time.Millisecond
	// sweepInterval is the time between two checks of all attempts for stalls and
	// for shares that have to change. Their readings are half a second old anyway.
	sweepInterval = 45 * time.Millisecond
	// TickInterval is the maximum time between two calls of Advance.
	TickInterval = 50 * time.Millisecond
	// scheduleInterval is how often placement is tried when nothing has changed:
	// the delays that hold back a step or a worker end by time alone.
	scheduleInterval = 200 * time.Millisecond
)
