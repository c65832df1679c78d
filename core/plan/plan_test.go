package plan

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

type fakeContents struct {
	tasks     map[model.TaskKey]ledger.Task
	committed map[model.WorkerID]model.Resources
}

func (f fakeContents) Task(k model.TaskKey) (ledger.Task, bool) {
	t, ok := f.tasks[k]
	return t, ok
}

func (f fakeContents) Committed(w model.WorkerID) model.Resources { return f.committed[w] }

func oneWorker(capacity model.Resources) CapacityFunc {
	return func(w model.WorkerID) (model.Resources, bool) {
		return capacity, w == "w1"
	}
}

func key(index uint32) model.TaskKey {
	return model.TaskKey{Workload: "orders", Generation: 1, Index: index}
}

func start(index uint32, worker model.WorkerID, cpu int64) ledger.Change {
	return ledger.Change{Put: &ledger.Task{
		Key: key(index), State: ledger.Assigned, Attempt: 1, Worker: worker,
		Size: model.Resources{MilliCPU: cpu},
	}}
}

// Guards against a worker being committed beyond its capacity. Two starts decided
// on one snapshot may each fit alone but not together, and a worker may fill up
// between the decision and the commit.
func TestApplyRejectsWhatNoLongerFits(t *testing.T) {
	contents := fakeContents{
		tasks:     map[model.TaskKey]ledger.Task{},
		committed: map[model.WorkerID]model.Resources{"w1": {MilliCPU: 3000}},
	}
	p := Plan{Changes: []ledger.Change{
		start(0, "w1", 3000), start(1, "w1", 3000), start(2, "w1", 2000), start(3, "w2", 1),
	}}
	accepted, rejected := Apply(contents, oneWorker(model.Resources{MilliCPU: 8000}), p)
	var got []model.TaskKey
	for _, c := range accepted {
		got = append(got, c.Put.Key)
	}
	if diff := cmp.Diff([]model.TaskKey{key(0), key(2)}, got); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	want := []Rejection{
		{Task: key(1), Worker: "w1", Reason: RejectNoRoom},
		{Task: key(3), Worker: "w2", Reason: RejectUnknownWorker},
	}
	if diff := cmp.Diff(want, rejected); diff != "" {
		t.Errorf("rejected (-want +got):\n%s", diff)
	}
}

// Guards against a task being started a second time while its first attempt runs.
// If an earlier plan commits the task elsewhere between the decision and the
// commit of a start, the attempt number of that start is already used.
func TestApplyRejectsStaleAttempt(t *testing.T) {
	running := ledger.Task{
		Key: key(0), State: ledger.Running, Attempt: 1, Worker: "w1",
		Size: model.Resources{MilliCPU: 1000},
	}
	pending := ledger.Task{Key: key(1), State: ledger.Pending, Attempt: 4}
	contents := fakeContents{
		tasks:     map[model.TaskKey]ledger.Task{running.Key: running, pending.Key: pending},
		committed: map[model.WorkerID]model.Resources{"w1": {MilliCPU: 1000}},
	}
	moved := running
	moved.Worker = "w2"
	grown := running
	grown.Size.MilliCPU = 9000
	p := Plan{Changes: []ledger.Change{{Put: &moved}, {Put: &grown}, start(1, "w1", 10)}}
	accepted, rejected := Apply(contents, oneWorker(model.Resources{MilliCPU: 8000}), p)
	if len(accepted) != 0 {
		t.Errorf("accepted %d changes, want none", len(accepted))
	}
	want := []Rejection{
		{Task: key(0), Worker: "w2", Reason: RejectStale},
		{Task: key(0), Worker: "w1", Reason: RejectNoRoom},
		{Task: key(1), Worker: "w1", Reason: RejectStale},
	}
	if diff := cmp.Diff(want, rejected); diff != "" {
		t.Errorf("rejected (-want +got):\n%s", diff)
	}
}
