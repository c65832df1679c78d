package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
)

// act performs one random action, selected by op.
func (w *world) act(op uint64) {
	kind, choice := op%64, int(op>>8&0xffff)
	switch {
	case kind < 20:
		w.deliverCall(choice, kind == 0)
	case kind < 40:
		w.deliverAnswer(choice, kind == 20)
	case kind == 40:
		w.abandonCall(choice)
	case kind == 41:
		w.executeLate(choice)
	case kind == 42:
		d := w.daemons[choice%len(w.daemons)]
		d.paused = !d.paused && choice/2%4 == 0
	case kind == 43:
		w.changeMembers(choice)
	case kind == 44:
		w.advance([]time.Duration{leaseTTL, time.Second, time.Second, time.Second}[choice%4])
	case kind < 50:
		w.advance(step)
	default:
		w.proposeRandom(op >> 8)
	}
}

// changeMembers changes a daemon's view of the members: both daemons are alive, or only
// itself.
func (w *world) changeMembers(choice int) {
	d := w.daemons[choice%len(w.daemons)]
	if d.paused {
		return
	}
	views := [][]model.DaemonID{{"d1", "d2"}, {"d1", "d2"}, {"d1", "d2"}, {d.name}}
	w.owner(d, ownership.Members{Candidates: views[choice/2%len(views)]})
}

// proposeRandom proposes a change, which may be invalid, to a random ledger.
func (w *world) proposeRandom(op uint64) {
	d := w.daemons[op%2]
	shard := model.ShardID(op >> 1 % worldShards)
	l := d.ledgers[shard]
	if d.paused || l.Phase() == ledger.Idle {
		return
	}
	key := w.pickTask(l.Effective(), shard, op>>2)
	if c, ok := w.randomChange(l.Effective(), shard, key, op>>6); ok {
		w.ledger(d, shard, ledger.Propose{Changes: []ledger.Change{c}, Urgent: op>>5%4 == 0})
	}
}

// pickTask returns a task of the ledger or, while the ledger has few tasks, possibly a new
// one. Each task is created in only one shard, as in the acceptance of a configuration.
func (w *world) pickTask(view *ledger.Contents, shard model.ShardID, op uint64) model.TaskKey {
	var keys []model.TaskKey
	for t := range view.Tasks() {
		keys = append(keys, t.Key)
	}
	if len(keys) < worldTasks {
		w.created++
		index := uint32(w.created)*worldShards + uint32(shard)
		keys = append(keys, model.TaskKey{Workload: "w", Generation: 1, Index: index})
	}
	return keys[op%uint64(len(keys))]
}

func (w *world) randomChange(view *ledger.Contents, shard model.ShardID, key model.TaskKey, op uint64) (ledger.Change, bool) {
	t, known := view.Task(key)
	w.labels++
	t.Reason = fmt.Sprintf("change %d", w.labels)
	t.Size = model.Resources{MilliCPU: 1000, MemoryMB: 100}
	if !known {
		t.Key, t.State = key, ledger.Pending
		return ledger.Change{Put: &t}, true
	}
	switch op % 8 {
	case 0:
		t.Worker, t.MovedTo = "", 0
		return ledger.Change{Handoff: &ledger.Handoff{Task: t, To: 1 - shard}}, true
	case 1:
		return ledger.Change{Remove: &key}, true
	case 2:
		worker := model.WorkerID(fmt.Sprintf("v%d", op>>3%2))
		until := w.now.Add(time.Duration(op>>4%2) * time.Minute)
		if op>>5%2 == 0 {
			until = time.Time{}
		}
		return ledger.Change{Quarantine: &ledger.Quarantine{Worker: worker, Until: until, Level: 1}}, true
	}
	t.State = w.randomState(t.State, op>>3)
	t.Resume = t.State == ledger.Stopping
	switch t.State {
	case ledger.Assigned:
		t.Attempt++
		t.Worker = model.WorkerID(fmt.Sprintf("v%d", op>>8%3))
	case ledger.Pending:
		t.Worker = ""
	}
	switch op >> 10 % 16 {
	case 0:
		t.Attempt++
	case 1:
		t.Attempt = max(t.Attempt, 1) - 1
	case 2:
		t.Worker = "v3"
	}
	return ledger.Change{Put: &t}, true
}

// randomState returns a state that is mostly allowed after from.
func (w *world) randomState(from ledger.State, op uint64) ledger.State {
	next := map[ledger.State][]ledger.State{
		ledger.Pending:  {ledger.Assigned},
		ledger.Assigned: {ledger.Running, ledger.Running, ledger.Stopping, ledger.Pending},
		ledger.Running:  {ledger.Running, ledger.Stopping, ledger.Stopping, ledger.Succeeded},
		ledger.Stopping: {ledger.Pending, ledger.Pending, ledger.Pending, ledger.Cancelled},
	}[from]
	if len(next) == 0 || op%8 == 0 {
		return ledger.State(1 + op>>3%8)
	}
	return next[int(op>>3)%len(next)]
}

// TestInterleavings guards against tasks that run twice or are lost, and owners that
// decide on other contents than the store's: because the outcome of a commit is
// assumed, or a commit is applied after a change of owner or of its sequence. Two
// daemons share two shards while responses are lost, late or duplicated.
func TestInterleavings(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	parameters.MinSuccessfulTests = 400
	parameters.MaxShrinkCount = 100
	parameters.MinSize = 1500
	parameters.MaxSize = 3000
	properties := gopter.NewProperties(parameters)
	commits := 0
	properties.Property("every revision is consistent", prop.ForAll(func(ops []uint64) string {
		w := newWorld(t)
		w.run(10 * time.Second)
		for _, op := range ops {
			w.act(op)
			if w.failure != "" {
				return w.failure
			}
		}
		w.heal()
		commits += w.commits
		return w.failure
	}, gen.SliceOf(gen.UInt64())))
	properties.TestingRun(t)
	t.Logf("%d commits", commits)
	if commits < 20*parameters.MinSuccessfulTests {
		t.Errorf("only %d commits: the interleavings do not exercise the ledger", commits)
	}
}
