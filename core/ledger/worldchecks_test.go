package ledger_test

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// observe checks the stored state after a revision of the store.
func (w *world) observe(ops []port.Op) {
	places := make(map[model.TaskKey]int)
	seen := make(map[model.TaskKey]bool)
	for shard := range worldShards {
		id := model.ShardID(shard)
		w.observeShard(id, touches(ops, id), places, seen)
	}
	for key, n := range places {
		if n > 1 {
			w.fail("task %s is in %d places", key, n)
		}
	}
	w.observeOps(ops, seen)
	for key := range w.live {
		if places[key] == 0 && !seen[key] {
			w.fail("task %s is lost", key)
		}
	}
	w.live = make(map[model.TaskKey]bool)
	for key := range places {
		w.live[key] = true
	}
}

func touches(ops []port.Op, shard model.ShardID) bool {
	return slices.ContainsFunc(ops, func(op port.Op) bool {
		return strings.HasPrefix(op.Key, ledger.ShardPrefix(prefix, shard)+"ledger/")
	})
}

// observeShard counts, per task that has not ended, the places where it is recorded, and
// adds the tasks that have ended to over.
func (w *world) observeShard(shard model.ShardID, changed bool, places map[model.TaskKey]int, over map[model.TaskKey]bool) {
	kvs := w.store.list(ledger.ShardPrefix(prefix, shard))
	stored, err := ledger.Read(prefix, shard, kvs)
	if err != nil {
		w.fail("shard %d: %v", shard, err)
		return
	}
	w.owners[shard] = int64(stored.Epoch)
	if changed {
		w.noteHistory(shard, stored.Contents)
	}
	for t := range stored.Contents.Tasks() {
		w.observeTask(t)
		switch {
		case t.State.Terminal():
			over[t.Key] = true
		case t.State != ledger.Moved:
			places[t.Key]++
		}
	}
	for _, item := range stored.Inbox {
		w.observeTask(item.Task)
		places[item.Task.Key]++
	}
}

func (w *world) noteHistory(shard model.ShardID, c *ledger.Contents) {
	sequence, text := c.Sequence(), dump(c)
	if before, ok := w.history[shard][sequence]; ok && before != text {
		w.fail("shard %d changed at sequence %d:\n%s\nthen\n%s", shard, sequence, before, text)
	}
	w.history[shard][sequence] = text
}

func (w *world) observeTask(t ledger.Task) {
	if t.State != ledger.Moved && t.Attempt < w.attempts[t.Key] {
		w.fail("task %s fell back from attempt %d to %d", t.Key, w.attempts[t.Key], t.Attempt)
	}
	w.attempts[t.Key] = max(w.attempts[t.Key], t.Attempt)
	if !t.State.HoldsRoom() {
		return
	}
	if worker, ok := w.placed[t.AttemptKey()]; ok && worker != t.Worker {
		w.fail("attempt %s is on %s and on %s", t.AttemptKey(), worker, t.Worker)
	}
	w.placed[t.AttemptKey()] = t.Worker
}

// observeOps checks that deltas were written under the epoch of the current owner, and that
// no change is written that was reported as not committed. Tasks that a delta removes ended
// in the same delta or before.
func (w *world) observeOps(ops []port.Op, over map[model.TaskKey]bool) {
	for _, op := range ops {
		if op.Delete || !strings.Contains(op.Key, "/ledger/delta/") {
			continue
		}
		var shard int
		fmt.Sscanf(op.Key, prefix+"shard/%d/", &shard)
		d := &ledgerv1.Delta{}
		if err := proto.Unmarshal(op.Value, d); err != nil {
			w.fail("delta: %v", err)
		}
		if d.GetEpoch() != w.owners[shard] {
			w.fail("shard %d: commit under epoch %d of owner %d", shard, d.GetEpoch(), w.owners[shard])
		}
		for _, k := range d.GetRemoved() {
			over[model.TaskKey{Workload: k.GetWorkload(), Generation: k.GetGeneration(), Index: k.GetIndex()}] = true
		}
		for _, t := range d.GetTasks() {
			if w.notCommitted[t.GetReason()] {
				w.fail("%q was dropped as not committed, and then committed", t.GetReason())
			}
		}
	}
}

// checkOneOwner checks that no two daemons may commit for one shard.
func (w *world) checkOneOwner() {
	ownerOf := make(map[model.ShardID]model.DaemonID)
	for _, d := range w.daemons {
		if !d.owner.MayCommit(w.now) {
			continue
		}
		for _, shard := range d.owner.Owned() {
			if other, ok := ownerOf[shard]; ok {
				w.fail("%s and %s both own shard %d", other, d.name, shard)
			}
			ownerOf[shard] = d.name
		}
	}
}

// checkContents checks that the committed contents of an owner equal the stored contents at
// the same sequence.
func (w *world) checkContents(d *daemon, shard model.ShardID) {
	l := d.ledgers[shard]
	if l.Phase() != ledger.Active && l.Phase() != ledger.Resolving {
		return
	}
	have := dump(l.Contents())
	if want := w.history[shard][l.Contents().Sequence()]; have != want {
		w.fail("%s shard %d at sequence %d holds\n%s\nstore held\n%s",
			d.name, shard, l.Contents().Sequence(), have, want)
	}
}

func dump(c *ledger.Contents) string {
	var b strings.Builder
	for t := range c.Tasks() {
		fmt.Fprintln(&b, t.Key, t.State, t.Attempt, t.Worker, t.Size, t.Reason, t.Resume, t.MovedTo)
	}
	for _, q := range c.Quarantines() {
		fmt.Fprintf(&b, "%+v\n", q)
	}
	for _, worker := range c.Workers() {
		fmt.Fprintf(&b, "%s %s\n", worker, c.Committed(worker))
	}
	return b.String()
}

func (w *world) checkHealed(shard model.ShardID) {
	active := 0
	for _, d := range w.daemons {
		l := d.ledgers[shard]
		if l.Phase() != ledger.Active {
			continue
		}
		active++
		if dump(l.Effective()) != dump(l.Contents()) {
			w.fail("shard %d: uncommitted changes after the faults", shard)
		}
	}
	if active != 1 {
		w.fail("shard %d: %d active owners after the faults", shard, active)
	}
	if items := w.store.list(ledger.InboxPrefix(prefix, shard)); len(items) > 0 {
		w.fail("shard %d: %d tasks left in the inbox", shard, len(items))
	}
}
