package jobforecast

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// MaxAge is how old a forecast may be by which a job is rejected. A leader stores one
// at least each second, and a read of it may be slow.
const MaxAge = 2 * time.Second

// Reason is why a job is accepted or rejected.
type Reason string

// The reasons.
const (
	ReasonNoForecast  Reason = "no forecast"
	ReasonStale       Reason = "forecast too old"
	ReasonNoPressure  Reason = "queue finds room"
	ReasonNoObjective Reason = "queue has no objective"
	ReasonNotDue      Reason = "not due yet"
	ReasonRoom        Reason = "may find room"
	ReasonInShare     Reason = "within the share that can be served"
	// ReasonDeferred: the job is expected to be late, and still of use.
	ReasonDeferred Reason = "served after others"
	// ReasonHopeless and ReasonNoRoom are the reasons of rejections.
	ReasonHopeless Reason = "would be done too late to be of use"
	ReasonNoRoom   Reason = "no room for long-running tasks"
	// ReasonNoMemory is for a job for which the leader has no memory.
	ReasonNoMemory Reason = "no memory for more jobs"
	// ReasonRejectedMeanwhile is for a job that another daemon has rejected.
	ReasonRejectedMeanwhile Reason = "rejected at another daemon meanwhile"
)

// Decision is the decision on a job that is handed in.
type Decision struct {
	Reject bool
	Reason Reason
	// RetryAfter is when a rejected job may be handed in again, in whole seconds.
	RetryAfter time.Duration
	// Age is the age of the forecast, Position the job's place among all jobs, from 0 to
	// 1, and Queue the forecast for the job's queue.
	Age      time.Duration
	Position float64
	Queue    Queue
}

// String returns the decision with its inputs, if it was made by a forecast for the queue.
func (d Decision) String() string {
	verdict := "accepted"
	if d.Reject {
		verdict = "rejected"
	}
	if d.Queue.AllowanceMs == 0 {
		return fmt.Sprintf("%s: %s", verdict, d.Reason)
	}
	return fmt.Sprintf("%s: %s; forecast of %s ago: share %.3f, job at %.3f, tasks wait %d ms, jobs may take %d ms, %d thousandths of a core arrive, %d are finished",
		verdict, d.Reason, d.Age.Round(time.Millisecond), d.Queue.Share, d.Position, d.Queue.DelayMs, d.Queue.AllowanceMs, d.Queue.Arriving, d.Queue.Finishing)
}

// Decide decides on a job that is handed in at a time of day. f is nil if no forecast
// is known. Jobs of a queue are rejected alike whatever their size, by a position that
// is derived from the id, so that all daemons decide alike on all attempts.
func (f *Forecast) Decide(now time.Time, q *job.Queue, spec *job.Spec, id job.ID) Decision {
	if f == nil {
		return Decision{Reason: ReasonNoForecast}
	}
	d := Decision{Age: now.Sub(time.UnixMilli(f.MadeAtMs)), Position: position(id, saltShare)}
	queue, pressed := f.Queues[q.Name]
	d.Queue = queue
	switch {
	case d.Age > MaxAge || d.Age < -MaxAge:
		d.Reason = ReasonStale
	case !pressed:
		d.Reason = ReasonNoPressure
	case q.Stretch == 0 && q.LatencyTargetMs == 0:
		d.Reason = ReasonNoObjective
	case spec.Schedule != nil && spec.Schedule.Due(0).After(now):
		d.Reason = ReasonNotDue
	case spec.UntilCanceled():
		d.Reason, d.Reject = queue.decideLongRunning(spec)
	default:
		d.Reason, d.Reject = queue.decide(spec, d.Position)
	}
	if d.Reject {
		d.RetryAfter = queue.retryAfter(d.Reason, id)
	}
	return d
}

// NoMemory returns the decision on a job for which the leader has no memory.
func NoMemory(id job.ID) Decision {
	return Decision{Reject: true, Reason: ReasonNoMemory, RetryAfter: spread(noMemoryRetryAfter, id)}
}

// decide decides on a job that ends by itself.
func (q *Queue) decide(spec *job.Spec, position float64) (Reason, bool) {
	switch {
	case q.mayFindRoom(spec):
		return ReasonRoom, false
	case position < q.InTime:
		return ReasonInShare, false
	case position < q.Share:
		return ReasonDeferred, false
	}
	return ReasonHopeless, true
}

// mayFindRoom reports whether all tasks of a first step of the job may find room now.
func (q *Queue) mayFindRoom(spec *job.Spec) bool {
	for i := range spec.Steps {
		s := &spec.Steps[i]
		free := q.Free
		if s.BestEffort {
			free = q.FreeBestEffort
		}
		if len(s.After) == 0 && !isCovered(q.Waiting, KindOf(s)) && free.fits(s.Count, s.Size.MilliCPU) {
			return true
		}
	}
	return false
}

// decideLongRunning decides on a job that runs until it is canceled.
func (q *Queue) decideLongRunning(spec *job.Spec) (Reason, bool) {
	if q.LongRunning == nil {
		return ReasonNoPressure, false
	}
	needed := int64(0)
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.LongRunning && len(s.After) == 0 {
			needed += int64(s.Count) * s.Committed().MilliCPU
		}
	}
	if needed <= q.LongRunning.Room {
		return ReasonRoom, false
	}
	return ReasonNoRoom, true
}

// IsDeferred reports whether a job of the queue is served after those that can meet
// their objective.
func (q *Queue) IsDeferred(id job.ID) bool { return position(id, saltShare) >= q.InTime }
