package scheduler

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/placement"
	"github.com/guavarill/guavarill/core/plan"
)

var epoch = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeLedger is an in-memory Ledger.
type fakeLedger map[model.TaskKey]ledger.Task

func (f fakeLedger) Task(k model.TaskKey) (ledger.Task, bool) {
	t, known := f[k]
	return t, known
}

func (f fakeLedger) sorted(keep func(ledger.Task) bool) []ledger.Task {
	var list []ledger.Task
	for t := range maps.Values(f) {
		if keep(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b ledger.Task) int { return a.Key.Compare(b.Key) })
	return list
}

func (f fakeLedger) Tasks() iter.Seq[ledger.Task] {
	return slices.Values(f.sorted(func(ledger.Task) bool { return true }))
}

func (f fakeLedger) OnWorker(w model.WorkerID) []ledger.Task {
	return f.sorted(func(t ledger.Task) bool { return t.Worker == w && t.State.HoldsRoom() })
}

func (f fakeLedger) Committed(w model.WorkerID) model.Resources {
	var sum model.Resources
	for _, t := range f.OnWorker(w) {
		sum = sum.Add(t.Size)
	}
	return sum
}

func (f fakeLedger) Pending() []ledger.Task {
	return f.sorted(func(t ledger.Task) bool { return t.State == ledger.Pending })
}

// commit applies the changes of a plan.
func (f fakeLedger) commit(p plan.Plan) {
	for _, c := range p.Changes {
		switch {
		case c.Put != nil:
			f[c.Put.Key] = *c.Put
		case c.Remove != nil:
			delete(f, *c.Remove)
		case c.Handoff != nil:
			f[c.Handoff.Task.Key] = ledger.Task{Key: c.Handoff.Task.Key, State: ledger.Moved, MovedTo: c.Handoff.To}
		}
	}
}

func (f fakeLedger) count(state ledger.State) int {
	return len(f.sorted(func(t ledger.Task) bool { return t.State == state }))
}

func batch(name, team, priority string, tasks int, cpu int64) manifest.Workload {
	return manifest.Workload{
		Name: name, Team: team, Kind: model.KindBatch, Priority: priority, Tasks: tasks,
		Size: model.Resources{MilliCPU: cpu, MemoryMB: 100},
	}
}

func service(name string, tasks int, cpu int64) manifest.Workload {
	w := batch(name, "a", "high", tasks, cpu)
	w.Kind, w.Slots, w.Connections = model.KindService, 8, 60
	return w
}

func accept(t *testing.T, current *config.Accepted, teams []manifest.Team, workloads ...manifest.Workload) *config.Accepted {
	t.Helper()
	m := &manifest.Manifest{Cluster: "c", Teams: teams, Workloads: workloads}
	next, _, err := config.Accept(current, m.Normalised(), 1, fmt.Sprintf("w%d", rand.Uint64()))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

var teams = []manifest.Team{{Name: "a"}, {Name: "b"}}

// world is one shard with workers of 8 processors each.
type world struct {
	ledger   fakeLedger
	snapshot Snapshot
}

func newWorld(accepted *config.Accepted, workers int) *world {
	w := &world{ledger: fakeLedger{}}
	w.snapshot = Snapshot{
		Now: epoch, Shards: 1, Config: accepted, Ledger: w.ledger,
		LargestCapacities: []model.Resources{{MilliCPU: 8000, MemoryMB: 8000}},
		CommitSize:        func(_ string, declared model.Resources) model.Resources { return declared },
		Placer:            placement.Default(placement.Options{Random: rand.NewPCG(1, 1)}),
		Costs:             eviction.DefaultCosts(),
	}
	for i := range workers {
		w.snapshot.Workers = append(w.snapshot.Workers, Worker{VM: model.VM{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), Role: model.RoleWorker, State: model.VMLive,
			Zone: "z", Rack: "r", Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000},
		}})
	}
	return w
}

// cycle runs one scheduling cycle, commits its plan and advances the clock by
// a second.
func (w *world) cycle() plan.Plan {
	p := Decide(&w.snapshot, DefaultOptions())
	w.ledger.commit(p)
	if p.Synced != 0 {
		w.snapshot.Synced = p.Synced
	}
	w.snapshot.Now = w.snapshot.Now.Add(time.Second)
	return p
}

// run moves assigned tasks to running, and ends stopping tasks whose drain
// time has passed.
func (w *world) run() {
	for key, t := range w.ledger {
		switch {
		case t.State == ledger.Assigned:
			t.State = ledger.Running
		case t.State == ledger.Stopping && !t.NotBefore.After(w.snapshot.Now) && t.Resume:
			t.State, t.Worker = ledger.Pending, ""
		case t.State == ledger.Stopping && !t.NotBefore.After(w.snapshot.Now):
			t.State = ledger.Cancelled
		}
		w.ledger[key] = t
	}
}

func TestDeclaredTasksAreCreatedAndPlaced(t *testing.T) {
	w := newWorld(accept(t, nil, teams, batch("job", "a", "normal", 5, 2000)), 2)
	w.cycle()
	if got := w.ledger.count(ledger.Pending); got != 5 {
		t.Fatalf("%d pending after the first cycle, want 5", got)
	}
	w.cycle()
	if got := w.ledger.count(ledger.Assigned); got != 5 {
		t.Errorf("%d assigned, want 5", got)
	}
	if p := w.cycle(); len(p.Changes) != 0 {
		t.Errorf("a settled shard changes %d records", len(p.Changes))
	}
}

// Guards against callers getting `not run` while a new release rolls out. It
// happens when the old and the new generation are stopped and created
// independently, so that the old instances stop before the new ones answer.
func TestServiceIsReplacedStepByStep(t *testing.T) {
	first := accept(t, nil, teams, service("svc", 4, 2000))
	w := newWorld(first, 1)
	w.cycle()
	w.cycle()
	w.run()
	changed := service("svc", 4, 1900)
	w.snapshot.Config = accept(t, first, teams, changed)
	for range 200 {
		w.cycle()
		w.run()
		if running := w.ledger.count(ledger.Running) + w.ledger.count(ledger.Stopping); running < 3 {
			t.Fatalf("%d instances are up during the replacement, want at least 3", running)
		}
	}
	for _, task := range w.ledger.sorted(func(t ledger.Task) bool { return t.State == ledger.Running }) {
		if task.Key.Generation != 2 {
			t.Errorf("%s still runs", task.Key)
		}
	}
	if got := w.ledger.count(ledger.Running); got != 4 {
		t.Errorf("%d instances run in the end, want 4", got)
	}
}

// Guards against an urgent task waiting while batch tasks of low priority fill
// the shard. Placement alone never frees room; preemption must.
func TestUrgentWorkPreemptsAndStarts(t *testing.T) {
	first := accept(t, nil, teams, batch("low", "a", "low", 8, 2000))
	w := newWorld(first, 2)
	w.cycle()
	w.cycle()
	w.run()
	w.snapshot.Config = accept(t, first, teams, batch("low", "a", "low", 8, 2000), batch("now", "b", "urgent", 1, 3000))
	w.cycle()
	w.cycle()
	victims := w.ledger.sorted(func(t ledger.Task) bool { return t.Reason == ReasonPreempted })
	if len(victims) != 2 {
		t.Fatalf("%d victims, want 2", len(victims))
	}
	for _, v := range victims {
		if !v.Resume {
			t.Errorf("%s does not resume", v.Key)
		}
	}
	w.run()
	w.cycle()
	urgent, _ := w.ledger.Task(model.TaskKey{Workload: "now", Generation: 1})
	if urgent.State != ledger.Assigned {
		t.Errorf("urgent task is %s: %s", urgent.State, urgent.Reason)
	}
}

func TestTeamsTakeTurns(t *testing.T) {
	w := newWorld(accept(t, nil, teams, batch("many", "a", "normal", 50, 2000), batch("few", "b", "normal", 2, 2000)), 1)
	w.cycle()
	w.cycle()
	started := w.ledger.sorted(func(t ledger.Task) bool { return t.State == ledger.Assigned })
	few := slices.DeleteFunc(started, func(t ledger.Task) bool { return t.Key.Workload != "few" })
	if len(few) != 2 {
		t.Errorf("%d of the small team's tasks start beside 50 of another's, want 2", len(few))
	}
}

func TestQuotaHoldsTasksBack(t *testing.T) {
	quota := []manifest.Team{{Name: "a", Quota: &model.Resources{MilliCPU: 4000, MemoryMB: 4000}}}
	w := newWorld(accept(t, nil, quota, batch("job", "a", "normal", 4, 2000)), 2)
	w.cycle()
	w.cycle()
	w.cycle()
	if got := w.ledger.count(ledger.Assigned); got != 2 {
		t.Errorf("%d tasks started under a quota for 2", got)
	}
	for _, task := range w.ledger.Pending() {
		if task.Reason != "team quota reached: cpu" {
			t.Errorf("reason %q", task.Reason)
		}
	}
}

func TestQuotaPartsSumToTheQuota(t *testing.T) {
	team := manifest.Team{Name: "a", Quota: &model.Resources{MilliCPU: 10_007, MemoryMB: 3, Accelerators: 11}}
	var sum model.Resources
	for shard := range uint32(7) {
		sum = sum.Add(shardQuota(team, model.ShardID(shard), 7))
	}
	if sum != *team.Quota {
		t.Errorf("parts sum to %s, quota is %s", sum, *team.Quota)
	}
}

// Guards against a job that is larger than every worker staying pending
// without that reason. To the placement filters this case looks like a full
// cluster.
func TestJobThatNeverFitsIsReported(t *testing.T) {
	w := newWorld(accept(t, nil, teams, batch("huge", "a", "normal", 1, 9000)), 1)
	w.cycle()
	w.cycle()
	task := w.ledger.Pending()[0]
	if task.Reason != "no worker is large enough: cpu" {
		t.Errorf("reason %q", task.Reason)
	}
	if p := w.cycle(); len(p.Changes) != 0 {
		t.Errorf("reported again: %d changes", len(p.Changes))
	}
}

func TestTaskWithoutRoomIsHandedOver(t *testing.T) {
	w := newWorld(accept(t, nil, teams, batch("job", "a", "normal", 6, 2000)), 1)
	w.snapshot.ShardRoom = map[model.ShardID]model.Resources{7: {MilliCPU: 2500, MemoryMB: 5000}}
	w.cycle()
	w.cycle()
	if got := w.ledger.count(ledger.Moved); got != 0 {
		t.Fatalf("%d tasks handed over in the cycle they were placed in first", got)
	}
	w.cycle()
	if got := w.ledger.count(ledger.Moved); got != 1 {
		t.Errorf("%d tasks handed to a shard with room for 1", got)
	}
}

func TestLeavingWorkerIsEmptied(t *testing.T) {
	w := newWorld(accept(t, nil, teams, service("svc", 2, 1000), batch("job", "a", "normal", 2, 1000)), 2)
	w.cycle()
	w.cycle()
	w.run()
	on := len(w.ledger.OnWorker("w0"))
	w.snapshot.Workers[0].Leaving = true
	w.cycle()
	for _, task := range w.ledger.OnWorker("w0") {
		if task.State != ledger.Stopping || !task.Resume {
			t.Errorf("%s is %s", task.Key, task.State)
		}
		if drains := task.NotBefore.After(w.snapshot.Now); drains != task.Service {
			t.Errorf("%s drains: %t", task.Key, drains)
		}
	}
	w.settle()
	if left := len(w.ledger.OnWorker("w0")); on == 0 || left != 0 || w.ledger.count(ledger.Running) != 4 {
		t.Errorf("%d tasks before, %d left, %d running", on, left, w.ledger.count(ledger.Running))
	}
}

// settle plays enough cycles for all decisions to be carried out.
func (w *world) settle() {
	for range 20 {
		w.run()
		w.cycle()
	}
	w.run()
}

// TestUnstartedTasksLeaveACordonedZone guards against tasks that were assigned in a
// zone before it was cordoned and start there afterwards. What runs there stays.
func TestUnstartedTasksLeaveACordonedZone(t *testing.T) {
	w := newWorld(accept(t, nil, teams, service("svc", 2, 1000), batch("job", "a", "normal", 2, 1000)), 2)
	w.cycle()
	w.cycle()
	assigned := len(w.ledger.OnWorker("w0"))
	w.snapshot.Workers[0].Cordoned = true
	w.cycle()
	for _, task := range w.ledger.OnWorker("w0") {
		if task.State != ledger.Stopping || !task.Resume || task.NotBefore.After(w.snapshot.Now) {
			t.Errorf("%s is %s", task.Key, task.State)
		}
	}
	w.settle()
	if left := len(w.ledger.OnWorker("w0")); assigned == 0 || left != 0 || w.ledger.count(ledger.Running) != 4 {
		t.Errorf("%d tasks assigned, %d left, %d running", assigned, left, w.ledger.count(ledger.Running))
	}
	w.snapshot.Workers[0].Cordoned, w.snapshot.Workers[1].Cordoned = false, true
	w.cycle()
	if n := len(w.ledger.OnWorker("w1")); n != 4 || w.ledger.count(ledger.Running) != 4 {
		t.Errorf("%d of 4 running tasks stay in a zone that was cordoned", n)
	}
}

func TestRemovedWorkloadIsStoppedAndDeleted(t *testing.T) {
	first := accept(t, nil, teams, batch("job", "a", "normal", 6, 2000), batch("other", "a", "normal", 1, 100))
	w := newWorld(first, 1)
	w.cycle()
	w.cycle()
	w.run()
	w.snapshot.Config = accept(t, first, teams, batch("other", "a", "normal", 1, 100))
	w.cycle()
	if got := w.ledger.count(ledger.Stopping); got != cmp.Or(got, 1) || w.ledger.count(ledger.Cancelled) == 0 {
		t.Errorf("%d stopping, %d cancelled", got, w.ledger.count(ledger.Cancelled))
	}
	w.run()
	w.snapshot.Synced = 0
	w.cycle()
	if len(w.ledger) != 1 {
		t.Errorf("%d records left, want the other job's", len(w.ledger))
	}
}
