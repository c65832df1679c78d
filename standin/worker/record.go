package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

const unthrottled = 100

// record is what the agent remembers of the latest attempt of one task.
type record struct {
	task    string
	attempt uint32
	state   workerv1.TaskState
	// refused is the outcome of a start that was refused for good.
	refused    workerv1.Outcome
	checkpoint string
	detail     string
	// toldStop is whether an owner told the agent to stop it.
	toldStop bool
	// endedMillis is when it ended, on the clock of grants.
	endedMillis int64

	// For a running task:
	start    *workerv1.Start
	behave   Behaviour
	size     model.Resources
	address  string
	stop     func()
	leaseEnd time.Time
	saveEnd  time.Time // when the checkpoint before its stop is done
	done     time.Duration
	slowdown float64
	throttle uint32
	samples  []sample
	run      *Run
}

func (r *record) running() bool {
	return r.state == workerv1.TaskState_TASK_STATE_RUNNING
}

// saving reports whether it is being saved and runs no further.
func (r *record) saving() bool { return !r.saveEnd.IsZero() }

// speed is its progress per unit of time, against 1 alone on the worker.
func (r *record) speed() float64 {
	if r.saving() {
		return 0
	}
	return float64(r.throttle) / unthrottled / r.slowdown
}

// nextEnd is when it ends if nothing changes, and how.
func (r *record) nextEnd(now time.Time) (time.Time, EndKind) {
	at, kind := r.leaseEnd, EndLeaseExpired
	if r.saving() && r.saveEnd.Before(at) {
		at, kind = r.saveEnd, EndStopped
	}
	if left, ok := r.timeLeft(); ok && now.Add(left).Before(at) {
		at, kind = now.Add(left), r.ownEnd()
	}
	return at, kind
}

// timeLeft is how long it runs on at its present speed; false is for ever.
func (r *record) timeLeft() (time.Duration, bool) {
	speed := r.speed()
	if r.behave.Run <= 0 || speed <= 0 {
		return 0, false
	}
	left := r.behave.Run - r.done
	if left <= 0 {
		return 0, true
	}
	return time.Duration(float64(left)/speed) + 1, true
}

// ownEnd is how it ends when it has run its time.
func (r *record) ownEnd() EndKind {
	if r.behave.Fail {
		return EndFailed
	}
	return EndSucceeded
}

// progress accounts for d of running.
func (r *record) progress(d time.Duration) {
	r.done += time.Duration(float64(d) * r.speed())
	if r.behave.Run > 0 && r.done > r.behave.Run {
		r.done = r.behave.Run
	}
}

// tombstone remembers an attempt that the owner told the agent to forget.
type tombstone struct {
	attempt uint32
	until   time.Time
}
