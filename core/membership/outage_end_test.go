package membership_test

import (
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/membership/simnet"
	"github.com/guavarill/guavarill/core/model"
)

// storeReport is a member's response: when the exchange was started, when the
// response was received, and for how long the member has reported a responding
// store.
type storeReport struct {
	started, received, ok time.Duration
}

// storeMachine is a machine that knows the peers a, b, c and d.
type storeMachine struct {
	*membership.Machine
}

func at(d time.Duration) time.Time { return simnet.Start.Add(d) }

func newStoreMachine(listed ...string) storeMachine {
	m := membership.New(membership.Member{ID: "self", Address: "at-self", Started: simnet.Start}, membership.Options{})
	vms := []model.VM{{ID: "self", Role: model.RoleEntry, Address: "at-self"}}
	for _, id := range listed {
		vms = append(vms, model.VM{ID: model.WorkerID(id), Role: model.RoleEntry, Address: "at-" + id})
	}
	m.Step(simnet.Start, membership.VMsListed{VMs: vms})
	for _, id := range []string{"a", "b", "c", "d"} {
		m.Step(simnet.Start, membership.Received{From: peer(id, 100, alive)})
	}
	return storeMachine{m}
}

// report lets a member respond to an exchange.
func (m storeMachine) report(id string, s storeReport, silent time.Duration) {
	from := peer(id, 100, alive)
	from.StoreOkMillis, from.StoreSilentMillis = s.ok.Milliseconds(), silent.Milliseconds()
	m.Step(at(s.received), membership.ExchangeDone{
		Peer: model.DaemonID(id), Started: at(s.started), Resp: &peerv1.ExchangeResponse{Sender: from},
	})
}

// A new owner must not take over tasks while its predecessor may still renew
// their leases with a majority that finds the store silent. Members count only
// if their reported spans cover one common period of the required length.
func TestOutageRenewalsEnded(t *testing.T) {
	const after, wait = 100 * time.Second, 50 * time.Second
	long := storeReport{155 * time.Second, 156 * time.Second, 150 * time.Second}
	cases := map[string]struct {
		b    storeReport
		want bool
	}{
		"all the time":                {long, true},
		"started just in time":        {storeReport{150 * time.Second, 151 * time.Second, 150 * time.Second}, true},
		"started too early":           {storeReport{150*time.Second - 1, 156 * time.Second, 150 * time.Second}, false},
		"responding since the last S": {storeReport{155 * time.Second, 155 * time.Second, 50 * time.Second}, true},
		"responding since later":      {storeReport{155 * time.Second, 155 * time.Second, 50*time.Second - time.Millisecond}, false},
		"the response was delayed":    {storeReport{155 * time.Second, 157 * time.Second, 51 * time.Second}, false},
		"another time than the rest":  {storeReport{250 * time.Second, 251 * time.Second, 60 * time.Second}, false},
		"silent":                      {storeReport{155 * time.Second, 156 * time.Second, 0}, false},
		"reports an hour back":        {storeReport{time.Hour, time.Hour, time.Hour}, false},
	}
	for name, c := range cases {
		m := newStoreMachine("a", "b", "c", "d")
		m.Step(at(0), membership.LocalState{})
		m.report("a", long, 0)
		m.report("b", c.b, 0)
		if got := m.OutageRenewalsEnded(at(after), wait); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// The majority must be one of the known members. Listed members that have not
// been contacted count towards its size, messages of unknown age do not count
// as reports, and a silent store at this daemon ends its own span.
func TestOutageRenewalsEndedCountsKnownMembersOnly(t *testing.T) {
	const after, wait = 100 * time.Second, 50 * time.Second
	long := storeReport{155 * time.Second, 156 * time.Second, 150 * time.Second}
	unlisted := membership.New(membership.Member{ID: "self", Started: simnet.Start}, membership.Options{})
	unlisted.Step(at(0), membership.LocalState{})
	unlisted.Step(at(200*time.Second), membership.LocalState{})
	if unlisted.OutageRenewalsEnded(at(after), wait) {
		t.Error("a daemon without a list counts as a majority")
	}
	alone := newStoreMachine()
	if alone.Step(at(0), membership.LocalState{}); alone.OutageRenewalsEnded(at(0), 0) {
		t.Error("one of five is a majority")
	}
	unmet := newStoreMachine("a", "b", "c", "d", "e", "f")
	unmet.Step(at(0), membership.LocalState{})
	unmet.report("a", long, 0)
	unmet.report("b", long, 0)
	if unmet.OutageRenewalsEnded(at(after), wait) {
		t.Error("listed daemons that were not contacted do not count as known")
	}
	unmet.report("c", long, 0)
	if !unmet.OutageRenewalsEnded(at(after), wait) {
		t.Error("four of seven do not count as a majority")
	}
	unasked := newStoreMachine("a", "b", "c", "d")
	unasked.Step(at(0), membership.LocalState{})
	for _, id := range []string{"a", "b", "c", "d"} {
		from := peer(id, 100, alive)
		from.StoreOkMillis = 150_000
		unasked.Step(at(156*time.Second), membership.Received{From: from})
	}
	if unasked.OutageRenewalsEnded(at(after), wait) {
		t.Error("messages of unknown age count")
	}
	for _, silent := range []time.Duration{0, time.Minute} {
		self := newStoreMachine("a", "b", "c", "d")
		self.Step(at(0), membership.LocalState{})
		self.Step(at(120*time.Second), membership.LocalState{StoreSilent: silent})
		self.Step(at(121*time.Second), membership.LocalState{})
		self.report("a", long, 0)
		self.report("b", long, 0)
		if got := self.OutageRenewalsEnded(at(after), wait); got != (silent == 0) {
			t.Errorf("after a silence of %s here: %v", silent, got)
		}
	}
}

// The time of an outage's confirmation must be that of the oldest response
// needed for a majority, not of the most recent one, or an owner would renew
// leases on confirmations that are too old.
func TestStoreSilentAtIsTheOldestNeeded(t *testing.T) {
	m := newStoreMachine("a", "b", "c", "d")
	m.Step(at(100*time.Second), membership.LocalState{StoreSilent: 10 * time.Second})
	m.report("a", storeReport{started: 80 * time.Second, received: 81 * time.Second}, 20*time.Second)
	if got := m.StoreSilentAt(); !got.IsZero() {
		t.Errorf("two of five: %v", got)
	}
	m.report("b", storeReport{started: 95 * time.Second, received: 101 * time.Second}, 20*time.Second)
	if got := m.StoreSilentAt(); !got.Equal(at(80 * time.Second)) {
		t.Errorf("three of five: %v", got)
	}
	m.report("c", storeReport{started: 90 * time.Second, received: 101 * time.Second}, 20*time.Second)
	if got := m.StoreSilentAt(); !got.Equal(at(90 * time.Second)) {
		t.Errorf("four of five: %v", got)
	}
	if !m.StoreSilentMajority(at(110*time.Second)) || m.StoreSilentMajority(at(110*time.Second+1)) {
		t.Error("a confirmation does not count for OutageGrace")
	}
	m.report("c", storeReport{started: 102 * time.Second, received: 102 * time.Second, ok: time.Second}, 0)
	if got := m.StoreSilentAt(); !got.Equal(at(80 * time.Second)) {
		t.Errorf("after c's store responded: %v", got)
	}
	m.Step(at(103*time.Second), membership.LocalState{})
	if got := m.StoreSilentAt(); !got.IsZero() {
		t.Errorf("after this daemon's own store responded: %v", got)
	}
}

// takeover is a change of owner at a time, whose new owner waits until all
// renewals of earlier owners have ended.
type takeover struct {
	by    int
	after time.Time
	over  bool
}

// TestFlappingStoreNeverLetsBothAct guards against two owners that both renew tasks
// of one worker, and against a task that starts elsewhere while its old owner renews
// it. Daemons lose the store and each other at random; before a takeover is cleared,
// no daemon may have a majority for a silent store for the length of a lease.
func TestFlappingStoreNeverLetsBothAct(t *testing.T) {
	for _, size := range []int{2, 3, 4, 5, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			confirmed, proved := 0, 0
			for s := range uint64(4) {
				f := newFlapping(size, *seed+s)
				f.run(t, 10*time.Minute)
				confirmed += f.confirmed
				proved += f.ended
			}
			t.Logf("%d daemons: an outage confirmed in %d ticks, %d takeovers cleared", size, confirmed, proved)
			if confirmed == 0 || proved == 0 {
				t.Error("no outage was confirmed or no takeover was cleared")
			}
		})
	}
}

const (
	flapGrace = 5 * time.Second
	flapLease = 6 * time.Second
)

// flapping is a cluster whose daemons lose the store and the paths to each
// other.
type flapping struct {
	*cluster
	silentUntil map[string]time.Time
	answered    map[string]time.Time
	cutUntil    map[[2]string]time.Time
	// majority are the ticks at which some daemon had a majority for a silent
	// store.
	majority  []time.Time
	takeovers []*takeover
	confirmed int
	ended     int
}

func newFlapping(size int, seed uint64) *flapping {
	f := &flapping{
		cluster: newClusterWith(size, 2, seed, membership.Options{
			OutageGrace: flapGrace, StoreSilentAfter: time.Second,
			// The result is valid only while the views agree on the known members.
			SuspicionTimeout: time.Hour,
		}),
		silentUntil: make(map[string]time.Time),
		answered:    make(map[string]time.Time),
		cutUntil:    make(map[[2]string]time.Time),
	}
	f.net.Loss = 0.05
	f.net.Cut = func(a, b string) bool {
		if a > b {
			a, b = b, a
		}
		return f.net.Now().Before(f.cutUntil[[2]string{a, b}])
	}
	return f
}

func (f *flapping) run(t *testing.T, length time.Duration) {
	f.settle(t)
	for begin := f.net.Now(); f.net.Now().Sub(begin) < length; {
		f.injectFaults()
		f.net.Run(tickEvery)
		f.updateStoreStates()
		f.checkTakeovers(t)
	}
}

// injectFaults makes the store silent for random daemons and cuts random paths.
// Now and then the store becomes silent for most daemons.
func (f *flapping) injectFaults() {
	now, random := f.net.Now(), f.net.Rand
	for _, n := range f.nodes {
		if random.IntN(400) == 0 {
			f.silentUntil[n.name] = now.Add(time.Duration(random.Int64N(int64(15 * time.Second))))
		}
		other := f.nodes[random.IntN(len(f.nodes))].name
		if random.IntN(600) == 0 && other > n.name {
			f.cutUntil[[2]string{n.name, other}] = now.Add(time.Duration(random.Int64N(int64(10 * time.Second))))
		}
	}
	if random.IntN(600) == 0 {
		for _, n := range f.nodes[:len(f.nodes)/2+1] {
			f.silentUntil[n.name] = now.Add(time.Duration(random.Int64N(int64(20 * time.Second))))
		}
	}
	if random.IntN(50) == 0 {
		f.takeovers = append(f.takeovers, &takeover{by: random.IntN(len(f.nodes)), after: now})
	}
}

func (f *flapping) updateStoreStates() {
	now := f.net.Now()
	for _, n := range f.nodes {
		if !now.Before(f.silentUntil[n.name]) {
			f.answered[n.name] = now
		}
		n.step(membership.LocalState{StoreSilent: now.Sub(f.answered[n.name]), AwaitsMajority: true})
	}
}

// checkTakeovers polls the open takeovers and checks each that is cleared.
func (f *flapping) checkTakeovers(t *testing.T) {
	now := f.net.Now()
	for _, n := range f.nodes {
		if n.machine.StoreSilentMajority(now) {
			f.confirmed++
			f.majority = append(f.majority, now)
			break
		}
	}
	for _, q := range f.takeovers {
		if q.over || !f.nodes[q.by].machine.OutageRenewalsEnded(q.after, flapGrace+flapLease) {
			continue
		}
		q.over = true
		f.ended++
		if !f.hadLeaseWithoutMajority(q.after, now) {
			t.Fatalf("%s after a takeover it was cleared, but there was no period of %s in which no daemon had a majority",
				now.Sub(q.after), flapLease)
		}
	}
}

// hadLeaseWithoutMajority reports whether, between the two times, there was a
// lease's length in which no daemon had a majority for a silent store.
func (f *flapping) hadLeaseWithoutMajority(from, to time.Time) bool {
	last := from
	for _, at := range f.majority {
		if at.Before(from) {
			continue
		}
		if at.Sub(last) >= flapLease {
			return true
		}
		last = at
	}
	return to.Sub(last) >= flapLease
}

// After the loss of a zone, tasks must not wait much longer than their leases
// in a large cluster than in a small one. A daemon that waits for a majority
// must therefore contact more than one peer per second.
func TestOutageRenewalsEndedIsPrompt(t *testing.T) {
	const wait = 53 * time.Second
	for _, size := range []int{3, 9, 51, 300} {
		c := newCluster(size, 3, *seed)
		c.settle(t)
		for _, n := range c.nodes {
			n.step(membership.LocalState{})
		}
		for i, n := range c.nodes {
			if c.zone(i) == "z0" {
				c.net.Kill(n.name)
			}
		}
		owner, lost := c.nodes[1], c.net.Now()
		c.net.Run(wait - tickEvery)
		if owner.machine.OutageRenewalsEnded(lost, wait) {
			t.Fatalf("%d daemons: cleared before its time", size)
		}
		owner.step(membership.LocalState{AwaitsMajority: true})
		known := func() bool { return owner.machine.OutageRenewalsEnded(lost, wait) }
		if !c.net.RunUntil(20*time.Second, known) {
			t.Errorf("%d daemons: not cleared 20 s after its time", size)
		}
		t.Logf("%d daemons: cleared %s after its time", size, c.net.Now().Sub(lost)-wait)
	}
}
