package membership

import (
	"cmp"
	"slices"
	"time"
)

// interruptedAfter is how many periods without a round mean that this daemon
// itself stood still.
const interruptedAfter = 4

// abandonedAfter is how many timeouts after its start an exchange whose end was
// never told counts as over.
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

// jittered varies the period by a tenth, so that daemons started together do
// not go on asking all at the same moment.
func (m *Machine) jittered(d time.Duration) time.Duration {
	tenth := int64(d / 10)
	if tenth == 0 {
		return d
	}
	return d - time.Duration(tenth/2) + time.Duration(m.rng.Int64N(tenth))
}

// detectInterruption restarts all suspicions after this daemon stood still.
// Exchanges that were in progress then failed by their deadlines though the
// peers answered, and suspicion times ran out unwatched: going by them, a
// daemon that slept would remove its peers on waking.
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

// restartSuspicions lets suspects be suspect anew from now and takes back
// failures that are not yet a suspicion.
func (m *Machine) restartSuspicions() {
	for _, r := range m.sorted {
		if r.State == Suspect {
			r.suspectSince = m.now
		} else if r.State != Dead {
			r.failures = 0
		}
	}
}

// forgetDead drops members dead for longer than the retention.
func (m *Machine) forgetDead() {
	for _, r := range slices.Clone(m.sorted) {
		if r.State == Dead && m.now.Sub(r.diedAt) >= m.o.DeadRetention {
			m.remove(r.ID)
			m.changed = true
		}
	}
}

// fanout is how many peers to ask in turn this round.
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

// isStarting is whether listed members are still to be met. It ends after a
// turn's worth of rounds, as a list can name VMs whose daemon never runs.
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

const startPeriods = 30

// exchangeNext asks the next n of the turn.
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

// exchangeDoubtful asks the members in doubt that most need it, as far as the
// round's budget goes; what is left of it serves reports that come before the
// next round. The budget keeps the cost of a whole zone's loss at what one
// member's is.
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

// urgency ranks members in doubt. Those nearest to a verdict go first: were
// all asked in turn, many in doubt at once would all stay undecided, and a
// daemon on the smaller side of a cut would learn too late that it is.
func (m *Machine) urgency(r *record) int {
	switch {
	case r.State != Suspect:
		return 0
	case !m.now.Before(m.suspicionEnd(r)):
		return 1
	}
	return 2
}

// exchangeDead asks, now and then, one dead member that the platform still lists.
// After two sides of a cut removed each other, nobody else would start a
// conversation between them.
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

// canExchange is whether the member has an address and no exchange in progress.
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
