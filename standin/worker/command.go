package worker

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// command executes one command. A Forget has no result.
func (a *Agent) command(req *workerv1.ApplyRequest, c *workerv1.Command) *workerv1.CommandResult {
	switch kind := c.GetKind().(type) {
	case *workerv1.Command_Start:
		return a.start(req, kind.Start)
	case *workerv1.Command_Stop:
		return a.stop(kind.Stop)
	case *workerv1.Command_Throttle:
		return a.throttle(req, kind.Throttle)
	case *workerv1.Command_Forget:
		a.forget(req, kind.Forget)
	}
	return nil
}

// start starts an attempt, or returns the outcome of one that is already known.
func (a *Agent) start(req *workerv1.ApplyRequest, s *workerv1.Start) *workerv1.CommandResult {
	result := &workerv1.CommandResult{Task: s.GetTask(), Attempt: s.GetAttempt()}
	if outcome, known := a.startedBefore(req, s); known {
		result.Outcome = outcome
		return result
	}
	end, ok := a.leaseEnd(req)
	if !ok {
		a.stats.RefusedGrant++
		result.Outcome = workerv1.Outcome_OUTCOME_NO_GRANT
		return result
	}
	if old := a.records[s.GetTask()]; old != nil && old.running() {
		a.finish(old, EndStopped) // two attempts of a task must never run together
	}
	if refused, detail := a.refuse(s); refused != workerv1.Outcome_OUTCOME_UNSPECIFIED {
		a.records[s.GetTask()] = &record{
			task:    s.GetTask(),
			attempt: s.GetAttempt(),
			state:   workerv1.TaskState_TASK_STATE_FAILED,
			refused: refused,
			detail:  detail,
		}
		result.Outcome, result.Detail = refused, detail
		return result
	}
	a.startModel(s, end)
	result.Outcome = workerv1.Outcome_OUTCOME_DONE
	return result
}

// startedBefore returns the outcome of a Start of an attempt that is known or was
// forgotten. A duplicate has the outcome of the first copy; one that arrives after
// the end of the attempt is stale.
func (a *Agent) startedBefore(req *workerv1.ApplyRequest, s *workerv1.Start) (workerv1.Outcome, bool) {
	if a.isForgotten(s.GetTask(), s.GetAttempt()) {
		a.stats.RefusedStale++
		return workerv1.Outcome_OUTCOME_STALE, true
	}
	r := a.records[s.GetTask()]
	switch {
	case r == nil || r.attempt < s.GetAttempt():
		return 0, false
	case r.attempt > s.GetAttempt():
		a.stats.RefusedStale++
		return workerv1.Outcome_OUTCOME_STALE, true
	case r.running():
		a.extend(req, r)
		return workerv1.Outcome_OUTCOME_DONE, true
	case r.refused != workerv1.Outcome_OUTCOME_UNSPECIFIED:
		return r.refused, true
	}
	a.stats.RefusedStale++
	return workerv1.Outcome_OUTCOME_STALE, true
}

// refuse returns why the task cannot be started, or zero.
func (a *Agent) refuse(s *workerv1.Start) (workerv1.Outcome, string) {
	if a.faults.failStarts.Load() {
		return workerv1.Outcome_OUTCOME_FAILED, "start failed"
	}
	room := a.opt.Capacity.Sub(a.used())
	if dimension, exceeds := sizeOf(s).Exceeds(room); exceeds {
		a.stats.RefusedRoom++
		return workerv1.Outcome_OUTCOME_NO_ROOM, string(dimension)
	}
	return workerv1.Outcome_OUTCOME_UNSPECIFIED, ""
}

// startModel starts the model of a task.
func (a *Agent) startModel(s *workerv1.Start, leaseEnd time.Time) {
	s = proto.CloneOf(s)
	r := &record{
		task:     s.GetTask(),
		attempt:  s.GetAttempt(),
		state:    workerv1.TaskState_TASK_STATE_RUNNING,
		start:    s,
		behave:   a.opt.Behave(s),
		size:     sizeOf(s),
		leaseEnd: leaseEnd,
		done:     progressOf(s.GetCheckpoint()),
		slowdown: 1,
		throttle: unthrottled,
	}
	if s.GetService() {
		r.address, r.stop = a.startService(s)
	}
	r.run = &Run{
		Worker:    a.opt.ID,
		Boot:      a.boot,
		Task:      r.task,
		Attempt:   r.attempt,
		Size:      r.size,
		Resumed:   s.GetCheckpoint(),
		StartedAt: a.opt.RecordClock.Now(),
	}
	a.runs = append(a.runs, r.run)
	a.records[r.task] = r
	a.stats.Starts++
	a.updateSlowdowns()
}

func (a *Agent) startService(s *workerv1.Start) (string, func()) {
	if a.opt.StartService != nil {
		return a.opt.StartService(s)
	}
	a.services++
	return fmt.Sprintf("127.0.0.1:%d", firstServicePort+a.services), nil
}

// stop stops an attempt. An unknown attempt is recorded as stopped, so that a Start
// of it that is still in transit does not start it.
func (a *Agent) stop(s *workerv1.Stop) *workerv1.CommandResult {
	result := &workerv1.CommandResult{
		Task:    s.GetTask(),
		Attempt: s.GetAttempt(),
		Outcome: workerv1.Outcome_OUTCOME_DONE,
	}
	r := a.records[s.GetTask()]
	if r != nil && r.attempt == s.GetAttempt() {
		r.stopRequested = true
	}
	switch {
	case r != nil && r.attempt > s.GetAttempt() || a.isForgotten(s.GetTask(), s.GetAttempt()):
		result.Outcome = workerv1.Outcome_OUTCOME_STALE
	case r != nil && r.attempt == s.GetAttempt():
		a.stopRecord(r, s.GetCheckpoint())
		result.Checkpoint = r.checkpoint
	case a.opt.Flaws.ForgetStops:
	default:
		if r != nil && r.running() {
			a.finish(r, EndStopped)
		}
		a.records[s.GetTask()] = &record{
			task:    s.GetTask(),
			attempt: s.GetAttempt(),
			state:   workerv1.TaskState_TASK_STATE_STOPPED,

			stopRequested: true,
		}
	}
	return result
}

// stopRecord stops a running attempt, after a checkpoint if one is requested.
func (a *Agent) stopRecord(r *record, checkpoint bool) {
	if !r.running() || r.saving() {
		return
	}
	if !checkpoint {
		a.finish(r, EndStopped)
		return
	}
	r.checkpoint = checkpointOf(r)
	r.saveEnd = a.now.Add(a.opt.CheckpointTime)
	if a.opt.CheckpointTime == 0 {
		a.finish(r, EndStopped)
	}
}

// throttle sets the throttle of a running attempt. It requires a valid grant, so
// that a delayed duplicate cannot permanently undo a later throttle.
func (a *Agent) throttle(req *workerv1.ApplyRequest, t *workerv1.Throttle) *workerv1.CommandResult {
	result := &workerv1.CommandResult{Task: t.GetTask(), Attempt: t.GetAttempt()}
	r := a.records[t.GetTask()]
	_, granted := a.leaseEnd(req)
	switch {
	case r == nil || r.attempt != t.GetAttempt() || !r.running():
		result.Outcome = workerv1.Outcome_OUTCOME_STALE
	case !granted:
		result.Outcome = workerv1.Outcome_OUTCOME_NO_GRANT
	default:
		r.throttle = min(t.GetPercent(), unthrottled)
		result.Outcome = workerv1.Outcome_OUTCOME_DONE
		a.updateSlowdowns()
	}
	return result
}

// forget removes the record of an ended attempt. A tombstone rejects a Start of the
// attempt that is still in transit. It is kept for one lease: the grant of such a
// Start, which was issued before, has expired by then.
func (a *Agent) forget(req *workerv1.ApplyRequest, t *workerv1.TaskAttempt) {
	r := a.records[t.GetTask()]
	if r != nil && r.attempt == t.GetAttempt() {
		if r.running() {
			return
		}
		if r.run != nil {
			r.run.Forgotten = true
		}
		delete(a.records, t.GetTask())
	}
	if a.opt.Flaws.ForgetStops {
		return
	}
	lease := time.Duration(req.GetLeaseMillis()) * time.Millisecond
	old := a.forgotten[t.GetTask()]
	a.forgotten[t.GetTask()] = tombstone{
		attempt: max(old.attempt, t.GetAttempt()),
		until:   a.now.Add(lease),
	}
	a.dropTombstones()
}

// isForgotten reports whether the attempt, or a later one of the task, was
// forgotten less than a lease ago.
func (a *Agent) isForgotten(task string, attempt uint32) bool {
	t, ok := a.forgotten[task]
	return ok && attempt <= t.attempt && a.now.Before(t.until)
}

func (a *Agent) dropTombstones() {
	for task, t := range a.forgotten {
		if !a.now.Before(t.until) {
			delete(a.forgotten, task)
		}
	}
}

// extend extends r's lease by the request's grant. It never shortens the lease.
func (a *Agent) extend(req *workerv1.ApplyRequest, r *record) {
	end, ok := a.leaseEnd(req)
	if ok && end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// checkpointPrefix begins every checkpoint that an agent makes.
const checkpointPrefix = "ckpt"

// checkpointOf names a checkpoint by the attempt that made it and its
// progress.
func checkpointOf(r *record) string {
	return fmt.Sprintf("%s/%d/%d", checkpointPrefix, r.attempt, r.done.Milliseconds())
}

// progressOf returns the progress in a checkpoint, or 0 if no agent made it.
func progressOf(checkpoint string) time.Duration {
	var attempt uint32
	var millis int64
	rest, ok := strings.CutPrefix(checkpoint, checkpointPrefix)
	if !ok {
		return 0
	}
	if n, err := fmt.Sscanf(rest, "/%d/%d", &attempt, &millis); err != nil || n != 2 {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}
