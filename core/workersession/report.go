package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// takeReports handles the task reports of a response.
func (s *Session) takeReports(reports []*workerv1.TaskReport) {
	for _, r := range reports {
		a := s.attempts.find(r.GetTask(), r.GetAttempt())
		if a == nil {
			a = s.orphan(r)
		}
		s.takeReport(a, r)
	}
}

// takeReport handles the report of one attempt. An attempt that is over stays
// over, whatever the report contains.
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

// takeRunning marks a as running. It reports this to the owner the first time
// and when the address changes.
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

// takeStopped handles a stopped attempt. An attempt that was stopped only because
// a full report did not contain it never ran since the agent's last restart, and
// is reported as NotKnown.
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

// takeUsage emits a measurement that is newer than the known one.
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

// takeMissing handles the attempts that a full report does not contain.
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

// missing handles an attempt that the agent does not know. If the agent has
// acknowledged a stop, no late copy of a start can start the attempt any more, and
// it is over. Otherwise a running or inherited attempt is stopped first. A start
// that was not answered may still be in flight, and is sent again.
func (s *Session) missing(a *attempt) {
	switch {
	case a.stopAcked:
		s.finish(a, Over{Attempt: a.key, Reason: NotKnown})
	case a.running || a.inherited:
		a.missing = true
		a.running = false
	}
}
