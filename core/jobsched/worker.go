package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
)

// worker is the session with one incarnation of a worker.
type worker struct {
	id    model.Incarnation
	entry WorkerEntry
	// siblings are the sessions with all incarnations of its id.
	siblings *workerIncarnations
	// full is the largest capacity that is known of its VM, in each dimension: what
	// it shows may shrink for a while.
	full model.Resources
	// listed is whether the last list had it.
	listed bool
	// onRoster is whether it is on the stored roster, before which nothing is
	// started on it; mark is what that roster should say of it.
	onRoster     bool
	rosterStatus rosterStatus
	// closed and bounded are set while a roster of this leader that is stored, or
	// may be, says that nothing is started there, and when leases there end.
	closed, bounded bool
	// attemptsUnknown is set while the machine does not know what an earlier leader may
	// have started there.
	attemptsUnknown bool
	// ended is set once another incarnation has answered at its address.
	ended bool
	// answered is whether it has answered under the machine's epoch; before
	// that nothing is started on it.
	answered bool
	// clockMs is the worker's clock, read at clockAt.
	clockMs int64
	clockAt time.Time
	// leaseBound is when all that runs there has certainly lost its lease,
	// unless the lease is renewed.
	leaseBound time.Time
	// unreachableSince is when the first of the unanswered calls was sent; zero when
	// the last was answered.
	unreachableSince time.Time
	// lastReportAt is when it answered a renewal last.
	lastReportAt time.Time
	renewing     bool
	renewAt      time.Time
	// lastSeenEnd numbers the last end taken in, ackedEnds the last one that the
	// worker may forget; taken lists those between.
	lastSeenEnd  int64
	lastAckedEnd int64
	// sentAckedEnd is what the last renewal acknowledged.
	sentAckedEnd int64
	unackedEnds  []unackedEnd
	attempts     ordered.Map[attemptKey, *attempt]
	committed    model.Resources
	// reclaimable is the part of committed that ends, or could be ended for more
	// urgent work: all but that of long-running tasks which are not being stopped.
	reclaimable model.Resources
	// bestEffortCPU and longRunningCPU are sums over its attempts, in
	// thousandths of a core; only the second is committed.
	bestEffortCPU, longRunningCPU int64
	// victims counts its serving tasks by the number of their image.
	victims      []int
	servingTasks int
	// lost are attempts that were declared lost with their lease. Their later
	// ends say nothing.
	lost map[attemptKey]struct{}
	// pendingStarts are those of them whose start was neither answered nor barred.
	pendingStarts map[attemptKey]struct{}
	// inheritedStalls tells which attempts an earlier leader saw standing inheritedStalls.
	inheritedStalls map[attemptKey]inheritedStall
	// trials counts its attempts on trial, triedAlone is whether one of them is of a
	// task that is tried alone.
	trials           int
	hasIsolatedTrial bool
	// noStartsUntil holds back new starts after a refusal.
	noStartsUntil time.Time
	// reserved is room that is being made for tasks.
	reserved []reservation
	health   health
	throttle throttleState
	tails    tailCache
}

func newWorker(e WorkerEntry) *worker {
	return &worker{
		id: e.Incarnation, entry: e, full: e.Capacity, lost: make(map[attemptKey]struct{}), pendingStarts: make(map[attemptKey]struct{}), inheritedStalls: make(map[attemptKey]inheritedStall), throttle: throttleState{disturbingPercent: fullSpeed, otherPercent: fullSpeed},
	}
}

// learnID names the session to the learner of interference.
func (w *worker) learnID() model.WorkerID { return model.WorkerID(w.id.String()) }

// room returns what is not committed.
func (w *worker) room() model.Resources { return w.entry.Capacity.Sub(w.committed) }

// freeCPU estimates the processor time that best-effort work could use.
func (w *worker) freeCPU() int64 {
	used := w.committed.MilliCPU - int64(float64(w.longRunningCPU)*(1-longRunningUse))
	return w.entry.Capacity.MilliCPU - used - w.bestEffortCPU
}

// longRunningUse is the part of their committed processor time that
// long-running tasks use. They declare what they need at the peak of a load
// that swings about its half.
const longRunningUse = 0.5

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.entry.Labels, label) }

// add takes an attempt in and commits its size.
func (w *worker) add(a *attempt) {
	w.attempts.Set(a.key, a)
	w.tails.stale = true
	w.committed = w.committed.Add(a.size)
	w.bestEffortCPU += a.bestEffortCPU
	if a.longRunning {
		w.longRunningCPU += a.size.MilliCPU
	}
	if a.isReclaimable() {
		w.reclaimable = w.reclaimable.Add(a.size)
	}
}

// remove forgets an attempt and frees its size.
func (w *worker) remove(a *attempt) {
	w.attempts.Delete(a.key)
	w.tails.stale = true
	w.committed = w.committed.Sub(a.size)
	w.bestEffortCPU -= a.bestEffortCPU
	if a.longRunning {
		w.longRunningCPU -= a.size.MilliCPU
	}
	if a.isReclaimable() {
		w.reclaimable = w.reclaimable.Sub(a.size)
	}
}

// sampleClock notes a reading of the worker's clock.
func (w *worker) sampleClock(now time.Time, clockMs int64) {
	if clockMs > 0 {
		w.clockMs, w.clockAt = clockMs, now
	}
}

// until returns the end, on the worker's clock, of a lease of the given length
// that begins now, and 0 while the worker's clock is not known. It moves the
// bound after which nothing of the lease is left: the worker's clock may run
// slow, and may have fallen behind since it was read.
func (w *worker) until(now time.Time, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	since := now.Sub(w.clockAt)
	bound := now.Add(lease + w.drift(since+lease) + leaseSlack)
	if bound.After(w.leaseBound) {
		w.leaseBound = bound
	}
	return w.clockMs + (since + lease).Milliseconds()
}

// drift returns how much longer than a time the worker may take for it.
func (w *worker) drift(d time.Duration) time.Duration { return time.Duration(float64(d) * clockDrift) }

// leaseWithin returns the longest lease that begins now and has certainly ended by
// the bound given: the inverse of the bound in until, less a millisecond for the
// rounding.
func (w *worker) leaseWithin(now, bound time.Time) time.Duration {
	since := time.Duration(float64(now.Sub(w.clockAt)) * clockDrift)
	return time.Duration(float64(bound.Sub(now)-leaseSlack-since)/(1+clockDrift)) - time.Millisecond
}

const (
	// clockDrift is how slow a worker's clock may be: 2% by the platform's
	// contract, and a little for the rounding.
	clockDrift = 0.025
	// leaseSlack covers the worker's own delay in ending what has no lease.
	leaseSlack = 200 * time.Millisecond
)

// usable reports whether new tasks may go there at all.
func (w *worker) usable(now time.Time) bool {
	allowed := w.listed && w.onRoster && !w.closed && !w.bounded && !w.entry.Draining && !w.ended && !w.contested()
	well := w.answered && w.unreachableSince.IsZero() && !w.clockAt.IsZero() && len(w.unackedEnds) < maxUnackedEnds
	return allowed && well && !now.Before(w.noStartsUntil) && w.health.isAvailable(now)
}
