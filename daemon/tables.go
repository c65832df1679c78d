package daemon

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/core/shares"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/traffic"
)

// publishedTargets is the last list of a shard's targets that this daemon
// made.
type publishedTargets struct{ list *peerv1.ShardTargets }

// publishTargets makes the shard's list of targets known when it changed. It
// is made from the committed ledger alone, so that (epoch, sequence) orders
// the lists of all owners.
func (s *shard) publishTargets() {
	if !s.loaded {
		return
	}
	list := &peerv1.ShardTargets{
		Shard:    uint32(s.id),
		Epoch:    int64(s.epoch),
		Sequence: s.ledger.Contents().Sequence(),
		Owner:    string(s.c.o.Identity.ID),
	}
	for _, id := range s.ledger.Contents().Workers() {
		for _, t := range s.ledger.Contents().OnWorker(id) {
			if t.Service && t.Address != "" {
				list.Targets = append(list.Targets, s.target(t))
			}
		}
	}
	if s.sameTargets(list) {
		return
	}
	s.recordTargets(list)
	s.published.list = list
	if s.c.table.PutOwn(list) {
		s.c.spreader.ListsChanged([]*peerv1.ShardTargets{list})
		s.c.tables.dirty = true
	}
}

func (s *shard) target(t ledger.Task) *peerv1.Target {
	return &peerv1.Target{
		Service:          t.Key.Workload,
		Task:             t.Key.String(),
		Attempt:          uint32(t.Attempt),
		Address:          t.Address,
		Worker:           string(t.Worker),
		AvailabilityZone: string(s.c.vms[t.Worker].Zone),
		Leaving:          t.State == ledger.Stopping,
	}
}

func (s *shard) sameTargets(list *peerv1.ShardTargets) bool {
	before := s.published.list
	return before != nil && slices.EqualFunc(before.Targets, list.Targets, sameTarget)
}

func (s *shard) recordTargets(list *peerv1.ShardTargets) {
	before := make(map[string]*peerv1.Target)
	if s.published.list != nil {
		for _, t := range s.published.list.Targets {
			before[t.Address] = t
		}
	}
	for _, t := range list.Targets {
		old := before[t.Address]
		delete(before, t.Address)
		switch {
		case old == nil && !t.Leaving:
			s.record(timeline.Event{Kind: timeline.TargetAdded, Subject: t.Task})
		case old != nil && !old.Leaving && t.Leaving:
			s.record(timeline.Event{Kind: timeline.TargetLeaving, Subject: t.Task})
		}
	}
	for _, address := range sortedKeys(before) {
		s.record(timeline.Event{Kind: timeline.TargetRemoved, Subject: before[address].Task})
	}
}

// targetsLeaving spreads the word that all targets on a worker are leaving,
// without waiting for a commit.
func (c *control) targetsLeaving(s *shard, id model.WorkerID) {
	var hints []*peerv1.LeavingTarget
	for _, t := range s.ledger.Contents().OnWorker(id) {
		if t.Service && t.Address != "" {
			hints = append(hints, &peerv1.LeavingTarget{
				Address: t.Address, Task: t.Key.String(), Attempt: uint32(t.Attempt),
			})
		}
	}
	fresh := c.table.MarkLeaving(c.clock.Now(), hints)
	for _, hint := range fresh {
		c.engine.MarkLeaving(hint.GetAddress())
	}
	c.spreader.HintsAdded(fresh, true)
}

// markListedLeaving stops this entry's new work to targets on VMs that the
// platform lists as leaving. Every entry reads the list, so nobody is told.
func (c *control) markListedLeaving() {
	for _, t := range c.table.Targets() {
		vm, known := c.vms[model.WorkerID(t.GetWorker())]
		if known && vm.State == model.VMLeaving {
			c.engine.MarkLeaving(t.GetAddress())
		}
	}
}

// serviceTable is what one service's targets were last divided into.
type serviceTable struct {
	tracker *shares.Tracker
	targets []*peerv1.Target
	desired []shares.Share
	given   []routing.Target
	// settled is whether this entry uses all of its due share.
	settled bool
	// activeUntil is until when the balancer is to be updated although nothing
	// changed: slots that it holds for silent exchanges come back by that.
	activeUntil time.Time
}

// activeFor is how long after its last request a service counts as active,
// longer than any slot is held.
const activeFor = 2 * time.Minute

// updateTables gives the engine the services and targets in force. Slots are
// divided anew only for services whose targets or entries changed: the division
// costs in proportion to targets and entries, and the control loop does nothing
// else meanwhile. Between changes only growing shares are looked at.
func (c *control) updateTables(now time.Time) {
	if c.config.Current() == nil {
		return
	}
	if c.tables.dirty {
		c.tables.dirty = false
		c.divideChanged(now)
		return
	}
	if now.Before(c.periods.tables) {
		return
	}
	c.periods.tables = now.Add(c.o.Timing.Tables)
	for _, name := range sortedKeys(c.tables.services) {
		c.refreshTable(now, name, c.tables.services[name])
	}
}

func (c *control) refreshTable(now time.Time, name string, st *serviceTable) {
	if d := c.engine.Demand(name); d.InFlight > 0 || d.Queued > 0 {
		st.activeUntil = now.Add(activeFor)
	}
	switch {
	case !st.settled:
		c.giveTargets(now, name, st)
	case now.Before(st.activeUntil):
		c.engine.SetTargets(name, st.given)
	}
}

func (c *control) divideChanged(now time.Time) {
	configured := c.configureServices()
	entries := c.shareEntries()
	all := configured || !slices.Equal(entries, c.tables.entries)
	c.tables.entries = entries
	byService := c.targetsByService()
	for _, name := range sortedKeys(c.tables.services) {
		st := c.tables.services[name]
		if !all && slices.EqualFunc(st.targets, byService[name], sameTarget) {
			continue
		}
		st.targets = byService[name]
		st.desired = shares.Divide(entries, c.o.Identity.ID, c.capacities(name, st.targets))
		c.giveTargets(now, name, st)
	}
}

// sameTarget reports whether two records say the same. A shard's list comes
// whole with every change, so most records of a new list are new messages with
// old content.
func sameTarget(a, b *peerv1.Target) bool { return a == b || proto.Equal(a, b) }

// giveTargets gives the engine this entry's part of a service's targets.
func (c *control) giveTargets(now time.Time, name string, st *serviceTable) {
	byAddress := make(map[string]*peerv1.Target, len(st.targets))
	for _, t := range st.targets {
		byAddress[t.GetAddress()] = t
	}
	current := st.tracker.Step(now, st.desired)
	list := make([]routing.Target, 0, len(current))
	for _, share := range current {
		list = append(list, c.routingTarget(byAddress[share.Address], share))
	}
	st.settled = slices.Equal(current, st.desired)
	st.given = list
	c.engine.SetTargets(name, list)
}

// configureServices tells the engine of the declared services when the
// configuration changed, and reports whether it did.
func (c *control) configureServices() bool {
	current := c.config.Current()
	if c.tables.revision == current.Revision {
		return false
	}
	c.tables.revision = current.Revision
	tables := make(map[string]*serviceTable)
	var services []traffic.Service
	for _, name := range current.Names() {
		w := current.Workloads[name]
		if !w.Spec.IsService() || w.Cancelled {
			continue
		}
		tables[name] = c.tables.services[name]
		if tables[name] == nil {
			tables[name] = &serviceTable{tracker: shares.NewTracker(c.o.Timing.ShareGrowDelay)}
		}
		services = append(services, traffic.Service{
			Name:     name,
			Timeout:  time.Duration(w.Spec.Timeout),
			MaxQueue: w.Spec.MaxQueue,
		})
	}
	c.tables.services = tables
	c.engine.Configure(services)
	return true
}

// targetsByService lists, per service, the targets known from all shards.
func (c *control) targetsByService() map[string][]*peerv1.Target {
	byService := make(map[string][]*peerv1.Target)
	for _, t := range c.table.Targets() {
		if c.tables.services[t.GetService()] != nil {
			byService[t.GetService()] = append(byService[t.GetService()], t)
		}
	}
	return byService
}

func (c *control) capacities(name string, targets []*peerv1.Target) []shares.Capacity {
	spec := c.config.Current().Workloads[name].Spec
	capacities := make([]shares.Capacity, 0, len(targets))
	for _, t := range targets {
		capacities = append(capacities, shares.Capacity{
			Address:     t.GetAddress(),
			Zone:        model.Zone(t.GetAvailabilityZone()),
			Slots:       spec.Slots,
			Connections: spec.Connections,
		})
	}
	return capacities
}

func (c *control) routingTarget(t *peerv1.Target, share shares.Share) routing.Target {
	key, _ := model.ParseTaskKey(t.GetTask())
	vm, listed := c.vms[model.WorkerID(t.GetWorker())]
	return routing.Target{
		Address:     t.GetAddress(),
		Task:        model.AttemptKey{Task: key, Attempt: model.Attempt(t.GetAttempt())},
		Worker:      model.WorkerID(t.GetWorker()),
		Zone:        model.Zone(t.GetAvailabilityZone()),
		Leaving:     t.GetLeaving() || listed && vm.State == model.VMLeaving,
		Slots:       share.Slots,
		Connections: share.Connections,
	}
}

// shareEntries are the entries among which slots are divided.
func (c *control) shareEntries() []shares.Entry {
	var entries []shares.Entry
	for _, id := range c.view.Active() {
		m, _ := c.view.Member(id)
		entries = append(entries, shares.Entry{ID: id, Zone: m.Zone, Weight: 1})
	}
	return entries
}
