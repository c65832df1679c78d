package membership

import (
	"cmp"
	"slices"
	"time"
)

// interruptedAfter is how many periods without a round mean that this daemon
// itself was paused.
const interruptedAfter = 4

// abandonedAfter is how many timeouts after its start an exchange without a
// reported end counts as finished.
const abandonedAfter = 5

func (m *Machine) tick(random uint64) {
	if m.stopped || m.now.Before(m.nextRound) {
		return
	}
	m.stats.Rounds++
	m.view = nil
	m.pcg.Seed(m.pcg.Uint64(), random)
	m.detectInterruption()
	m.lastRound = m.now
	m.nextRound = m.now.Add(m.jittered(m.o.Period))
	m.forgetDead()
	m.checkIsolation()
	m.removeSuspects()
	m.doubtBudget = m.o.DoubtFanout
	m.exchangeDoubtful()
	m.exchangeDead()
	m.exchangeNext(m.fanout())
}

// jittered varies a duration by up to a tenth in total, so that daemons that
// started together do not keep contacting peers at the same moment.
func (m *Machine) jittered(d time.Duration) time.Duration {
	tenth := int64(d / 10)
	if tenth == 0 {
		return d
	}
	return d - time.Duration(tenth/2) + time.Duration(m.rng.Int64N(tenth))
}

// detectInterruption restarts all suspicions after this daemon was paused.
// During a pause, exchanges in flight time out although the peers responded,
// and suspicion timeouts expire unobserved, so a resumed daemon would otherwise
// remove its peers.
func (m *Machine) detectInterruption() {
	if m.now.Sub(m.lastRound) <= interruptedAfter*m.o.Period {
		return
	}
	m.stats.Interruptions++
	m.lastContact = m.now
	m.failed = 0
	m.restartSuspicions()
	for _, r := range m.sorted {
		r.inFlight = false
	}
}

// restartSuspicions restarts the timeout of all suspicions and clears failures
// that have not yet caused a suspicion.
func (m *Machine) restartSuspicions() {
	for _, r := range m.sorted {
		if r.State == Suspect {
			r.suspectSince = m.now
		} else if r.State != Dead {
			r.failures = 0
		}
	}
}

// forgetDead drops members that have been dead for longer than DeadRetention.
func (m *Machine) forgetDead() {
	for _, r := range slices.Clone(m.sorted) {
		if r.State == Dead && m.now.Sub(r.diedAt) >= m.o.DeadRetention {
			m.remove(r.ID)
			m.changed = true
		}
	}
}

// fanout returns how many peers to contact in rotation this round.
func (m *Machine) fanout() int {
	n := m.o.Fanout
	if m.isStarting() {
		n = max(n, m.o.StartFanout)
	}
	if m.self.StoreSilent >= m.o.StoreSilentAfter || m.awaitsMajority {
		n = max(n, m.outageFanout())
	}
	return n
}

// isStarting reports whether listed members have not been contacted yet. It
// turns false after startPeriods, because a list can name VMs whose daemon
// never runs.
func (m *Machine) isStarting() bool {
	if m.now.Sub(m.booted) > startPeriods*m.o.Period {
		return false
	}
	for _, r := range m.sorted {
		if r.State == Listed {
			return true
		}
	}
	return false
}

// startPeriods is how many periods after its start a daemon, or a newly met
// member, counts as starting.
const startPeriods = 30

// exchangeNext starts exchanges with the next n peers of the rotation.
func (m *Machine) exchangeNext(n int) {
	for range 2 * len(m.sorted) {
		if n == 0 {
			return
		}
		if len(m.ring) == 0 {
			m.refillRing()
			if len(m.ring) == 0 {
				return
			}
		}
		r := m.members[m.ring[0]]
		m.ring = m.ring[1:]
		if r.State == Dead || r.inDoubt() || !m.canExchange(r) {
			continue
		}
		m.startExchange(r)
		n--
	}
}

// refillRing begins the next pass: it shuffles all members that are not dead.
func (m *Machine) refillRing() {
	m.ring = m.ring[:0]
	for _, r := range m.sorted {
		if r.State != Dead {
			m.ring = append(m.ring, r.ID)
		}
	}
	m.rng.Shuffle(len(m.ring), func(i, j int) {
		m.ring[i], m.ring[j] = m.ring[j], m.ring[i]
	})
}

// exchangeDoubtful starts exchanges with the most urgent members in doubt,
// within the round's budget. The rest of the budget is available for reports
// that arrive before the next round. The budget keeps the cost of losing a
// whole zone the same as that of losing one member.
func (m *Machine) exchangeDoubtful() {
	if m.doubtBudget == 0 {
		return
	}
	var doubtful []*record
	for _, r := range m.sorted {
		if r.inDoubt() && m.canExchange(r) {
			doubtful = append(doubtful, r)
		}
	}
	slices.SortFunc(doubtful, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(m.urgency(a), m.urgency(b)),
			cmp.Compare(b.failures, a.failures),
			a.exchangedAt.Compare(b.exchangedAt),
			cmp.Compare(a.ID, b.ID))
	})
	for _, r := range doubtful[:min(len(doubtful), m.doubtBudget)] {
		m.doubtBudget--
		m.startExchange(r)
	}
}

// urgency ranks members in doubt, the most urgent first. Members that are not
// yet suspect precede suspects whose timeout has passed, and all other suspects
// come last. In plain rotation, many members in doubt at once would all stay
// undecided, and a daemon on the smaller side of a partition would detect that
// too late.
func (m *Machine) urgency(r *record) int {
	switch {
	case r.State != Suspect:
		return 0
	case !m.now.Before(m.suspicionEnd(r)):
		return 1
	}
	return 2
}

// exchangeDead contacts one dead member that the platform still lists every
// DeadRetryInterval. Otherwise two sides of a partition that removed each other
// would never exchange messages again.
func (m *Machine) exchangeDead() {
	if m.now.Sub(m.lastRetry) < m.o.DeadRetryInterval {
		return
	}
	var oldest *record
	for _, r := range m.sorted {
		if r.State != Dead || !r.listed || !m.canExchange(r) {
			continue
		}
		if oldest == nil || r.exchangedAt.Before(oldest.exchangedAt) {
			oldest = r
		}
	}
	if oldest != nil {
		m.lastRetry = m.now
		m.startExchange(oldest)
	}
}

// canExchange reports whether the member has an address and no exchange in
// flight.
func (m *Machine) canExchange(r *record) bool {
	if r.Address == "" {
		return false
	}
	return !r.inFlight || m.now.Sub(r.exchangedAt) > abandonedAfter*m.o.ExchangeTimeout
}

func (m *Machine) startExchange(r *record) {
	r.inFlight = true
	r.exchangedAt = m.now
	m.stats.Exchanges++
	m.commands = append(m.commands, ExchangeWith{
		Peer: r.ID, Address: r.Address, Timeout: m.o.ExchangeTimeout,
	})
}
