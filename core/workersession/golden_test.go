package workersession_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
)

var ladder = model.TaskKey{Workload: "ladder", Generation: 1}

func task(number model.Attempt, kind workersession.Kind) workersession.DesiredTask {
	return workersession.DesiredTask{
		Attempt: model.AttemptKey{Task: ladder, Attempt: number},
		Kind:    kind,
		Start:   &workerv1.Start{MilliCpu: 1000, MemoryMb: 500, RunMillis: 60_000},
	}
}

// begin returns an owner whose session has received its first grant.
func begin(s *script, name string, epoch model.Epoch, tasks ...workersession.DesiredTask) *peer {
	p := s.owner(name, epoch)
	p.full()
	p.want(tasks...)
	p.answer()
	return p
}

func golden(t *testing.T, s *script) {
	t.Helper()
	goldie.New(t).Assert(t, t.Name(), []byte(s.text.String()))
}

// TestStartWithLostAnswer guards against a task that starts twice or is considered
// not started while it is running. The agent starts the task, and its response
// arrives only after the call was abandoned; the start is sent again. The fault
// would be to treat a lost response as a start that did not happen.
func TestStartWithLostAnswer(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(task(1, workersession.Start))
	late := p.execute(p.last())
	s.pass(2 * time.Second)
	p.fail(p.last().ID)
	p.take(p.last().ID, late)
	s.note("the late answer changed nothing; the start is sent again")
	p.idle(2 * time.Second)
	p.want(task(1, workersession.Keep))
	p.idle(10 * time.Second)
	golden(t, s)
}

// TestSilentWorkerIsOverByItsBound guards against a task of an unreachable worker
// that never starts again, or starts while it may still be running. The worker
// stops responding, the platform's list drops its VM at once, the bound on the
// lease passes, and the worker returns. The fault would be to compute the end of
// the lease too early or not at all.
func TestSilentWorkerIsOverByItsBound(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.idle(20 * time.Second)
	s.note("what earlier owners started is over at 53 s, what this one starts now later")
	p.want(task(1, workersession.Start))
	p.answer()
	p.want(task(1, workersession.Keep))
	s.note("from here on nothing is answered")
	p.event(workersession.VMGone{})
	for s.now.Sub(epochTime) < 56*time.Second {
		s.pass(time.Second)
		sent := len(p.sent)
		p.tick()
		if len(p.sent) > sent {
			p.failed(p.last().ID)
		}
	}
	p.event(workersession.VMListed{})
	s.note("the worker answers again, before the end is committed")
	p.idle(6 * time.Second)
	p.want()
	p.idle(5 * time.Second)
	golden(t, s)
}

// TestDelayedStartOfPausedOwnerIsRefused guards against a task that runs on its old
// worker after it was moved. A paused owner's start is delivered after a new owner
// has ended the attempt; an agent must refuse messages of a replaced owner or from
// before that end.
func TestDelayedStartOfPausedOwnerIsRefused(t *testing.T) {
	s := newScript()
	old := begin(s, "old", 5)
	old.event(workersession.Permission{Full: true, Until: s.now.Add(10 * time.Second)})
	old.want(task(1, workersession.Start))
	delayed := old.last()
	s.note("old is paused, its start is under way")
	s.pass(12 * time.Second)
	fresh := begin(s, "new", 9, task(1, workersession.Start))
	s.note("old's start arrives before new could stop the attempt")
	old.execute(delayed)
	fresh.answer()
	fresh.want()
	fresh.idle(time.Second)
	s.agent.Restart()
	s.note("the agent restarts, which forgets the epoch, and the start arrives again")
	old.execute(delayed)
	old.tick()
	fresh.idle(5 * time.Second)
	old.fail(delayed.ID)
	old.event(workersession.Permission{Full: true})
	old.answer()
	golden(t, s)
}

// TestAgentRestart guards against tasks that are lost track of, or are considered
// running, after a restart of the agent. One attempt is running and the start of
// another is unanswered when the agent restarts. The fault would be not to detect
// the new boot.
func TestAgentRestart(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	second := task(1, workersession.Start)
	second.Attempt.Task.Index = 1
	p.want(task(1, workersession.Start))
	p.answer()
	p.want(task(1, workersession.Keep), second)
	s.agent.Restart()
	p.answer()
	p.want(task(2, workersession.Start))
	p.answer()
	golden(t, s)
}

// TestEvictionWithCheckpoint guards against an evicted task that resumes without
// its checkpoint, or twice. A task is throttled and then evicted with a checkpoint;
// its end is committed; it is started again from the checkpoint. The fault would
// be to lose the checkpoint between the agent and the ledger.
func TestEvictionWithCheckpoint(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(task(1, workersession.Start))
	p.answer()
	throttled := task(1, workersession.Keep)
	throttled.Throttle = 50
	p.want(throttled)
	p.answer()
	p.idle(32 * time.Second)
	evicted := task(1, workersession.Stop)
	evicted.Checkpoint = true
	p.want(evicted)
	p.answer()
	resumed := task(2, workersession.Start)
	resumed.Start.Checkpoint = "ckpt/1/16000"
	p.want(resumed)
	p.answer()
	golden(t, s)
}

// TestRenewOnlyDuringStoreOutage guards against tasks that end, or new ones that
// start, while the store is down. For a while the owner may only renew, with a
// start and a stop pending; then it may do nothing; then everything again, and the
// VM is about to leave. The fault would be a session that does not follow its
// permission.
func TestRenewOnlyDuringStoreOutage(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(task(1, workersession.Start))
	p.answer()
	keep := task(1, workersession.Keep)
	stop := task(1, workersession.Stop)
	stop.Attempt.Task.Index = 2
	start := task(1, workersession.Start)
	start.Attempt.Task.Index = 1
	p.event(workersession.Permission{RenewOnly: true, Until: s.now.Add(7 * time.Second)})
	p.want(keep, start, stop)
	p.idle(10 * time.Second)
	s.note("nothing was sent after 7 s; the store is back")
	s.agent.SetLeaving(true)
	p.full()
	p.answer()
	golden(t, s)
}
