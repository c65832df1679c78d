package dissemination_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/membership/simnet"
	"github.com/guavarill/guavarill/core/model"
)

var seed = flag.Uint64("seed", 1, "seed of the virtual network")

// config is a configuration of which only the revision matters here.
type config struct{ revision uint64 }

func (c *config) Revision() uint64 { return c.revision }
func (c *config) Hash() uint64     { return c.revision * 7919 }
func (c *config) DeltaSince(rev uint64) *peerv1.ConfigDelta {
	if rev >= c.revision {
		return nil
	}
	return &peerv1.ConfigDelta{BaseRevision: rev, Revision: c.revision, Hash: c.Hash()}
}

func (c *config) apply(d *peerv1.ConfigDelta) (base uint64, installed bool) {
	if d.GetRevision() <= c.revision {
		return 0, false
	}
	base = c.revision
	c.revision = d.GetRevision()
	return base, true
}

// daemon is one daemon with all parts that distribute changes.
type daemon struct {
	f           *fleet
	id          string
	machine     *membership.Machine
	table       *dissemination.Table
	config      *config
	composer    *dissemination.Composer
	broadcaster *dissemination.Broadcaster
	bytes       int
	sent        int
	// learned are the times at which lists, hints and configurations arrived.
	learned map[string]time.Time
}

type fleet struct {
	net     *simnet.Net
	daemons []*daemon
	byID    map[model.DaemonID]*daemon
	list    []model.VM
}

func newFleet(size int) *fleet {
	f := &fleet{net: simnet.New(*seed), byID: make(map[model.DaemonID]*daemon)}
	for i := range size {
		id := fmt.Sprintf("d%03d", i)
		f.list = append(f.list, model.VM{ID: model.WorkerID(id), Role: model.RoleEntry, Address: id})
	}
	for _, vm := range f.list {
		f.start(string(vm.ID))
	}
	f.net.Run(time.Minute)
	return f
}

func (f *fleet) start(id string) *daemon {
	d := &daemon{
		f: f, id: id,
		machine: membership.New(membership.Member{
			ID: model.DaemonID(id), Address: id, Started: f.net.Now(),
		}, membership.Options{}),
		table: dissemination.NewTable(), config: &config{},
		broadcaster: dissemination.NewBroadcaster(model.DaemonID(id), 0),
		learned:     make(map[string]time.Time),
	}
	d.composer = dissemination.NewComposer("test", 1, 0, d.machine, d.table, d.config)
	f.daemons = append(f.daemons, d)
	f.byID[model.DaemonID(id)] = d
	f.net.Every(id, 100*time.Millisecond, func() { d.step(membership.Tick{Random: f.net.Rand.Uint64()}) })
	f.net.Every(id, time.Second, func() { d.table.Expire(f.net.Now()) })
	f.net.After(id, 0, func() { d.step(membership.VMsListed{VMs: f.list}) })
	return d
}

func (d *daemon) step(ev membership.Event) {
	for _, cmd := range d.machine.Step(d.f.net.Now(), ev) {
		switch cmd := cmd.(type) {
		case membership.ExchangeWith:
			d.call(cmd.Peer, cmd.Timeout, d.composer.Request(cmd.Peer), func(bool) {})
		case membership.Changed:
			v := d.machine.View()
			d.broadcaster.SetMembers(append(v.Candidates(), leavers(v)...))
		}
	}
}

func leavers(v *membership.View) []model.DaemonID {
	var out []model.DaemonID
	for _, m := range v.Members {
		if m.State == membership.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

func (d *daemon) push() {
	for _, p := range d.broadcaster.Next() {
		d.call(p.Peer, 750*time.Millisecond, d.composer.PushRequest(p), func(ok bool) {
			d.broadcaster.PushDone(p.Peer, ok)
			d.push()
		})
	}
}

func (d *daemon) call(peer model.DaemonID, timeout time.Duration, req *peerv1.ExchangeRequest, done func(ok bool)) {
	d.count(req)
	to := d.f.byID[peer]
	simnet.Call(d.f.net, d.id, to.id, timeout, func() *peerv1.ExchangeResponse {
		return to.serve(req)
	}, func(resp *peerv1.ExchangeResponse, err error) {
		d.step(membership.ExchangeDone{Peer: peer, Resp: resp, Err: err})
		if err == nil {
			d.note(d.composer.MergeResponse(d.f.net.Now(), resp), resp.GetConfig())
		}
		done(err == nil)
	})
}

func (d *daemon) serve(req *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	d.step(membership.Received{From: req.GetSender(), Members: req.GetMembers()})
	taken := d.composer.MergeRequest(d.f.net.Now(), req)
	d.broadcaster.ListsChanged(taken.Lists)
	d.broadcaster.HintsAdded(taken.Leaving, false)
	if base, installed := d.config.apply(req.GetConfig()); installed {
		d.broadcaster.ConfigChanged(base, d.config.revision, false)
	}
	d.note(taken, nil)
	resp := d.composer.Response(req)
	d.count(resp)
	d.push()
	return resp
}

func (d *daemon) note(taken dissemination.Changes, delta *peerv1.ConfigDelta) {
	d.config.apply(delta)
	now := d.f.net.Now()
	for _, l := range taken.Lists {
		d.learned[listKey(l.GetShard(), l.GetSequence())] = now
	}
	for _, h := range taken.Leaving {
		d.learned["hint "+h.GetAddress()] = now
	}
	key := fmt.Sprint("config ", d.config.revision)
	if _, ok := d.learned[key]; !ok {
		d.learned[key] = now
	}
}

func (d *daemon) count(m proto.Message) {
	d.bytes += proto.Size(m)
	d.sent++
}

// awaitSpread runs until a change has reached all running daemons and returns
// how long that took.
func (f *fleet) awaitSpread(t *testing.T, key string, from time.Time, limit time.Duration) (median, worst time.Duration) {
	t.Helper()
	done := func() bool {
		for _, d := range f.daemons {
			if _, ok := d.learned[key]; !ok && !f.net.Down(d.id) {
				return false
			}
		}
		return true
	}
	if !f.net.RunUntil(limit, done) {
		t.Fatalf("%s: not everywhere after %s", key, limit)
	}
	var took []time.Duration
	for _, d := range f.daemons {
		if !f.net.Down(d.id) {
			took = append(took, d.learned[key].Sub(from))
		}
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)-1]
}

// publish makes a list of n targets on the daemon and pushes it.
func (d *daemon) publish(shard uint32, sequence uint64, n int) time.Time {
	l := &peerv1.ShardTargets{Shard: shard, Epoch: 1, Sequence: sequence, Owner: d.id}
	for i := range n {
		l.Targets = append(l.Targets, &peerv1.Target{
			Service: "orders", Task: fmt.Sprintf("orders@1/%d", i), Attempt: 1,
			Address: fmt.Sprintf("10.0.%d.%d:8080", shard, i), Worker: fmt.Sprintf("w%d", i), AvailabilityZone: "a",
		})
	}
	d.table.PutOwn(l)
	d.learned[listKey(shard, sequence)] = d.f.net.Now()
	d.broadcaster.ListsChanged([]*peerv1.ShardTargets{l})
	d.push()
	return d.f.net.Now()
}

// Changes of a list, a hint and the configuration must reach all daemons within
// seconds although some daemons on the tree are dead and not yet known to be.
// Otherwise a push would end at a dead daemon, and entries would use stale
// lists.
func TestChangeReachesEveryDaemon(t *testing.T) {
	for _, size := range []int{3, 8, 50, 200} {
		for _, dead := range slices.Compact([]int{0, size / 10, size / 3}) {
			t.Run(fmt.Sprintf("%d daemons %d dead", size, dead), func(t *testing.T) {
				f := newFleet(size)
				for i := range dead {
					f.net.Kill(f.daemons[1+i*(size-1)/dead].id)
				}
				median, worst := f.awaitSpread(t, listKey(0, 1), f.daemons[0].publish(0, 1, 20), 10*time.Second)
				report(t, "list", dead, median, worst)
				from := f.net.Now()
				d := f.daemons[0]
				hint := []*peerv1.LeavingTarget{{Address: "10.0.0.1:8080", Task: "orders@1/1", Attempt: 1}}
				d.broadcaster.HintsAdded(d.table.MarkLeaving(from, hint), true)
				d.learned["hint 10.0.0.1:8080"] = from
				d.push()
				median, worst = f.awaitSpread(t, "hint 10.0.0.1:8080", from, 10*time.Second)
				report(t, "hint", dead, median, worst)
				from = f.net.Now()
				d.config.revision = 1
				d.broadcaster.ConfigChanged(0, 1, true)
				d.note(dissemination.Changes{}, nil)
				d.push()
				median, worst = f.awaitSpread(t, "config 1", from, 10*time.Second)
				report(t, "config", dead, median, worst)
			})
		}
	}
}

// A daemon that misses a push must get the list by repair, even if no further
// push follows. This requires daemons to compare the versions that they hold.
func TestLostPushIsRepaired(t *testing.T) {
	for _, size := range []int{3, 8, 50, 200} {
		f := newFleet(size)
		for shard := range uint32(40) {
			f.daemons[0].publish(shard, 1, 5)
		}
		f.net.Run(10 * time.Second)
		missed := f.daemons[size-1]
		f.net.Cut = func(a, b string) bool { return a == missed.id || b == missed.id }
		f.daemons[0].publish(7, 2, 5)
		f.net.Run(2 * time.Second)
		f.net.Cut = func(a, b string) bool { return false }
		_, worst := f.awaitSpread(t, listKey(7, 2), f.net.Now(), 20*time.Second)
		t.Logf("%d daemons: repaired %s after the link was back", size, worst)
	}
}

// A daemon that starts among daemons that hold 220 lists must get all of them
// soon. It would serve no requests for minutes if it learned of them a few at a
// time.
func TestNewDaemonCatchesUp(t *testing.T) {
	f := newFleet(8)
	for shard := range uint32(220) {
		f.daemons[shard%8].publish(shard, 1, 118)
	}
	f.net.Run(20 * time.Second)
	f.list = append(f.list, model.VM{ID: "new", Role: model.RoleEntry, Address: "new"})
	d := f.start("new")
	begin := f.net.Now()
	if !f.net.RunUntil(time.Minute, func() bool { return d.table.Len() == 220 }) {
		t.Fatalf("%d lists after a minute", d.table.Len())
	}
	t.Logf("220 lists of 118 targets held %s after the start", f.net.Now().Sub(begin))
}

// Control traffic must stay within 4 KB/s per daemon in a fleet of up to 300
// daemons, idle and with changes. It would exceed that with full digests in
// every message, or if changes were sent more often than needed.
func TestTrafficPerDaemon(t *testing.T) {
	const changes = 20
	for _, size := range []int{3, 8, 50, 200, 300} {
		f := newFleet(size)
		for shard := range uint32(220) {
			f.daemons[int(shard)%size].publish(shard, 1, 1)
		}
		const seconds, busySeconds = 60, changes + 10
		f.net.Run(time.Minute)
		idle, idleSent, idleMost := f.traffic(seconds * time.Second)
		f.reset()
		for i := range changes {
			f.daemons[i%size].publish(uint32(i), 2, 118)
			f.net.Run(time.Second)
		}
		f.net.Run(10 * time.Second)
		busy, busySent, _ := f.traffic(0)
		perChange := (float64(busy) - float64(idle)*busySeconds/seconds) / changes / float64(size)
		list, _ := f.daemons[0].table.List(0)
		t.Logf("%d daemons: idle %.0f B/s (busiest %d B/s) and %.2f messages/s; a change of %d B: %.0f B and %.2f messages a daemon",
			size, float64(idle)/float64(size)/seconds, idleMost/seconds, float64(idleSent)/float64(size)/seconds,
			proto.Size(list), perChange, (float64(busySent)-float64(idleSent)*busySeconds/seconds)/changes/float64(size))
		if idleMost/seconds > 1024 || idle/size/seconds > 300 {
			t.Errorf("%d daemons: %d B/s idle, %d B/s the busiest", size, idle/size/seconds, idleMost/seconds)
		}
		if perChange > 2*float64(proto.Size(list)) {
			t.Errorf("%d daemons: %.0f B per change of %d B", size, perChange, proto.Size(list))
		}
	}
}

func (f *fleet) reset() {
	for _, d := range f.daemons {
		d.bytes, d.sent = 0, 0
	}
}

// traffic returns what all daemons together, and the busiest one, sent during
// the given time, or since reset if it is 0.
func (f *fleet) traffic(during time.Duration) (bytes, sent, most int) {
	if during > 0 {
		f.reset()
		f.net.Run(during)
	}
	for _, d := range f.daemons {
		bytes += d.bytes
		sent += d.sent
		most = max(most, d.bytes)
	}
	return bytes, sent, most
}

func listKey(shard uint32, sequence uint64) string {
	return fmt.Sprintf("list %d/%d", shard, sequence)
}

// report logs how a change spread and checks it against its limits: 100 ms
// while all daemons respond, and the 6 s of a configuration while some are
// dead.
func report(t *testing.T, what string, dead int, median, worst time.Duration) {
	t.Helper()
	t.Logf("%s: median %s worst %s", what, median, worst)
	limit := 6 * time.Second
	if dead == 0 {
		limit = 100 * time.Millisecond
	}
	if worst > limit {
		t.Errorf("%s known everywhere only after %s", what, worst)
	}
}
