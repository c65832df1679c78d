package workersession_test

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/workersession"
)

// overAt advances the time by d without any response from the worker. It returns
// when the attempt was reported over, or zero if it was not.
func (p *peer) overAt(d time.Duration, act workersession.Permission) time.Duration {
	for end := p.now.Add(d); p.now.Before(end); {
		p.pass(time.Second)
		for _, c := range append(p.session.Step(p.now, act), p.session.Step(p.now, workersession.Tick{})...) {
			switch c := c.(type) {
			case workersession.Send:
				p.sent = append(p.sent, c)
				p.failed(c.ID)
			case workersession.Over:
				return p.now.Sub(epochTime)
			}
		}
	}
	return 0
}

// TestInheritedWaitsForPredecessorsEnd guards against an inherited task on an
// unreachable worker that runs in two places or never again. A new owner inherits
// a running task, and the worker never responds. After ten minutes the owner is
// informed, only once, that its predecessors are over. The fault would be a fixed
// time limit on the renewals of earlier owners.
func TestInheritedWaitsForPredecessorsEnd(t *testing.T) {
	s := newScript()
	p := s.owner("new", 9)
	p.full()
	p.want(task(1, workersession.Keep))
	p.failed(p.last().ID)
	act := workersession.Permission{Full: true}
	if at := p.overAt(10*time.Minute, act); at != 0 || !p.session.AwaitsPredecessors() {
		t.Fatalf("over after %s though an earlier owner may be renewing\n%s", at, &s.text)
	}
	if _, bounded := p.session.Bound(task(1, workersession.Keep).Attempt); bounded {
		t.Error("Bound returns a bound that is not valid")
	}
	told := act
	told.PredecessorsOver = true
	p.event(told)
	if p.session.AwaitsPredecessors() || !strings.Contains(s.text.String(), "over ladder@1/0#1: lease expired") {
		t.Errorf("not over after PredecessorsOver\n%s", &s.text)
	}
	later := s.owner("later", 10)
	later.event(told)
	later.want(task(1, workersession.Keep))
	later.failed(later.last().ID)
	began := s.now.Sub(epochTime)
	if at := later.overAt(time.Minute, act); at != began+34*time.Second {
		t.Errorf("over %s after the takeover, with a permission that does not repeat PredecessorsOver", at-began)
	}
}

// TestFirstAnswerEndsPredecessors guards against a task that runs in two places, or
// waits without need, after its worker answered the new owner once and fell silent.
// From that answer on the agent refuses the earlier owner, but a lease renewed just
// before lasts for one Lease.
func TestFirstAnswerEndsPredecessors(t *testing.T) {
	s := newScript()
	old := begin(s, "old", 5)
	long := task(1, workersession.Start)
	long.Start.RunMillis = time.Hour.Milliseconds()
	old.want(long)
	old.answer()
	old.want(task(1, workersession.Keep))
	p := s.owner("new", 9)
	p.event(workersession.Permission{RenewOnly: true})
	p.want(task(1, workersession.Stop))
	p.failed(p.last().ID)
	old.idle(5 * time.Minute)
	p.tick()
	p.answer()
	answered := s.now.Sub(epochTime)
	if p.session.AwaitsPredecessors() {
		t.Error("waits for predecessors although the agent knows the new owner")
	}
	at := p.overAt(time.Minute, workersession.Permission{Full: true})
	if at != answered+34*time.Second {
		t.Errorf("over %s after the first answer\n%s", at-answered, &s.text)
	}
}
