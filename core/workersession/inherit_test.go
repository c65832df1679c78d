package workersession_test

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/workersession"
)

// overAt lets time pass without an answer and returns when the attempt was
// found over, zero if it was not.
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

// Symptom: a task on a worker that its new owner does not reach runs there and
// elsewhere, or never again anywhere.
// Events: a new owner inherits a running task; the worker never answers; after
// ten minutes the owner learns that its predecessors are over, and is told so
// once only.
// Cause: a bound in time on what an earlier owner may renew.
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
		t.Error("a bound is named that does not hold")
	}
	told := act
	told.PredecessorsOver = true
	p.event(told)
	if p.session.AwaitsPredecessors() || !strings.Contains(s.text.String(), "over ladder@1/0#1: lease expired") {
		t.Errorf("not over when told\n%s", &s.text)
	}
	later := s.owner("later", 10)
	later.event(told)
	later.want(task(1, workersession.Keep))
	later.failed(later.last().ID)
	began := s.now.Sub(epochTime)
	if at := later.overAt(time.Minute, act); at != began+34*time.Second {
		t.Errorf("over %s after the takeover, by a permission that does not repeat the word", at-began)
	}
}

// Symptom: a task whose worker answered its new owner, and then went silent,
// runs there and elsewhere, or waits for daemons that nobody needs to ask.
// Events: an earlier owner renews for five minutes through an outage; then the
// worker answers the new owner once, which may only renew at that time and wants
// the task stopped.
// Cause: the agent obeys no older owner from its first answer on, but what one
// renewed just before lasts a lease from there.
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
		t.Error("waits though the agent knows the new owner")
	}
	at := p.overAt(time.Minute, workersession.Permission{Full: true})
	if at != answered+34*time.Second {
		t.Errorf("over %s after the first answer\n%s", at-answered, &s.text)
	}
}
