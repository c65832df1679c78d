package jobsched

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/roomshares"
)

// This file divides the room of each service between the queues that use it, if the
// deployment asks for that (Policies.ShareRoom). It answers a load in which long-running
// jobs arrive faster than they end: they would fill all workers, and short urgent work
// would wait for room that nobody gives back.

// shareState is what the leader knows of the use of room.
type shareState struct {
	classes map[roomClassKey]*roomClass
	// ordered holds the same classes, by queue, the short ones first.
	ordered  []*roomClass
	services map[string]*serviceRoom
	// ranks holds the number of more urgent priorities by service and priority, as of
	// the configuration ranksVersion.
	ranks        map[priorityKey]int
	ranksVersion uint64
	// largeTasks holds, by service, the task for which room was last reserved because it
	// had waited long.
	largeTasks map[string]*task
}

// priorityKey is a priority of queues of a service.
type priorityKey struct {
	service  string
	priority int
}

// serviceRoom is the room of a service's workers at the start of the round, with what
// was started since.
type serviceRoom struct {
	// usable and used are of the workers that may be given tasks, listed and listedUsed
	// of all listed ones. reserved is not used yet, but reserved for tasks.
	usable, used, reserved, listed, listedUsed model.Resources
}

func newShareState() shareState {
	return shareState{classes: make(map[roomClassKey]*roomClass), services: make(map[string]*serviceRoom), largeTasks: make(map[string]*task)}
}

func (s *shareState) add(c *roomClass) {
	s.classes[c.key] = c
	s.ordered = append(s.ordered, c)
	slices.SortFunc(s.ordered, func(a, b *roomClass) int {
		return cmp.Or(strings.Compare(a.key.queue, b.key.queue), joborder.CompareFirst(b.key.longRunning, a.key.longRunning))
	})
}

// service returns the room of a service; it is empty for one without workers.
func (s *shareState) service(name string) *serviceRoom {
	r := s.services[name]
	if r == nil {
		r = &serviceRoom{}
		s.services[name] = r
	}
	return r
}

// divideRoom updates what each class wants and is entitled to. It runs once a pass.
func (m *Machine) divideRoom() {
	if !m.options.Policies.ShareRoom {
		return
	}
	m.measureWaiting()
	m.rankPriorities()
	for name := range m.shares.services {
		m.divideRoomOf(name)
	}
	m.noteBindingShares()
}

// divideRoomOf divides a service's room between its classes of work. What tasks of no
// class take is not divided.
func (m *Machine) divideRoomOf(service string) {
	room := m.shares.service(service)
	divided := room.usable.Sub(room.used).Sub(room.reserved)
	classes := m.sharingClasses(service)
	claims := make([]roomshares.Claim, len(classes))
	for i, c := range classes {
		claims[i] = roomshares.Claim{Weight: m.roomWeight(c), Wanted: c.wanted()}
		if !c.key.longRunning {
			claims[i].Wanted = c.reserve.Room()
		}
		divided = divided.Add(c.used)
	}
	for i, e := range roomshares.Divide(divided, claims) {
		classes[i].entitlement = e
		classes[i].divided = divided
	}
}

// sharingClasses returns the classes of a service between which room is divided: the
// long-running ones, and the short ones at least as urgent as one of these. Without any
// long-running work these are all.
func (m *Machine) sharingClasses(service string) []*roomClass {
	leastUrgent, found := math.MaxInt, false
	for _, c := range m.shares.ordered {
		if !c.key.longRunning || c.queue.Service != service || c.wanted() == (model.Resources{}) {
			continue
		}
		if !found || c.queue.Priority > leastUrgent {
			leastUrgent, found = c.queue.Priority, true
		}
	}
	var classes []*roomClass
	for _, c := range m.shares.ordered {
		if c.queue.Service != service {
			continue
		}
		c.entitlement = roomshares.Entitlement{}
		if c.key.longRunning || c.queue.Priority <= leastUrgent {
			classes = append(classes, c)
		}
	}
	return classes
}

// roomWeight returns the weight of a class: half of that of the next more urgent priority
// of the service's queues, so that equal priorities weigh the same.
func (m *Machine) roomWeight(c *roomClass) float64 {
	return math.Ldexp(1, -m.shares.ranks[priorityKey{c.queue.Service, c.queue.Priority}])
}

// rankPriorities updates the ranks of the configured priorities. Priorities of queues
// that are no longer configured count as the most urgent.
func (m *Machine) rankPriorities() {
	if m.config == nil || m.shares.ranks != nil && m.shares.ranksVersion == m.config.Version {
		return
	}
	m.shares.ranks, m.shares.ranksVersion = make(map[priorityKey]int), m.config.Version
	priorities := make(map[string][]int)
	for _, q := range m.config.Queues {
		priorities[q.Service] = append(priorities[q.Service], q.Priority)
	}
	for service, list := range priorities {
		slices.Sort(list)
		for rank, priority := range slices.Compact(list) {
			m.shares.ranks[priorityKey{service, priority}] = rank
		}
	}
}
