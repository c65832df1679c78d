package workersession

import (
	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// onDesired replaces the desired state.
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

// want records the desired state of one attempt.
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

// forget records an attempt whose record the agent can drop.
func (s *Session) forget(key model.AttemptKey) {
	name, number := key.Task.String(), uint32(key.Attempt)
	a := s.attempts.find(name, number)
	if a != nil {
		return // not desired any more, so it is forgotten once it is over
	}
	s.attempts.add(&attempt{name: name, number: number, key: key, kind: Stop, over: true, forgetOnly: true})
}

// repeat emits again what the ledger does not reflect yet, and stops an attempt
// that is not desired.
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

// emitRunning reports that a is running. A service is reported as running only
// once its address is known.
func (s *Session) emitRunning(a *attempt) {
	if a.start.GetService() && a.address == "" {
		return
	}
	s.emit(Observed{Attempt: a.key, State: StateRunning, Address: a.address})
}

// dropUnsent drops attempts that are not desired any more and that cannot have
// been sent to the agent.
func (s *Session) dropUnsent() {
	s.attempts.removeIf(func(a *attempt) bool {
		return !a.wanted && !a.forgetOnly && !a.mayRun()
	})
}

// orphan adds an attempt that the agent reports and that the ledger does not have
// on this worker: an attempt of an earlier owner whose end is already committed.
// Its lease counts from a grant issued no later than that of this response.
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
