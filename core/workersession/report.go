package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// takeReports takes what the agent says of its tasks.
func (s *Session) takeReports(reports []*workerv1.TaskReport) {
	for _, r := range reports {
		a := s.attempts.find(r.GetTask(), r.GetAttempt())
		if a == nil {
			a = s.orphan(r)
		}
		s.takeReport(a, r)
	}
}

// takeReport takes what the agent says of one attempt. What is over stays
// over, whatever is said of it.
func (s *Session) takeReport(a *attempt, r *workerv1.TaskReport) {
	if a.over {
		return
	}
	switch r.GetState() {
	case workerv1.TaskState_TASK_STATE_RUNNING:
		s.takeRunning(a, r.GetAddress())
		s.takeUsage(a, r.GetUsage())
	case workerv1.TaskState_TASK_STATE_SUCCEEDED:
		s.observeEnd(a, StateSucceeded, r)
	case workerv1.TaskState_TASK_STATE_FAILED:
		s.observeEnd(a, StateFailed, r)
	case workerv1.TaskState_TASK_STATE_STOPPED:
		s.takeStopped(a, r)
	}
}

// takeRunning notes that a runs and tells the owner of the first time and of
// a new address.
func (s *Session) takeRunning(a *attempt, address string) {
	known := a.running && (address == "" || address == a.address)
	a.running = true
	if address != "" {
		a.address = address
	}
	if known || !a.wanted {
		return
	}
	s.emitRunning(a)
}

// takeStopped takes a stopped attempt. One that was stopped only because the
// agent did not know it never ran there in this boot.
func (s *Session) takeStopped(a *attempt, r *workerv1.TaskReport) {
	if a.missing {
		s.finish(a, Over{Attempt: a.key, Reason: NotKnown})
		return
	}
	s.observeEnd(a, StateStopped, r)
}

func (s *Session) observeEnd(a *attempt, state State, r *workerv1.TaskReport) {
	checkpoint := r.GetCheckpoint()
	if checkpoint == "" {
		checkpoint = a.stopCheckpoint
	}
	s.finish(a, Observed{
		Attempt:    a.key,
		State:      state,
		Checkpoint: checkpoint,
		Detail:     r.GetDetail(),
	})
}

// takeUsage passes on a measurement that was not seen before.
func (s *Session) takeUsage(a *attempt, u *workerv1.Usage) {
	if u == nil || !a.wanted || u.GetMeasuredUnixMillis() <= a.measuredAt {
		return
	}
	a.measuredAt = u.GetMeasuredUnixMillis()
	s.emit(Usage{
		Attempt:         a.key,
		MilliCPU:        u.GetMilliCpu(),
		MemoryMB:        u.GetMemoryMb(),
		MeasuredAt:      time.UnixMilli(u.GetMeasuredUnixMillis()),
		SlowdownPercent: u.GetSlowdownPercent(),
		ProgressPercent: u.GetProgressPercent(),
	})
}

// takeMissing looks for attempts that a whole report lacks.
func (s *Session) takeMissing(call *call, reports []*workerv1.TaskReport) {
	reported := make(map[attemptID]bool, len(reports))
	for _, r := range reports {
		reported[attemptID{r.GetTask(), r.GetAttempt()}] = true
	}
	for _, a := range s.attempts.sorted {
		if !a.over && !reported[attemptID{a.name, a.number}] {
			s.missing(a)
		}
	}
}

// missing handles an attempt that the agent does not know. If it was told to
// stop it, then no late copy of a start can bring it up any more and it is
// over. Otherwise it is told first. A start that was not answered may be on its
// way, and is simply sent again.
func (s *Session) missing(a *attempt) {
	switch {
	case a.stopAcked:
		s.finish(a, Over{Attempt: a.key, Reason: NotKnown})
	case a.running || a.inherited:
		a.missing = true
		a.running = false
	}
}
