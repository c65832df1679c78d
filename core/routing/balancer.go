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
	// sinceProbe counts the calls of Pick since the last probe.
	sinceProbe    int
	listed        int // listed targets that are not leaving
	outOfRotation int // of the listed targets, how many are ejected or suspect
	failureRate   float64
	mean          float64 // mean latency of all responses, in nanoseconds
	deviation     float64 // mean absolute deviation from it, in nanoseconds
	// silenceFactor multiplies OverdueAfter and SilenceAfter. It grows with
	// each silence, so that responses that are rare and slow are not abandoned
	// again and again.
	silenceFactor         float64
	silenceFactorRaisedAt time.Time
	// overdueRate is the recent fraction of exchanges that become overdue.
	// trustSince applies to all targets and advances when that rate is high.
	overdueRate float64
	trustSince  time.Time
	recycled    []*Choice
	heldSlots   []*heldSlot
	nextHoldEnd time.Time // when the first of heldSlots ends
}

// New returns a balancer for an entry in zone.
func New(zone model.Zone, o Options) *Balancer {
	return &Balancer{
		o:       o.withDefaults(),
		zone:    zone,
		targets: make(map[string]*target),
		groups:  make(map[model.Zone]*group),

		silenceFactor: 1,
	}
}

// Update replaces the list of targets. A new target starts with one request at
// a time, and its allowance doubles with its responses. A target that is no
// longer listed receives no new requests, and its requests in flight finish. A
// target that was marked as leaving stays so while the list shows the same
// attempt, whether or not the list marks it, because lists may be outdated.
func (b *Balancer) Update(now time.Time, targets []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredHolds(now)
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Address] = true
		b.upsert(now, t)
	}
	for _, address := range b.unlisted(listed) {
		b.remove(b.targets[address])
	}
}

// unlisted returns the known addresses that are not listed. They are sorted, so
// that the order of removal does not depend on the order of a map.
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

func (b *Balancer) upsert(now time.Time, listed Target) {
	t := b.targets[listed.Address]
	if t != nil && (t.Task != listed.Task || t.Zone != listed.Zone) {
		b.remove(t)
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
		Target:      listed,
		allowance:   1,
		tier:        noTier,
		countedTier: noTier,
		position:    notPlaced,
		probeIndex:  notPlaced,
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

// remove removes a target that is no longer listed.
func (b *Balancer) remove(t *target) {
	if !t.Leaving {
		b.retire(t)
	}
	t.gone = true
	b.tiers.place(t)
	t.group.remove(t)
	delete(b.targets, t.Address)
}

// retire excludes a target that is leaving or removed from the counts and from
// probing.
func (b *Balancer) retire(t *target) {
	b.listed--
	b.setState(t, Healthy)
	b.probes.remove(t)
}

// MarkLeaving stops new requests to the target immediately.
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

// setState changes a target's state and maintains the count of targets out of
// rotation.
func (b *Balancer) setState(t *target, s State) {
	if isOutOfRotation(t.state) {
		b.outOfRotation--
	}
	t.state = s
	t.lastResort = false
	if isOutOfRotation(s) {
		b.outOfRotation++
	}
}

func isOutOfRotation(s State) bool { return s == Ejected || s == Suspect }

// Free returns how many slots are free on targets that may be chosen.
func (b *Balancer) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers.freeSlots
}

// Slots returns how many slots may be used on targets that may be chosen.
func (b *Balancer) Slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tiers.total()
}

// TargetState is the balancer's view of one target, for metrics and operators.
type TargetState struct {
	Address string
	State   State
	Leaving bool
	// InFlight counts exchanges, and Held counts the slots of exchanges
	// abandoned as silent that the target may still be processing.
	InFlight int
	Held     int
	Slots    int
	// Allowance is how many of Slots may be used now.
	Allowance int
	// Latency and LongLatency are the latency averages over recent responses
	// and over a longer period.
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
			Latency:     time.Duration(t.shortAverage),
			LongLatency: time.Duration(t.longAverage),
		})
	}
	slices.SortFunc(states, func(a, c TargetState) int { return cmp.Compare(a.Address, c.Address) })
	return states
}
