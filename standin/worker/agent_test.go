package worker_test

import (
	"context"
	"testing"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/standin/worker"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// driver talks to one agent as an owner would.
type driver struct {
	*clock
	t     *testing.T
	agent *worker.Agent
	epoch int64
	grant *workerv1.Grant
}

func newDriver(t *testing.T, c *clock, o worker.Options) *driver {
	o.Clock = c
	if o.ID == "" {
		o.ID = "w1"
	}
	o.Capacity = model.Resources{MilliCPU: 2000, MemoryMB: 1000, Accelerators: 1}
	d := &driver{clock: c, t: t, agent: worker.New(o), epoch: 1}
	d.send()
	return d
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

// pass lets d pass for the clock and the agent.
func (d *driver) pass(t time.Duration) {
	d.now = d.now.Add(t)
	d.agent.Advance()
}

func (d *driver) request(commands ...*workerv1.Command) *workerv1.ApplyRequest {
	return &workerv1.ApplyRequest{
		Epoch: d.epoch, Grant: d.grant, LeaseMillis: 10_000, Commands: commands, WantReport: true,
	}
}

func (d *driver) send(commands ...*workerv1.Command) *workerv1.ApplyResponse {
	resp := d.agent.Apply(d.request(commands...))
	if resp.GetGrant() != nil {
		d.grant = resp.GetGrant()
	}
	return resp
}

// expect sends one command and checks its outcome.
func (d *driver) expect(want workerv1.Outcome, c *workerv1.Command) *workerv1.ApplyResponse {
	d.t.Helper()
	resp := d.send(c)
	if got := resp.GetResults()[0].GetOutcome(); got != want {
		d.t.Fatalf("got %v, want %v", got, want)
	}
	return resp
}

func start(task string, attempt uint32, size model.Resources) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Start{Start: &workerv1.Start{
		Task: task, Attempt: attempt, Class: task[:1], RunMillis: 4000,
		MilliCpu: size.MilliCPU, MemoryMb: size.MemoryMB, Accelerators: size.Accelerators,
	}}}
}

func stop(task string, attempt uint32) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Stop{Stop: &workerv1.Stop{
		Task: task, Attempt: attempt, Checkpoint: true,
	}}}
}

func forget(task string, attempt uint32) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Forget{Forget: &workerv1.TaskAttempt{
		Task: task, Attempt: attempt,
	}}}
}

const (
	done    = workerv1.Outcome_OUTCOME_DONE
	stale   = workerv1.Outcome_OUTCOME_STALE
	noRoom  = workerv1.Outcome_OUTCOME_NO_ROOM
	noGrant = workerv1.Outcome_OUTCOME_NO_GRANT
)

var small = model.Resources{MilliCPU: 100, MemoryMB: 100}

func TestRefusesWhatDoesNotFit(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{})
	d.expect(done, start("a", 1, model.Resources{MilliCPU: 1000, MemoryMB: 500, Accelerators: 1}))
	d.expect(noRoom, start("b", 1, model.Resources{MilliCPU: 1001}))
	d.expect(noRoom, start("c", 1, model.Resources{MemoryMB: 501}))
	d.expect(noRoom, start("d", 1, model.Resources{Accelerators: 1}))
	d.expect(noRoom, start("d", 1, model.Resources{}))
	d.expect(done, start("d", 2, model.Resources{MilliCPU: 1000, MemoryMB: 500}))
	found := worker.Audit(d.agent)
	if len(found) != 1 || found[0].Rule != worker.NothingRefused || found[0].Count != 3 {
		t.Fatal(found)
	}
}

// Symptom: a message of before brings up what is over.
// Events: starts and stops are repeated, come in the wrong order, after their
// attempt's end, after it was forgotten, with an old grant or an old epoch.
// Cause: the agent forgot too early or checked too little.
func TestLateMessages(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{})
	d.expect(done, start("a", 1, small))
	d.expect(done, start("a", 1, small))
	d.expect(done, stop("a", 1))
	d.expect(stale, start("a", 1, small))
	d.expect(done, stop("b", 1))
	d.expect(stale, start("b", 1, small))
	before := d.request(start("a", 1, small))
	d.send(forget("a", 1))
	d.expect(stale, start("a", 1, small))
	d.pass(10 * time.Second)
	if got := d.agent.Apply(before).GetResults()[0].GetOutcome(); got != noGrant {
		t.Fatal(got)
	}
	d.send()
	d.agent.Restart()
	d.expect(noGrant, start("c", 1, small))
	d.epoch = 7
	d.send()
	d.epoch = 6
	if got := d.send(start("c", 2, small)).GetRefusedEpoch(); got != 7 {
		t.Fatal(got)
	}
	if d.agent.Stats().Starts != 1 {
		t.Fatal(d.agent.Stats())
	}
}

// Symptom: a task outlives its lease.
// Events: a renewal is on its way for most of a lease.
// Cause: the lease was counted from the renewal's receipt.
func TestLeaseCountsFromGrant(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{Behave: forever})
	d.expect(done, start("a", 1, small))
	late := d.request()
	late.Renew = []*workerv1.TaskAttempt{{Task: "a", Attempt: 1}}
	d.pass(9 * time.Second)
	d.agent.Apply(late)
	d.pass(999 * time.Millisecond)
	if len(d.agent.Running()) != 1 {
		t.Fatal("ended early")
	}
	d.pass(time.Millisecond)
	if len(d.agent.Running()) != 0 {
		t.Fatal("runs after its lease")
	}
}

func forever(*workerv1.Start) worker.Behaviour { return worker.Behaviour{} }

func TestSlowdownThrottleCheckpointAndLag(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{
		UsageLag:       2 * time.Second,
		CheckpointTime: time.Second,
		Pairs:          worker.Pairs{{Victim: "a", Noisy: "b"}: 1},
	})
	d.expect(done, start("a", 1, small))
	d.expect(done, start("b", 1, small))
	d.pass(2 * time.Second) // a has made 1 s of 4
	d.expect(done, &workerv1.Command{Kind: &workerv1.Command_Throttle{
		Throttle: &workerv1.Throttle{Task: "b", Attempt: 1, Percent: 50},
	}})
	for range 3 {
		d.pass(time.Second) // a makes 2 s more, at 1.5 times as long
	}
	resp := d.send()
	usage := resp.GetTasks()[0].GetUsage()
	if usage.GetSlowdownPercent() != 150 || usage.GetMeasuredUnixMillis() != 1003_000 {
		t.Fatal(usage)
	}
	if resp = d.expect(done, stop("a", 1)); resp.GetTasks()[0].GetState() != workerv1.TaskState_TASK_STATE_RUNNING {
		t.Fatal("stopped before its checkpoint was done")
	}
	d.pass(time.Second)
	if got := d.send().GetTasks()[0].GetCheckpoint(); got != "ckpt/1/2999" && got != "ckpt/1/3000" {
		t.Fatal(got)
	}
}

// Symptom: a broken promise stays unseen.
// Events: two agents, driven without a ledger, run one task at once, an
// attempt twice, and a task again after its success was committed.
// Cause: an audit that cannot fail.
func TestAuditNotices(t *testing.T) {
	c := newClock()
	first := newDriver(t, c, worker.Options{ID: "w1"})
	second := newDriver(t, c, worker.Options{ID: "w2"})
	first.expect(done, start("a", 1, small))
	second.expect(done, start("a", 2, small))
	first.expect(done, start("b", 1, small))
	first.expect(done, stop("b", 1))
	second.expect(done, start("b", 1, small))
	c.now = c.now.Add(5 * time.Second)
	second.agent.Advance()
	resp, err := first.agent.Exchange(context.Background(), first.request())
	if err != nil {
		t.Fatal(err)
	}
	first.grant = resp.GetGrant()
	first.send(forget("a", 1))
	second.send()
	second.expect(done, start("a", 3, small))
	count := make(map[worker.Rule]int)
	for _, v := range worker.Audit(first.agent, second.agent) {
		count[v.Rule]++
	}
	if count[worker.OnePlace] != 1 || count[worker.AttemptOnce] != 1 || count[worker.ResumeOnce] != 1 {
		t.Fatal(count)
	}
}

func TestFaults(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	d.agent.SetFaults(worker.Faults{LoseAnswers: 1, Keep: true})
	_, err := d.agent.Exchange(ended, d.request(start("a", 1, small)))
	if err == nil || len(d.agent.Running()) != 1 {
		t.Fatal("want the effect without the answer")
	}
	d.agent.Kill()
	if len(d.agent.Running()) != 0 {
		t.Fatal("runs on after the VM's end")
	}
	d.agent.Revive()
	if got := d.agent.Replay()[0].GetResults()[0].GetOutcome(); got != noGrant {
		t.Fatal(got)
	}
	d.send()
	d.agent.SetFailStarts(true)
	d.expect(workerv1.Outcome_OUTCOME_FAILED, start("b", 1, small))
	d.agent.SetLeaving(true)
	if !d.send().GetLeaving() {
		t.Fatal("not leaving")
	}
}
