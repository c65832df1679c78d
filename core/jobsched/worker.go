package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
	"github.com/guavarill/guavarill/core/throttle"
	"github.com/guavarill/guavarill/core/workerhealth"
)

// worker is the machine's state of one incarnation of a worker.
type worker struct {
	id    model.Incarnation
	entry WorkerEntry
	// siblings groups all known incarnations of its id, including itself.
	siblings *workerIncarnations
	// full is the largest known capacity of its VM, in each dimension: the capacity
	// in the entry may shrink for a while.
	full model.Resources
	// listed is whether it is in the latest list.
	listed bool
	// onRoster is whether it is on the stored roster; nothing is started on it
	// before. rosterStatus is its status on that roster.
	onRoster     bool
	rosterStatus rosterStatus
	// closed and bounded are set while a roster of this leader, stored or being
	// stored, guarantees that nothing is started on the worker, or when the leases
	// there end.
	closed, bounded bool
	// attemptsUnknown is set while an earlier leader may have started attempts
	// there that this machine does not know of.
	attemptsUnknown bool
	// ended is set once another incarnation has answered at its address.
	ended bool
	// answered is whether it has answered under the machine's epoch; nothing is
	// started on it before.
	answered bool
	// clockMs is the worker's clock, as read at clockAt.
	clockMs int64
	clockAt time.Time
	// leaseBound is when all attempts there have certainly lost their leases,
	// unless they are renewed.
	leaseBound time.Time
	// unreachableSince is when the first of the unanswered calls was sent; zero if
	// the last call was answered.
	unreachableSince time.Time
	// lastReportAt is when its last report arrived, requestedAt when that one was
	// requested, reportBeforeAt when the one before it arrived.
	lastReportAt, requestedAt, reportBeforeAt time.Time
	renewing                                  bool
	renewAt                                   time.Time
	// lastSeenEnd is the number of the last processed end, lastAckedEnd that of the
	// last acknowledged one, which the worker may forget. unackedEnds lists the
	// ends between the two.
	lastSeenEnd  int64
	lastAckedEnd int64
	// sentAckedEnd is the number that the last renewal acknowledged.
	sentAckedEnd int64
	unackedEnds  []unackedEnd
	attempts     ordered.Map[attemptKey, *attempt]
	committed    model.Resources
	// reclaimable is the part of committed that is being freed or could be freed by
	// preemption: all but that of long-running tasks which are not being stopped.
	reclaimable model.Resources
	// bestEffortCPU and longRunningCPU are sums over its attempts, in thousandths
	// of a core. Only the second is part of committed.
	bestEffortCPU, longRunningCPU int64
	// expectedCPU is bestEffortCPU with overcommitted attempts at their share: what its
	// best-effort attempts are expected to use, in thousandths of a core. freeCPU is
	// what it leaves.
	expectedCPU int64
	// classUses holds what the attempts of each class of work take.
	classUses []classUse
	// victims counts its serving tasks by the index of their image.
	victims      []int
	servingTasks int
	// lost holds the attempts that were declared lost. Their later ends are
	// ignored, except for ends as done and failures.
	lost map[attemptKey]struct{}
	// pendingStarts holds the lost attempts whose start was neither answered nor
	// blocked by an acknowledged stop.
	pendingStarts map[attemptKey]struct{}
	// inheritedStalls holds the stalled attempts that an earlier leader recorded.
	inheritedStalls map[attemptKey]inheritedStall
	// inheritedRunTimes holds how long earlier leaders have seen attempts running.
	inheritedRunTimes map[attemptKey]inheritedRunTime
	// trials counts the trials there, isolatedTrials those that require isolation.
	trials, isolatedTrials int
	// unsharedTrial is set if one of them may not share the worker.
	unsharedTrial bool
	// noStartsUntil delays new starts after a refusal.
	noStartsUntil time.Time
	// reserved holds the reservations of room on the worker.
	reserved []reservation
	health   workerhealth.Health
	throttle throttle.Shares
	tails    tailCache
	speed    workerSpeed
	// learnedAt is when its readings were last learned from.
	learnedAt time.Time
}

func newWorker(e WorkerEntry) *worker {
	return &worker{
		id: e.Incarnation, entry: e, full: e.Capacity, lost: make(map[attemptKey]struct{}), pendingStarts: make(map[attemptKey]struct{}), inheritedStalls: make(map[attemptKey]inheritedStall), inheritedRunTimes: make(map[attemptKey]inheritedRunTime), throttle: throttle.FullShares(),
	}
}

// learnID identifies the worker in the interference learner.
func (w *worker) learnID() model.WorkerID { return model.WorkerID(w.id.String()) }

// room returns the uncommitted capacity.
func (w *worker) room() model.Resources { return w.entry.Capacity.Sub(w.committed) }

// freeCPU estimates the processor time available to best-effort work, in
// thousandths of a core.
func (w *worker) freeCPU() int64 {
	used := w.committed.MilliCPU - int64(float64(w.longRunningCPU)*(1-longRunningUse))
	return w.entry.Capacity.MilliCPU - used - w.expectedCPU
}

// longRunningUse is the fraction of their committed processor time that
// long-running tasks use on average. They declare what they need at peak load, and
// their load swings around half of that.
const longRunningUse = 0.5

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.entry.Labels, label) }

// add adds an attempt and commits its size.
func (w *worker) add(a *attempt) {
	w.attempts.Set(a.key, a)
	w.tails.stale = true
	w.committed = w.committed.Add(a.size)
	w.addClassUse(a)
	w.bestEffortCPU += a.bestEffortCPU
	w.expectedCPU += a.expectedCPU()
	if a.longRunning {
		w.longRunningCPU += a.size.MilliCPU
	}
	if a.isReclaimable() {
		w.reclaimable = w.reclaimable.Add(a.size)
	}
}

// remove removes an attempt and frees its size.
func (w *worker) remove(a *attempt) {
	w.attempts.Delete(a.key)
	w.tails.stale = true
	w.committed = w.committed.Sub(a.size)
	w.removeClassUse(a)
	w.bestEffortCPU -= a.bestEffortCPU
	w.expectedCPU -= a.expectedCPU()
	if a.longRunning {
		w.longRunningCPU -= a.size.MilliCPU
	}
	if a.isReclaimable() {
		w.reclaimable = w.reclaimable.Sub(a.size)
	}
}

// isUsable reports whether any new task may be started on the worker.
func (w *worker) isUsable(now time.Time) bool {
	allowed := w.listed && w.onRoster && !w.closed && !w.bounded && !w.entry.Draining && !w.ended && !w.isContested()
	healthy := w.answered && w.unreachableSince.IsZero() && !w.clockAt.IsZero() && len(w.unackedEnds) < maxUnackedEnds
	return allowed && healthy && !now.Before(w.noStartsUntil) && w.health.IsAvailable(now)
}
