package membership

import (
	"cmp"
	"slices"
	"time"
)

// interruptedAfter is how many periods without a round mean that this daemon
// itself stood still.
const interruptedAfter = 4

// lostAfter is how many timeouts after its start an exchange whose end was
// never told counts as over.
const lostAfter = 5

func (m *Machine) tick(random uint64) {
	if m.stopped || m.now.Before(m.nextRound) {
		return
	}
	m.stats.Rounds++
	m.view = nil
	m.pcg.Seed(m.pcg.Uint64(), random)
	m.noticeInterruption()
	m.lastRound = m.now
	m.nextRound = m.now.Add(m.jittered(m.o.Period))
	m.forget()
	m.blame()
	m.judge()
	m.doubtBudget = m.o.DoubtFanout
	m.askDoubtful()
	m.askDead()
	m.askNext(m.fanout())
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

// noticeInterruption restarts all suspicions after this daemon stood still.
// Exchanges that were in progress then failed by their deadlines though the
// peers answered, and suspicion times ran out unwatched: going by them, a
// daemon that slept would remove its peers on waking.
func (m *Machine) noticeInterruption() {
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
			r.since = m.now
		} else if r.State != Dead {
			r.failures = 0
		}
	}
}

// forget drops members dead for longer than the retention.
func (m *Machine) forget() {
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
	if m.starting() {
		n = max(n, m.o.StartFanout)
	}
	if m.self.StoreSilent >= m.o.StoreSilentAfter || m.awaitsStore {
		n = max(n, m.outageFanout())
	}
	return n
}

// starting is whether listed members are still to be met. It ends after a
// turn's worth of rounds, as a list can name VMs whose daemon never runs.
func (m *Machine) starting() bool {
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

// askNext asks the next n of the turn.
func (m *Machine) askNext(n int) {
	for range 2 * len(m.sorted) {
		if n == 0 {
			return
		}
		if len(m.ring) == 0 {
			m.refill()
			if len(m.ring) == 0 {
				return
			}
		}
		r := m.members[m.ring[0]]
		m.ring = m.ring[1:]
		if r.State == Dead || r.inDoubt() || !m.free(r) {
			continue
		}
		m.ask(r)
		n--
	}
}

func (m *Machine) refill() {
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

// askDoubtful asks the members in doubt that most need it, as far as the
// round's budget goes; what is left of it serves reports that come before the
// next round. The budget keeps the cost of a whole zone's loss at what one
// member's is.
func (m *Machine) askDoubtful() {
	if m.doubtBudget == 0 {
		return
	}
	var doubtful []*record
	for _, r := range m.sorted {
		if r.inDoubt() && m.free(r) {
			doubtful = append(doubtful, r)
		}
	}
	slices.SortFunc(doubtful, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(m.urgency(a), m.urgency(b)),
			cmp.Compare(b.failures, a.failures),
			a.asked.Compare(b.asked),
			cmp.Compare(a.ID, b.ID))
	})
	for _, r := range doubtful[:min(len(doubtful), m.doubtBudget)] {
		m.doubtBudget--
		m.ask(r)
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

// askDead asks, now and then, one dead member that the platform still lists.
// After two sides of a cut removed each other, nobody else would start a
// conversation between them.
func (m *Machine) askDead() {
	if m.now.Sub(m.lastRetry) < m.o.DeadRetryInterval {
		return
	}
	var oldest *record
	for _, r := range m.sorted {
		if r.State != Dead || !r.listed || !m.free(r) {
			continue
		}
		if oldest == nil || r.asked.Before(oldest.asked) {
			oldest = r
		}
	}
	if oldest != nil {
		m.lastRetry = m.now
		m.ask(oldest)
	}
}

// free is whether the member has an address and no exchange in progress.
func (m *Machine) free(r *record) bool {
	if r.Address == "" {
		return false
	}
	return !r.inFlight || m.now.Sub(r.asked) > lostAfter*m.o.ExchangeTimeout
}

func (m *Machine) ask(r *record) {
	r.inFlight = true
	r.asked = m.now
	m.stats.Exchanges++
	m.commands = append(m.commands, ExchangeWith{
		Peer: r.ID, Address: r.Address, Timeout: m.o.ExchangeTimeout,
	})
}
