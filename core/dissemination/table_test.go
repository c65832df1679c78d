package dissemination_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/model"
)

func list(shard uint32, epoch int64, sequence uint64) *peerv1.ShardTargets {
	return &peerv1.ShardTargets{
		Shard: shard, Epoch: epoch, Sequence: sequence, Owner: fmt.Sprintf("d%03d", epoch%8),
		Targets: []*peerv1.Target{{
			Service: "orders", Task: fmt.Sprintf("orders@1/%d", shard), Attempt: uint32(epoch),
			Address: fmt.Sprintf("t%d", shard),
		}},
	}
}

type listVersion struct {
	epoch    int64
	sequence uint64
}

func versionOf(t *dissemination.Table, shard uint32) listVersion {
	l, ok := t.List(model.ShardID(shard))
	if !ok {
		return listVersion{}
	}
	return listVersion{l.GetEpoch(), l.GetSequence()}
}

func (n listVersion) less(o listVersion) bool {
	return n.epoch < o.epoch || n.epoch == o.epoch && n.sequence < o.sequence
}

// Whatever the order, loss and repetition of lists and digests, no table
// returns to an older list, and tables that exchange messages converge to the
// newest list of each shard.
func TestTablesConvergeAndNeverGoBack(t *testing.T) {
	const tables, shards = 4, 3
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("converge, never go back", prop.ForAll(func(steps []uint32) bool {
		w := newWorld(tables, shards)
		for _, s := range steps {
			if !w.step(s) {
				return false
			}
		}
		return w.heal()
	}, gen.SliceOfN(120, gen.UInt32())))
	properties.TestingRun(t)
}

// world is a set of tables and all lists published so far.
type world struct {
	tables  []*dissemination.Table
	newest  []listVersion
	written []*peerv1.ShardTargets
	rnd     *rand.Rand
}

func newWorld(tables, shards int) *world {
	w := &world{newest: make([]listVersion, shards), rnd: rand.New(rand.NewPCG(1, 2))}
	for range tables {
		w.tables = append(w.tables, dissemination.NewTable())
	}
	return w
}

// step publishes a list, delivers any list published before, or runs one half
// or both of an exchange. It reports whether no table returned to an older
// list.
func (w *world) step(s uint32) bool {
	before := w.versions()
	to := w.tables[s%uint32(len(w.tables))]
	from := w.tables[s>>4%uint32(len(w.tables))]
	shard := s >> 8 % uint32(len(w.newest))
	switch s >> 12 % 4 {
	case 0:
		w.publish(to, shard, s>>16%5 == 0)
	case 1:
		if len(w.written) > 0 {
			to.Merge(w.written[s>>16%uint32(len(w.written)):][:1])
		}
	case 2:
		from.NewerThan(to.Digest())
	case 3:
		exchange(to, from)
	}
	for i, n := range w.versions() {
		if n.less(before[i]) {
			return false
		}
	}
	return true
}

// publish makes the next list of a shard. A new owner has a higher epoch, and
// its sequence starts again.
func (w *world) publish(on *dissemination.Table, shard uint32, newOwner bool) {
	n := &w.newest[shard]
	if newOwner || n.epoch == 0 {
		*n = listVersion{n.epoch + 1, 0}
	}
	n.sequence++
	l := list(shard, n.epoch, n.sequence)
	on.PutOwn(l)
	w.written = append(w.written, l)
}

func exchange(a, b *dissemination.Table) {
	b.NoteDigest(a.Digest())
	a.Merge(b.NewerThan(a.Digest()))
	a.NoteDigest(b.Digest())
}

func (w *world) versions() []listVersion {
	var out []listVersion
	for _, t := range w.tables {
		for shard := range w.newest {
			out = append(out, versionOf(t, uint32(shard)))
		}
	}
	return out
}

// heal lets all tables exchange and reports whether all hold the newest lists.
func (w *world) heal() bool {
	for range 6 {
		for _, a := range w.tables {
			for _, b := range w.tables {
				exchange(a, b)
			}
		}
	}
	for _, t := range w.tables {
		for shard, want := range w.newest {
			if versionOf(t, uint32(shard)) != want {
				return false
			}
		}
		if !cmp.Equal(t.Digest()[0].GetSequence(), w.tables[0].Digest()[0].GetSequence()) {
			return false
		}
	}
	return true
}

// A list made before a leaving hint, which arrives after it, must not end the
// hint, or the target that left would get new requests again.
func TestHintOutlivesListsMadeBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	table := dissemination.NewTable()
	table.PutOwn(list(0, 1, 1))
	hint := &peerv1.LeavingTarget{Address: "t0", Task: "orders@1/0", Attempt: 1}
	if got := table.MarkLeaving(now, []*peerv1.LeavingTarget{hint}); len(got) != 1 {
		t.Fatal("the hint was not new")
	}
	if got := table.MarkLeaving(now, []*peerv1.LeavingTarget{hint}); len(got) != 0 {
		t.Error("a repeated hint would be pushed on again")
	}
	table.PutOwn(list(0, 1, 2))
	if !leaving(table) {
		t.Error("a list that still names the target ended the hint")
	}
	table.Expire(now.Add(dissemination.HintRetention + time.Second))
	if leaving(table) {
		t.Error("the hint does not expire")
	}
	table.MarkLeaving(now, []*peerv1.LeavingTarget{hint})
	table.PutOwn(list(0, 2, 1))
	if leaving(table) {
		t.Error("the hint is applied to the next attempt at the address")
	}
}

func leaving(t *dissemination.Table) bool {
	for _, target := range t.Targets() {
		return target.GetLeaving()
	}
	return false
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 50, 300} {
		var members []model.DaemonID
		for i := range size {
			members = append(members, model.DaemonID(fmt.Sprintf("d%03d", i)))
		}
		root := members[size/2]
		got := map[model.DaemonID]int{root: 1}
		for _, self := range members {
			children := dissemination.Children(root, self, members, 4)
			if len(children) > 4 {
				t.Errorf("%d children", len(children))
			}
			for _, child := range children {
				got[child]++
			}
		}
		for _, id := range members {
			if got[id] != 1 {
				t.Errorf("%d members: %s is reached %d times", size, id, got[id])
			}
		}
	}
}
