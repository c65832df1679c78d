package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// Machine is the membership state of one daemon. It must be used by one
// goroutine only.
type Machine struct {
	o    Options
	self Member
	// members are all other daemons; sorted holds the same records ordered by
	// ID.
	members map[model.DaemonID]*record
	sorted  []*record
	// ring are the peers not yet contacted in the current pass over all peers.
	ring []model.DaemonID
	pcg  *rand.PCG
	rng  *rand.Rand

	now       time.Time
	booted    time.Time
	nextRound time.Time
	lastRound time.Time
	lastRetry time.Time
	// doubtBudget is how many more members in doubt may be contacted this
	// round.
	doubtBudget int
	// lastContact is when the last message of any other member arrived; failed
	// counts the exchanges that failed since.
	lastContact time.Time
	failed      int
	// isolated is whether this daemon considers its own link faulty.
	isolated bool
	stopped  bool

	// storeStatusAt is when this daemon last updated its own state. okSince is
	// since when that state has reported a responding store; zero when the
	// store is silent.
	storeStatusAt time.Time
	okSince       time.Time
	// awaitsMajority is whether this daemon waits for OutageRenewalsEnded.
	awaitsMajority bool

	// listedAt is when a list was last trusted. untrustedSince is since when
	// lists have been rejected; zero while they are trusted.
	listedAt       time.Time
	untrustedSince time.Time
	// changes maps the members whose records are relayed to how often each was
	// sent. cursor is the position of the next record to send in rotation.
	changes map[model.DaemonID]int
	cursor  int

	commands []Command
	changed  bool
	view     *View
	stats    Stats
}

// New returns a machine that knows only self. Self needs ID, Address, Zone and
// Started; its incarnation is derived from Started if it is zero.
func New(self Member, o Options) *Machine {
	if self.Incarnation == 0 {
		self.Incarnation = uint64(self.Started.UnixMilli())
	}
	self.State = Alive
	pcg := rand.NewPCG(xxhash.Sum64String(string(self.ID)), self.Incarnation)
	return &Machine{
		o:       o.withDefaults(),
		self:    self,
		members: make(map[model.DaemonID]*record),
		changes: make(map[model.DaemonID]int),
		pcg:     pcg,
		rng:     rand.New(pcg),
	}
}

// Step processes one event and returns the resulting commands. Errors in events
// are inspected for their kind only and never returned.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	m.now = now
	if m.booted.IsZero() {
		m.booted, m.lastRound, m.lastContact = now, now, now
	}
	m.commands, m.changed = nil, false
	if _, idle := ev.(Tick); !idle {
		m.view = nil
	}
	switch ev := ev.(type) {
	case Tick:
		m.tick(ev.Random)
	case VMsListed:
		m.applyList(ev)
	case Received:
		m.handleRequest(ev)
	case ExchangeDone:
		m.handleExchangeDone(ev)
	case LocalState:
		m.local(ev)
	case Drain:
		m.drain()
	case Stop:
		m.stop()
	}
	if m.changed {
		m.commands = append(m.commands, Changed{})
	}
	return m.commands
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// View returns the current view.
func (m *Machine) View() *View {
	if m.view == nil {
		m.view = m.makeView()
	}
	return m.view
}

func (m *Machine) makeView() *View {
	v := &View{
		Self:     m.self,
		Members:  make([]Member, 0, len(m.sorted)+1),
		Isolated: m.isolated,
	}
	for _, r := range m.sorted {
		v.Members = append(v.Members, r.Member)
	}
	at, _ := slices.BinarySearchFunc(v.Members, m.self.ID, func(x Member, id model.DaemonID) int {
		return cmp.Compare(x.ID, id)
	})
	v.Members = slices.Insert(v.Members, at, m.self)
	return v
}

func (m *Machine) local(ev LocalState) {
	shards := slices.Clone(ev.OwnedShards)
	slices.SortFunc(shards, func(a, b ShardEpoch) int { return cmp.Compare(a.Shard, b.Shard) })
	if !slices.EqualFunc(shards, m.self.OwnedShards, sameShard) {
		m.changed = true
	}
	m.self.ConfigRevision = ev.ConfigRevision
	m.self.Demand = ev.Demand
	m.self.StoreSilent = ev.StoreSilent
	m.updateStoreStatus()
	m.awaitsMajority = ev.AwaitsMajority
	m.self.OwnedShards = shards
}

// drain announces a planned stop under a new incarnation, which takes
// precedence over all records that report this daemon as alive.
func (m *Machine) drain() {
	if m.self.State != Alive {
		return
	}
	m.self.Draining = true
	m.self.State = Leaving
	m.self.Incarnation++
	m.changed = true
	m.nextRound = m.now
}

// stop marks this daemon's own record as dead and sends it to a few members,
// which relay it.
func (m *Machine) stop() {
	if m.stopped {
		return
	}
	m.stopped = true
	m.self.Draining = true
	m.self.State = Dead
	m.self.Incarnation++
	m.changed = true
	m.exchangeNext(m.o.StartFanout)
}

func (m *Machine) add(id model.DaemonID) *record {
	r := &record{Member: Member{ID: id}}
	m.members[id] = r
	at, _ := m.place(id)
	m.sorted = slices.Insert(m.sorted, at, r)
	// A new member takes a random position in the current pass. At the end it
	// could wait as many periods as there are members for its first exchange.
	m.ring = slices.Insert(m.ring, m.rng.IntN(len(m.ring)+1), id)
	return r
}

// place returns the position of a member in sorted, or where it would be
// inserted, and whether it is there.
func (m *Machine) place(id model.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, id, func(r *record, id model.DaemonID) int {
		return cmp.Compare(r.ID, id)
	})
}

func (m *Machine) remove(id model.DaemonID) {
	delete(m.members, id)
	delete(m.changes, id)
	if at, ok := m.place(id); ok {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
	if at := slices.Index(m.ring, id); at >= 0 {
		m.ring = slices.Delete(m.ring, at, at+1)
	}
}

func (m *Machine) setState(r *record, s State) {
	if r.State == s {
		return
	}
	r.State = s
	m.changed = true
}
