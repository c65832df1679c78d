package worker_test

import (
	"testing"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/standin/worker"
)

// set names attempts by task and number.
func set(list ...any) []*workerv1.TaskAttempt {
	var attempts []*workerv1.TaskAttempt
	for i := 0; i < len(list); i += 2 {
		attempts = append(attempts, &workerv1.TaskAttempt{
			Task: list[i].(string), Attempt: uint32(list[i+1].(int)),
		})
	}
	return attempts
}

// renew sends a renewal by hash with commands and returns the answer.
func (d *driver) renew(attempts []*workerv1.TaskAttempt, commands ...*workerv1.Command) *workerv1.ApplyResponse {
	req := d.request(commands...)
	req.WantReport = false
	req.RenewHash = workerv1.RenewHash(attempts)
	resp := d.agent.Apply(req)
	d.grant = resp.GetGrant()
	return resp
}

// Symptom: an attempt that its owner gave up runs on, or one that it renews
// ends.
// Sequence: renewals by hash come with the agent's set, with one attempt less,
// one more, another number, and beside commands that change the set.
// Cause: the agent renews though the sets differ, or compares another set.
func TestRenewsByHashExactlyOrNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      []*workerv1.TaskAttempt
		commands []*workerv1.Command
		runs     int // after the first lease
	}{
		{"equal", set("a", 2, "b", 1), nil, 2},
		{"one less", set("a", 2), nil, 0},
		{"one more", set("a", 2, "b", 1, "c", 1), nil, 0},
		{"other number", set("a", 1, "b", 1), nil, 0},
		{"none", set(), nil, 0},
		{"started with it", set("a", 2, "b", 1, "c", 1), []*workerv1.Command{start("c", 1, small)}, 3},
		{"stopped with it", set("a", 2), []*workerv1.Command{stop("b", 1)}, 1},
		{"stop not known here", set("a", 2, "b", 1), []*workerv1.Command{stop("c", 1)}, 2},
		{"stop is no part", set("a", 2, "b", 1), []*workerv1.Command{stop("b", 1)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t, newClock(), worker.Options{Behave: forever, CheckpointTime: 3 * time.Second})
			d.expect(done, start("a", 2, small))
			d.expect(done, start("b", 1, small))
			d.pass(5 * time.Second)
			d.send()
			resp := d.renew(c.set, c.commands...)
			d.pass(5 * time.Second)
			if got := len(d.agent.Running()); got != c.runs {
				t.Errorf("%d run on, want %d", got, c.runs)
			}
			if matched := c.runs > 0; resp.GetRenewMatched() != matched || resp.GetRenewMismatch() == matched {
				t.Error(resp)
			}
		})
	}
}

// TestHashHoldsEndsThatOwnerCannotKnow guards against an owner that must send all
// names at each end of a task, because the agent compares a hash that was made
// before the end with what runs now.
func TestHashHoldsEndsThatOwnerCannotKnow(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{})
	d.expect(done, start("a", 1, small))
	d.pass(2 * time.Second)
	d.expect(done, start("b", 1, small))
	before := d.request()
	before.RenewHash = workerv1.RenewHash(set("a", 1, "b", 1))
	d.pass(3 * time.Second)
	if resp := d.agent.Apply(before); !resp.GetRenewMatched() || resp.GetTasks()[0].GetState() != workerv1.TaskState_TASK_STATE_SUCCEEDED {
		t.Error("an end that the owner cannot know is a mismatch", resp)
	}
	if resp := d.renew(set("a", 1, "b", 1)); !resp.GetRenewMatched() {
		t.Error("the grant is older than the end", resp)
	}
	if resp := d.renew(set("a", 1, "b", 1)); !resp.GetRenewMismatch() {
		t.Error("an owner that was told of the end names it", resp)
	}
	if resp := d.renew(set("b", 1)); !resp.GetRenewMatched() {
		t.Error("an owner that was told of the end does not name it", resp)
	}
	d.agent.Restart()
	if resp := d.renew(set()); !resp.GetRenewMismatch() {
		t.Error("a grant of another boot", resp)
	}
}

// Symptom: measurements are counted for the wrong task, or come again and
// again.
// Sequence: measurements are asked for by hash, first all, then those after the
// latest; then with a set that differs.
// Cause: positions in another order, or a set that was not compared.
func TestUsageByHash(t *testing.T) {
	d := newDriver(t, newClock(), worker.Options{Behave: forever})
	d.expect(done, start("b", 1, small))
	d.expect(done, start("a", 1, small))
	d.pass(time.Second)
	req := d.request()
	req.WantReport = false
	req.RenewHash = workerv1.RenewHash(set("a", 1, "b", 1))
	req.WantUsage = true
	usages := d.agent.Apply(req).GetUsages()
	if len(usages) != 2 || usages[1].GetPosition() != 1 {
		t.Fatal(usages)
	}
	req.UsageAfterUnixMillis = usages[0].GetUsage().GetMeasuredUnixMillis()
	if again := d.agent.Apply(req).GetUsages(); len(again) != 0 {
		t.Error("told twice", again)
	}
	req.UsageAfterUnixMillis = 0
	req.RenewHash = workerv1.RenewHash(set("a", 1))
	if other := d.agent.Apply(req).GetUsages(); len(other) != 0 {
		t.Error("told of another set", other)
	}
}
