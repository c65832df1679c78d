package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Balancer chooses targets for the requests of one service. It is safe for
// concurrent use.
type Balancer struct {
	o    Options
	zone model.Zone

	mu      sync.Mutex
	targets map[string]*target
	groups  map[model.Zone]*group
	tiers   tiers
	probes  probeHeap
	// sinceProbe counts picks since the last probe.
	sinceProbe int
	listed     int // targets neither gone nor leaving
	resting    int // of those, how many rest or are suspect
	failures   float64
	mean       float64 // latency of all answers, nanoseconds
	deviation  float64 // mean distance from it
	// patience multiplies silenceAfter; it grows with each silence, so that
	// answers that are merely rare and slow are not given up over and over.
	patience  float64
	patientAt time.Time
	// overdueRate is the part of exchanges that become overdue lately, and
	// trustSince holds for all targets when it is high.
	overdueRate float64
	trustSince  time.Time
	unused      []*Choice
	limbo       []*limboSlot
	limboNext   time.Time // when the first of them ends
}

// New returns a balancer for an entry in zone.
func New(zone model.Zone, o Options) *Balancer {
	return &Balancer{
		o:       o.withDefaults(),
		zone:    zone,
		targets: make(map[string]*target),
		groups:  make(map[model.Zone]*group),

		patience: 1,
	}
}

// Update replaces the list of targets. A new one starts with one request at a
// time and doubles with its answers; a missing one gets nothing new, and its
// requests in flight finish. A target that was marked as leaving stays so
// while the list shows the same attempt, however the list says it is: lists
// lag.
func (b *Balancer) Update(now time.Time, targets []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Address] = true
		b.put(now, t)
	}
	for _, address := range b.unlisted(listed) {
		b.drop(b.targets[address])
	}
}

// unlisted returns the known addresses that are not listed, sorted: the order
// of removal must not depend on that of a map.
func (b *Balancer) unlisted(listed map[string]bool) []string {
	var missing []string
	for address := range b.targets {
		if !listed[address] {
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}

func (b *Balancer) put(now time.Time, listed Target) {
	t := b.targets[listed.Address]
	if t != nil && (t.Task != listed.Task || t.Zone != listed.Zone) {
		b.drop(t)
		t = nil
	}
	if t == nil {
		b.add(now, listed)
		return
	}
	wasLeaving := t.Leaving
	full := t.allowance >= t.limit()
	t.Target = listed
	t.Leaving = listed.Leaving || wasLeaving
	if full && t.state == Healthy {
		t.allowance = max(t.limit(), 1)
	}
	if t.Leaving && !wasLeaving {
		b.retire(t)
	}
	b.tiers.place(t)
}

func (b *Balancer) add(_ time.Time, listed Target) {
	t := &target{
		Target:     listed,
		allowance:  1,
		tier:       noTier,
		class:      noTier,
		position:   notPlaced,
		probeIndex: notPlaced,
	}
	b.groupOf(listed.Zone).add(t)
	b.targets[listed.Address] = t
	if !t.Leaving {
		b.listed++
	}
	b.tiers.place(t)
}

func (b *Balancer) groupOf(zone model.Zone) *group {
	g := b.groups[zone]
	if g == nil {
		g = &group{zone: zone, near: zone == b.zone}
		b.groups[zone] = g
	}
	return g
}

// drop forgets a target that is no longer listed.
func (b *Balancer) drop(t *target) {
	if !t.Leaving {
		b.retire(t)
	}
	t.gone = true
	b.tiers.place(t)
	t.group.remove(t)
	delete(b.targets, t.Address)
}

// retire takes a target that is leaving or gone out of the counts.
func (b *Balancer) retire(t *target) {
	b.listed--
	b.setState(t, Healthy)
	b.probes.remove(t)
}

// MarkLeaving stops new requests to the target at once.
func (b *Balancer) MarkLeaving(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[address]
	if t == nil || t.Leaving {
		return
	}
	t.Leaving = true
	b.retire(t)
	b.tiers.place(t)
}

// setState changes a target's state and the count of those that rest.
func (b *Balancer) setState(t *target, s State) {
	if rests(t.state) {
		b.resting--
	}
	t.state = s
	t.lastResort = false
	if rests(s) {
		b.resting++
	}
}

func rests(s State) bool { return s == Ejected || s == Suspect }

// Free returns how many slots are free on targets that may be chosen.
func (b *Balancer) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers.open
}

// Slots returns how many slots the targets that may be chosen have.
func (b *Balancer) Slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers.total()
}

// TargetState is what the balancer believes of one target, for metrics and
// operators.
type TargetState struct {
	Address string
	State   State
	Leaving bool
	// InFlight counts exchanges, and Held the slots of those given up as
	// silent that the target may still be at work on.
	InFlight int
	Held     int
	Slots    int
	// Allowance is how many of Slots may be used now.
	Allowance int
	// Latency and LongLatency are the fast and the slow average.
	Latency, LongLatency time.Duration
}

// Snapshot returns the state of every listed target, sorted by address.
func (b *Balancer) Snapshot() []TargetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := make([]TargetState, 0, len(b.targets))
	for _, t := range b.targets {
		states = append(states, TargetState{
			Address:     t.Address,
			State:       t.state,
			Leaving:     t.Leaving,
			InFlight:    t.inflight - t.held,
			Held:        t.held,
			Slots:       t.Slots,
			Allowance:   min(t.allowance, t.limit()),
			Latency:     time.Duration(t.fast),
			LongLatency: time.Duration(t.slow),
		})
	}
	slices.SortFunc(states, func(a, c TargetState) int { return cmp.Compare(a.Address, c.Address) })
	return states
}
