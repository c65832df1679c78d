package workersession

import (
	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// onDesired replaces the owner's wishes.
func (s *Session) onDesired(ev Desired) {
	first := !s.desired
	s.desired = true
	for _, a := range s.attempts.sorted {
		a.wanted = false
	}
	for i := range ev.Tasks {
		s.want(&ev.Tasks[i], first)
	}
	for _, key := range ev.Forget {
		s.forget(key)
	}
	for _, a := range s.attempts.sorted {
		s.repeat(a)
	}
	s.dropUnsent()
}

// want notes the wish for one attempt.
func (s *Session) want(t *DesiredTask, first bool) {
	name, number := t.Attempt.Task.String(), uint32(t.Attempt.Attempt)
	a := s.attempts.find(name, number)
	if a == nil {
		a = &attempt{
			name:      name,
			number:    number,
			key:       t.Attempt,
			inherited: first || t.Kind == Keep,
			bound:     s.inheritedBound,
		}
		s.attempts.add(a)
	}
	a.key = t.Attempt
	a.wanted = true
	a.checkpoint = t.Checkpoint
	a.throttle = t.Throttle
	if a.throttle == 0 {
		a.throttle = unthrottled
	}
	if a.kind != Stop {
		a.kind = t.Kind
	}
	if a.start == nil && t.Start != nil {
		a.start = proto.CloneOf(t.Start)
		a.start.Task = name
		a.start.Attempt = number
	}
}

// forget notes an attempt whose record the agent can drop.
func (s *Session) forget(key model.AttemptKey) {
	name, number := key.Task.String(), uint32(key.Attempt)
	a := s.attempts.find(name, number)
	if a != nil {
		return // not wanted any more, which forgets it once it is over
	}
	s.attempts.add(&attempt{name: name, number: number, key: key, kind: Stop, over: true, forgetOnly: true})
}

// repeat tells the owner again of what its ledger does not show yet, and
// stops what the ledger does not want.
func (s *Session) repeat(a *attempt) {
	switch {
	case !a.wanted:
		a.kind = Stop
	case a.over && a.end != nil:
		s.emit(a.end)
	case a.running && a.kind == Start:
		s.emitRunning(a)
	}
}

// emitRunning tells the owner that a runs. A service runs, as far as the owner
// is concerned, once its address is known.
func (s *Session) emitRunning(a *attempt) {
	if a.start.GetService() && a.address == "" {
		return
	}
	s.emit(Observed{Attempt: a.key, State: StateRunning, Address: a.address})
}

// dropUnsent forgets attempts that are no longer wanted and of which nobody
// can have told the agent.
func (s *Session) dropUnsent() {
	s.attempts.removeIf(func(a *attempt) bool {
		return !a.wanted && !a.forgetOnly && !a.mayRun()
	})
}

// orphan notes an attempt that the agent reports and the ledger does not have
// on this worker: one of an older owner whose end is long committed. Whatever
// lease it has came from a grant issued before this answer's.
func (s *Session) orphan(r *workerv1.TaskReport) *attempt {
	a := &attempt{
		name:      r.GetTask(),
		number:    r.GetAttempt(),
		inherited: true,
		kind:      Stop,
	}
	s.extend(a)
	s.attempts.add(a)
	return a
}
