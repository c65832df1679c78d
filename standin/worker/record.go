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
	// refused is the outcome of a start that was refused permanently.
	refused    workerv1.Outcome
	checkpoint string
	detail     string
	// stopRequested is whether an owner has requested a stop.
	stopRequested bool
	// endedMillis is when it ended, in milliseconds since the boot, like grants.
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

// saving reports whether its final checkpoint is being saved. It makes no progress
// meanwhile.
func (r *record) saving() bool { return !r.saveEnd.IsZero() }

// speed returns its progress per unit of time, which is 1 for an unthrottled task
// alone on the worker.
func (r *record) speed() float64 {
	if r.saving() {
		return 0
	}
	return float64(r.throttle) / unthrottled / r.slowdown
}

// nextEnd returns when and how it ends if nothing changes.
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

// timeLeft returns how long it still runs at its current speed, or false if it does
// not end by itself.
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

// ownEnd returns how it ends after its run time.
func (r *record) ownEnd() EndKind {
	if r.behave.Fail {
		return EndFailed
	}
	return EndSucceeded
}

// progress adds the progress that it makes in d.
func (r *record) progress(d time.Duration) {
	r.done += time.Duration(float64(d) * r.speed())
	if r.behave.Run > 0 && r.done > r.behave.Run {
		r.done = r.behave.Run
	}
}

// tombstone marks an attempt that was forgotten at the owner's request.
type tombstone struct {
	attempt uint32
	until   time.Time
}
